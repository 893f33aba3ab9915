//! Rate limits that upstreams name, shared between the nodes.
//!
//! Each node runs one task with the limits that it knows. It grants the permits of those that
//! it owns, and announces their changes to all nodes.

mod fleet;
mod offices;
mod task;

pub use fleet::{LimitFleet, LimitParts, RecordSink};
