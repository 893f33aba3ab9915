//! A task for each service that owns its board.

mod directory;
mod handle;
mod task;

pub use directory::{ServiceDirectory, ServiceSink};
pub use handle::{AttemptLease, ServiceHandle, WorkspacePass};
pub use task::{DrainSink, ServiceSettings, start};
