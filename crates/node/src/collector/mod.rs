//! Evidence on its way to verdicts.
//!
//! A node sends its counts to the collector of the service in its own data
//! centre. That collector sums them and exchanges the sums with the collectors
//! of the other data centres, so every collector evaluates the same evidence.

mod assignment;
mod eject;
mod task;

pub(crate) use task::CollectorParts;
pub use task::{Collector, CollectorUpdate, UpdateSink};
