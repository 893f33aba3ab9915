//! A task for each service that owns its balancer.

mod directory;
mod handle;
mod repeats;
mod task;

pub use directory::{ServiceDirectory, ServiceSink};
pub use handle::{AttemptLease, FleetSize, Outpaced, ServiceHandle, WorkspacePermit};
pub use repeats::{RepeatFuture, RepeatSource};
pub use task::{DoubtSink, DrainSink, LoadSink, ServiceSettings, start};
