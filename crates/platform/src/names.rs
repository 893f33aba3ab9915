//! Names of the fleet's objects.

use model::{digest, ids};
use policy::claim;

use crate::object::ObjectName;

/// The prefix of everything that nodes watch.
pub const FLEET: &str = "fleet/";
/// The prefix of every ejection record.
pub const EJECTIONS: &str = "fleet/ejections/";

/// The root of the configuration.
pub fn config_root() -> ObjectName {
    name("fleet/root")
}

/// A chunk of the configuration.
pub fn chunk(hash: &digest::ContentHash) -> ObjectName {
    name(&format!("config/chunks/{hash}"))
}

/// The ejection record of a service.
pub fn ejections(service: &ids::ServiceId) -> ObjectName {
    name(&format!("{EJECTIONS}{service}"))
}

/// The prefix of a shard's segments.
pub fn shard(shard: claim::ShardId) -> String {
    format!("claims/{:02}/", shard.get())
}

/// One segment of a shard.
pub fn segment(shard_id: claim::ShardId, number: claim::SegmentNumber) -> ObjectName {
    name(&format!("{}{:012}", shard(shard_id), number.get()))
}

/// Hashes of the operators' tokens.
pub fn tokens() -> ObjectName {
    name("operators/tokens")
}

fn name(text: &str) -> ObjectName {
    text.parse()
        .unwrap_or_else(|_| unreachable!("identifiers joined by '/' are a name"))
}
