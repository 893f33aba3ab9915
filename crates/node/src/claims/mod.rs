//! Claims of idempotency keys: each claim goes to the node that batches its shard.

mod client;
mod task;

pub use client::ClaimClient;
pub use task::{BatchSettings, ClaimShards};
