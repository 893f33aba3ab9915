//! Collects evidence and derives verdicts and ejections from it.
//!
//! A node sends its counts to the service's collector in its own data centre. That
//! collector sums them and exchanges the sums with the collectors of the other data
//! centres, so that every collector evaluates the same evidence.

mod assignment;
mod proposal;
mod task;

pub(crate) use task::CollectorParts;
pub use task::{Collector, CollectorUpdate, UpdateSink};
