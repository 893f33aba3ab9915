//! Crashes of upstreams, shared by all nodes, and trials of the requests that cause them.
//!
//! Messages are sent only when an upstream crashes, when a suspect of a crash completes a run,
//! and when a trial of a quarantined request is due.

mod fleet;
mod task;

pub use fleet::{CrashFleet, CrashParts};
