//! Shards of the key space.

use super::segment::ClaimKey;

/// Number of shards over which keys are spread.
pub const SHARD_COUNT: u64 = 32;

model::quantity! {
    /// The number of a shard.
    ShardId, u64, 0, SHARD_COUNT - 1, "a whole number from 0 to 31"
}

/// The shard that stores the claim of a key.
pub fn shard_of(key: &ClaimKey) -> ShardId {
    let hash = model::digest::stable_hash(&[key.as_str().as_bytes()]);
    ShardId::new(hash % SHARD_COUNT)
}
