//! One task per service, which owns the balancer of that service.

mod directory;
mod handle;
mod retry_tokens;
mod task;

pub use directory::{ServiceDirectory, SettingsFactory};
pub use handle::{AttemptLease, FleetSize, OutpacedFlag, ServiceHandle, WorkspacePermit};
pub use retry_tokens::{RetryTokenFuture, RetryTokenSource};
pub use task::{DrainSink, LoadSink, ServiceSettings, SignalSink, start};
