//! The configuration and the ejection records that this node has, kept up to date from
//! the platform and from other nodes.

mod fetch;
mod task;
mod watcher;

pub use task::{ConfigFollower, FleetSnapshot};
