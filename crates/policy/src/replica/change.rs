//! Incremental changes of the upstream snapshot, small enough to be sent to every node.

use std::collections::BTreeMap;

use model::config::{ListedUpstream, UpstreamBook, UpstreamMark};
use model::{ids, sizes};

model::record! {
    /// The difference between two versions of the upstream snapshot.
    pub struct UpstreamChange {
        /// The version of the snapshot to which the change applies.
        pub base: UpstreamMark,
        /// The version of the snapshot that results from it.
        pub mark: UpstreamMark,
        /// Entries that were added or changed.
        pub put: Vec<ListedUpstream>,
        /// Upstreams whose entries were removed.
        pub removed: Vec<ids::UpstreamId>,
        /// Entries that are retained although the source removed them, as in the snapshot.
        pub held: BTreeMap<ids::UpstreamId, sizes::ObjectVersion>,
    }
}

/// The result of applying a change to a snapshot.
#[derive(Debug, PartialEq)]
pub enum ChangeResult {
    /// The change applied; this is the new snapshot.
    Made(UpstreamBook),
    /// The snapshot is already at the change's version or a newer one.
    Known,
    /// The snapshot is not the base of the change and must be fetched as a whole.
    Gap,
}

impl UpstreamChange {
    /// The change that turns `old` into `new`.
    pub fn between(old: &UpstreamBook, new: &UpstreamBook) -> Self {
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
            base: old.mark,
            mark: new.mark,
            put: put.collect(),
            removed: removed.collect(),
            held: new.held.clone(),
        }
    }

    /// Applies the change to the current snapshot, if there is one.
    pub fn apply(&self, snapshot: Option<&UpstreamBook>) -> ChangeResult {
        let version = snapshot.map_or_else(UpstreamMark::default, |snapshot| snapshot.mark);
        if version >= self.mark {
            return ChangeResult::Known;
        }
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.mark == self.base) else {
            return ChangeResult::Gap;
        };
        let mut entries: BTreeMap<_, _> = snapshot.entries.clone();
        for id in &self.removed {
            entries.remove(id);
        }
        for entry in &self.put {
            entries.insert(entry.upstream.id.clone(), entry.clone());
        }
        ChangeResult::Made(UpstreamBook {
            mark: self.mark,
            entries,
            held: self.held.clone(),
        })
    }
}
