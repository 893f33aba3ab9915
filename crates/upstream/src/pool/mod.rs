//! Connection pools: one task per upstream keeps its idle connections.

mod task;

pub use task::{ConnectionPool, Freshness, PooledConnection};
