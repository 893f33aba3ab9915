//! A node of the fleet: it proxies requests from callers to upstreams and exchanges state
//! with the other nodes.
//!
//! - [`settings`]: the settings of an entry node, from flags and environment variables.
//! - [`server`]: an entry node, whose configuration is stored on the platform.
//! - [`gateway`]: a gateway, whose routes and upstreams come from an external source.
//!
//! Private modules: `directory` and `replica_directory` apply the configuration to the
//! service tasks, `permits` connects them to the sharing of rate limits and `crashes` the
//! dispatcher to that of crashes, `quotas` to that of quotas, `probes` probes the upstreams assigned to this node, and
//! `ops` serves readiness, status and metrics, and `where_page` tells where a request would go.

mod crashes;
mod directory;
pub mod gateway;
mod ops;
mod permits;
mod probes;
mod quotas;
mod replica_directory;
pub mod server;
pub mod settings;
mod where_page;

pub use gateway::{GatewayServer, GatewaySettings};
pub use server::EntryServer;
pub use settings::EntrySettings;
