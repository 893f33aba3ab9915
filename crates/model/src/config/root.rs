//! The root object: the one place that names the chunks of the configuration in force.

use std::collections::BTreeMap;

use crate::{digest, ids, sizes};

/// Blocks over which routes are spread.
pub const ROUTE_BLOCKS: usize = 64;
/// Blocks over which workspaces are spread.
pub const WORKSPACE_BLOCKS: usize = 256;

crate::record! {
    /// The configuration's table of contents.
    pub struct ConfigRoot {
        /// Its number; every accepted change adds one.
        pub generation: sizes::Generation,
        /// The chunk of each service.
        pub services: BTreeMap<ids::ServiceId, digest::ContentHash>,
        /// The chunk of each block of routes that is not empty.
        pub routes: BTreeMap<u16, digest::ContentHash>,
        /// The chunk of each block of workspaces that is not empty.
        pub workspaces: BTreeMap<u16, digest::ContentHash>,
        /// The newest audit entry.
        pub audit: Option<digest::ContentHash>,
    }
}

impl ConfigRoot {
    /// The root before any change.
    pub fn empty() -> Self {
        Self {
            generation: sizes::Generation::new(0),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            audit: None,
        }
    }

    /// Every chunk that a node needs, the audit trail left out.
    pub fn chunks(&self) -> impl Iterator<Item = &digest::ContentHash> {
        self.services
            .values()
            .chain(self.routes.values())
            .chain(self.workspaces.values())
    }
}

/// The block that holds a name, out of `blocks`.
pub fn block_of(name: &str, blocks: usize) -> u16 {
    let count = u64::try_from(blocks).unwrap_or(1).max(1);
    u16::try_from(digest::stable_hash(&[name.as_bytes()]) % count).unwrap_or(0)
}
