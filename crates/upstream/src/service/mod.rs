//! One task per service, which owns the balancer of that service.

mod directory;
mod handle;
mod permit_source;
mod retry_tokens;
mod subset_selection;
mod task;

pub use directory::{ServiceDirectory, SettingsFactory};
pub use handle::{
    AdmissionError, AttemptLease, FleetShape, OutpacedFlag, ServiceHandle, WorkspacePermit,
};
pub use permit_source::{PermitFuture, PermitOffer, PermitSource};
pub use retry_tokens::{RetryTokenFuture, RetryTokenSource};
pub use task::{DrainSink, LimitSink, LoadSink, ServiceSettings, SignalSink, start};
