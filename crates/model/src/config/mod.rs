//! The configuration: its objects, the chunks and root that store them, and snapshots.

mod access;
mod audit;
mod cache;
mod chunk;
mod fleet;
mod root;
mod route;
mod service;
mod snapshots;
mod workspace;

pub use access::{AccessTable, KeyDigest, QuotaBound, WorkspaceQuota, WorkspaceTerms};
pub use audit::{AuditEntry, ChangeSummary};
pub use cache::ChunkCache;
pub use chunk::{Chunk, ChunkError, EncodedChunk};
pub use fleet::FleetConfig;
pub use root::{ConfigRoot, ROUTE_BLOCKS, WORKSPACE_BLOCKS, block_of};
pub use route::{RetryRule, Route, RouteOptions, WeightedService};
pub use service::{DetectionProfile, RetryAllowance, Service, Upstream, UpstreamState};
pub use snapshots::{
    ListedUpstream, RequestLimits, RouteSnapshot, SnapshotVersion, UpstreamSnapshot,
};
pub use workspace::Workspace;
