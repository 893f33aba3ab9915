//! Connection pools: one task per address keeps the idle connections to it.

mod connection_use;
mod task;

pub use connection_use::ConnectionUse;
pub use task::{ConnectionNeed, ConnectionPool, Freshness, PooledConnection};
