//! The ids of the requests that one connection has carried.

use model::digest;

/// Requests on one connection, which bounds the memory that their ids take to 4 KiB.
const CARRIED_MAX: usize = 512;

/// The id of a request, as a hash. Two ids with the same hash cost a new connection, and nothing
/// else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CarriedId(u64);

impl CarriedId {
    /// The hash of an id as it is sent.
    pub fn of_bytes(sent: &[u8]) -> Self {
        Self(digest::stable_hash(&[sent]))
    }
}

/// The ids of the requests that one connection has carried.
#[derive(Debug, Default)]
pub struct CarriedIds(Vec<CarriedId>);

impl CarriedIds {
    /// Whether the connection may carry a request with this id: it has not carried one yet, and
    /// can remember it.
    pub fn admits(&self, id: CarriedId) -> bool {
        !self.is_full() && !self.0.contains(&id)
    }

    /// Whether the connection can remember no more ids, and carries no more requests.
    pub fn is_full(&self) -> bool {
        self.0.len() >= CARRIED_MAX
    }

    /// Records that the connection carries a request with this id.
    pub fn record(&mut self, id: CarriedId) {
        self.0.push(id);
    }
}
