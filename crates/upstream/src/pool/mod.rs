//! Connection pools: one task per upstream keeps its idle connections.

mod connection_use;
mod task;

pub use connection_use::ConnectionUse;
pub use task::{ConnectionNeed, ConnectionPool, Freshness, PooledConnection};
