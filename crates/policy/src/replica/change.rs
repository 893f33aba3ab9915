//! Incremental changes of the upstream snapshot, small enough to be sent to every node.

use std::collections::BTreeMap;

use model::config::{ListedUpstream, SnapshotVersion, UpstreamSnapshot};
use model::ids;
use model::position::SourcePosition;

model::record! {
    /// The difference between two versions of the upstream snapshot.
    pub struct UpstreamChange {
        /// The version of the snapshot to which the change applies.
        #[serde(rename = "base")]
        pub base_version: SnapshotVersion,
        /// The version of the snapshot that results from it.
        #[serde(rename = "mark")]
        pub version: SnapshotVersion,
        /// Entries that were added or changed.
        pub put: Vec<ListedUpstream>,
        /// Upstreams whose entries were removed.
        pub removed: Vec<ids::UpstreamId>,
        /// Entries that are retained although the source removed them, as in the snapshot.
        #[serde(rename = "held")]
        pub retained: BTreeMap<ids::UpstreamId, SourcePosition>,
    }
}

/// The result of applying a change to a snapshot.
#[derive(Debug, PartialEq)]
pub enum ChangeResult {
    /// The change applied; this is the new snapshot.
    Applied(UpstreamSnapshot),
    /// The snapshot is already at the change's version or a newer one.
    UpToDate,
    /// The snapshot is not the base of the change and must be fetched as a whole.
    BaseMismatch,
}

impl UpstreamChange {
    /// The change that turns `old` into `new`.
    pub fn between(old: &UpstreamSnapshot, new: &UpstreamSnapshot) -> Self {
        let put = new
            .entries
            .iter()
            .filter(|(id, entry)| old.entries.get(*id) != Some(entry))
            .map(|(_, entry)| entry.clone());
        let removed = old
            .entries
            .keys()
            .filter(|id| !new.entries.contains_key(*id))
            .cloned();
        Self {
            base_version: old.version,
            version: new.version,
            put: put.collect(),
            removed: removed.collect(),
            retained: new.retained.clone(),
        }
    }

    /// Applies the change to the current snapshot, if there is one.
    pub fn apply(&self, snapshot: Option<&UpstreamSnapshot>) -> ChangeResult {
        let version = snapshot.map_or_else(SnapshotVersion::default, |snapshot| snapshot.version);
        if version >= self.version {
            return ChangeResult::UpToDate;
        }
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.version == self.base_version)
        else {
            return ChangeResult::BaseMismatch;
        };
        let mut entries: BTreeMap<_, _> = snapshot.entries.clone();
        for id in &self.removed {
            entries.remove(id);
        }
        for entry in &self.put {
            entries.insert(entry.upstream.id.clone(), entry.clone());
        }
        ChangeResult::Applied(UpstreamSnapshot {
            version: self.version,
            entries,
            retained: self.retained.clone(),
        })
    }
}
