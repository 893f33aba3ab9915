//! A task for each service that owns its balancer.

mod directory;
mod handle;
mod task;

pub use directory::{ServiceDirectory, ServiceSink};
pub use handle::{AttemptLease, Outpaced, ServiceHandle, WorkspacePermit};
pub use task::{DrainSink, ServiceSettings, start};
