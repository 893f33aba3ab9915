//! Shards of the services with limits, each with one owner in a data centre.

use model::ids;

/// Number of shards. Every node votes for the owner of each, so the votes of a node go to that
/// many others at most, however many services have a limit.
pub const LIMIT_SHARDS: u64 = 8;

model::quantity! {
    /// The number of a shard of services.
    LimitShard, u64, 0, LIMIT_SHARDS - 1, "a whole number from 0 to 7"
}

impl LimitShard {
    /// The shard of a service.
    pub fn of(service: &ids::ServiceId) -> Self {
        let hash = model::digest::stable_hash(&[service.as_str().as_bytes()]);
        Self::new(hash % LIMIT_SHARDS)
    }
}
