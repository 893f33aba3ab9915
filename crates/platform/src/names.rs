//! Names of the objects that the fleet stores on the platform.

use model::{digest, ids};
use policy::claim;

use crate::object::ObjectName;

/// Prefix of the objects that nodes watch: the configuration root and the ejection records.
pub const FLEET_PREFIX: &str = "fleet/";
/// Prefix of all ejection records; the id of the service follows.
pub const EJECTIONS_PREFIX: &str = "fleet/ejections/";

/// Name of the configuration root.
pub fn config_root() -> ObjectName {
    name("fleet/root")
}

/// Name of a configuration chunk, by its content hash.
pub fn chunk(hash: &digest::ContentHash) -> ObjectName {
    name(&format!("config/chunks/{hash}"))
}

/// Name of the ejection record of a service.
pub fn ejections(service: &ids::ServiceId) -> ObjectName {
    name(&format!("{EJECTIONS_PREFIX}{service}"))
}

/// Prefix of the claim segments of a shard.
pub fn shard_prefix(shard: claim::ShardId) -> String {
    format!("claims/{:02}/", shard.get())
}

/// Name of one claim segment. The number is padded so that names sort in its order.
pub fn segment(shard: claim::ShardId, number: claim::SegmentNumber) -> ObjectName {
    name(&format!("{}{:012}", shard_prefix(shard), number.get()))
}

/// Name of the object that holds the hashes of the operators' tokens.
pub fn tokens() -> ObjectName {
    name("operators/tokens")
}

fn name(text: &str) -> ObjectName {
    text.parse()
        .unwrap_or_else(|_| unreachable!("identifiers joined by '/' form a valid object name"))
}
