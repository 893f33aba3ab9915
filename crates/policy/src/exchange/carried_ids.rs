//! The ids of the requests that one connection has carried.

use model::digest;

/// Requests on one connection, which bounds the memory that their ids take to 4 KiB.
const CARRIED_MAX: usize = 512;

/// The ids of the requests that one connection has carried, as hashes.
///
/// Two ids with the same hash cost a new connection, and nothing else.
#[derive(Debug, Default)]
pub struct CarriedIds(Vec<u64>);

impl CarriedIds {
    /// Whether the connection may carry a request with this id: it has not carried one yet, and
    /// can remember it.
    pub fn admits(&self, id: &[u8]) -> bool {
        self.0.len() < CARRIED_MAX && !self.0.contains(&hash(id))
    }

    /// Records that the connection carries a request with this id.
    pub fn record(&mut self, id: &[u8]) {
        self.0.push(hash(id));
    }
}

fn hash(id: &[u8]) -> u64 {
    digest::stable_hash(&[id])
}
