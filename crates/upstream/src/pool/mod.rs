//! Idle connections, kept by one task for each upstream.

mod task;

pub use task::{ConnectionPool, Freshness, PooledConnection};
