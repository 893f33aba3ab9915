//! The root object, which references all chunks of the current configuration.

use std::collections::BTreeMap;

use crate::{digest, ids, sizes};

/// Number of blocks over which routes are distributed by hash. A change of one route
/// replaces the chunk of one block only, and no chunk exceeds the platform's limit on
/// the size of an object.
pub const ROUTE_BLOCKS: usize = 64;
/// Number of blocks over which workspaces are distributed by hash; see [`ROUTE_BLOCKS`].
pub const WORKSPACE_BLOCKS: usize = 256;

crate::record! {
    /// The hashes of the chunks that make up one generation.
    pub struct ConfigRoot {
        /// The generation; every accepted change increments it.
        pub generation: sizes::Generation,
        /// Chunk of each service.
        pub services: BTreeMap<ids::ServiceId, digest::ContentHash>,
        /// Chunk of each non-empty block of routes.
        pub routes: BTreeMap<u16, digest::ContentHash>,
        /// Chunk of each non-empty block of workspaces.
        pub workspaces: BTreeMap<u16, digest::ContentHash>,
        /// Chunk of the latest audit entry.
        pub audit: Option<digest::ContentHash>,
    }
}

impl ConfigRoot {
    /// The root of generation 0, without chunks.
    pub fn empty() -> Self {
        Self {
            generation: sizes::Generation::new(0),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            audit: None,
        }
    }

    /// Hashes of the chunks that make up the configuration: all except the audit trail.
    pub fn chunks(&self) -> impl Iterator<Item = &digest::ContentHash> {
        self.services
            .values()
            .chain(self.routes.values())
            .chain(self.workspaces.values())
    }
}

/// Index of the block, out of `blocks`, to which an id is assigned.
pub fn block_of(id: &str, blocks: usize) -> u16 {
    let count = u64::try_from(blocks).unwrap_or(1).max(1);
    u16::try_from(digest::stable_hash(&[id.as_bytes()]) % count).unwrap_or(0)
}
