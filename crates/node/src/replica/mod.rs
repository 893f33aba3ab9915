//! A node's copies of the route and upstream snapshots.
//!
//! The snapshot relay of each data centre, here called the relay, reads the snapshots from
//! their source and sends updates to the other nodes. A node that no relay serves reads the
//! source itself.

mod compare;
mod fleet;
mod load_aggregator;
mod quota;
mod relay;
mod retry_pool;
mod signal_relay;
mod source;
mod task;

pub use fleet::{NodeUpdate, ReplicaFleet, ReplicaSettings};
pub use quota::{QuotaCounts, QuotaHandle, QuotaObserver, QuotaSettings, QuotaView};
pub use source::{FleetSource, RoutesRead, SourceError, SourceFuture, UpstreamsRead};
pub use task::{ReplicaHandle, ReplicaParts, ReplicaSnapshot};
