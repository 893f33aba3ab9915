//! Copies of the books: read from a source by a few relays, passed on to all.

mod compare;
mod fleet;
mod load_hub;
mod relay;
mod repeat_hub;
mod source;
mod task;

pub use fleet::{NodeUpdate, ReplicaFleet, ReplicaSettings};
pub use source::{FleetSource, RoutesRead, SourceError, SourceFuture, UpstreamsRead};
pub use task::{ReplicaHandle, ReplicaParts, ReplicaSnapshot};
