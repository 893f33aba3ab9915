//! The configuration and the ejection records in force at this node.

mod fetch;
mod task;
mod watcher;

pub use task::{FleetSnapshot, Follower};
