//! One entry node: callers in, upstreams out, other nodes beside it.
//!
//! - [`settings`]: what a node is started from.
//! - [`server`]: starts and stops every part.
//!
//! Private modules: `directory` follows the configuration, `probes` probes the
//! upstreams assigned to this node, `ops` answers operators and scrapers.

mod directory;
mod ops;
mod probes;
pub mod server;
pub mod settings;

pub use server::EntryServer;
pub use settings::EntrySettings;
