//! Access of callers by key: workspaces, their terms and the keys that belong to them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use sha2::Digest as _;

use crate::{digest, ids, sizes};

/// The SHA-256 of an API key. Keys themselves are neither stored nor sent between nodes.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as callers send it.
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// The bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows the first four bytes, which tell keys apart in a test and reveal none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", digest::hex_text(&self.0[..4]))
    }
}

crate::record! {
    /// The requests that a workspace may send to the whole fleet.
    #[derive(Copy)]
    pub struct WorkspaceQuota {
        /// Requests per second.
        pub rate: sizes::Rate,
        /// Requests on top of the rate in a burst.
        pub burst: sizes::BurstSize,
    }

    /// What operators grant to a workspace.
    #[derive(Copy, Default)]
    pub struct WorkspaceTerms {
        /// Priority of its requests under overload, before that of the route; 0 is the highest.
        pub priority: Option<u32>,
        /// Its quota; unlimited if none.
        pub quota: Option<WorkspaceQuota>,
    }

    /// Which callers may use the fleet.
    #[derive(Default)]
    pub struct AccessTable {
        /// The terms of each workspace.
        pub workspaces: BTreeMap<ids::WorkspaceId, WorkspaceTerms>,
        /// The workspace that each key belongs to.
        pub keys: BTreeMap<KeyDigest, ids::WorkspaceId>,
        /// Routes whose requests need no key.
        pub public_routes: BTreeSet<ids::RouteId>,
    }
}

impl AccessTable {
    /// The workspace that a key belongs to.
    pub fn find(&self, key: &KeyDigest) -> Option<&ids::WorkspaceId> {
        self.keys.get(key)
    }

    /// The quota of a workspace; `None` if it has none.
    pub fn quota(&self, workspace: &ids::WorkspaceId) -> Option<WorkspaceQuota> {
        self.workspaces.get(workspace)?.quota
    }
}

/// How the quotas of all workspaces are enforced: in any window, the whole fleet runs at most
/// (rate x window + burst) x (1 + overshoot) + slack requests of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// Length of the window.
    pub window: std::time::Duration,
    /// Share of the quota that may be exceeded.
    pub overshoot: sizes::Share,
    /// Requests that may be run on top.
    pub slack: sizes::BurstSize,
}
