//! Changes of the upstream book, small enough to be pushed to every node.

use std::collections::BTreeMap;

use model::config::{ListedUpstream, UpstreamBook, UpstreamMark};
use model::{ids, sizes};

model::record! {
    /// What changed from one mark to another.
    pub struct UpstreamChange {
        /// The mark of the book that it applies to.
        pub base: UpstreamMark,
        /// The mark of the book that it makes.
        pub mark: UpstreamMark,
        /// Upstreams that were added or changed.
        pub put: Vec<ListedUpstream>,
        /// Upstreams that went away.
        pub removed: Vec<ids::UpstreamId>,
        /// Entries whose removal is held back, as in the book.
        pub held: BTreeMap<ids::UpstreamId, sizes::ObjectVersion>,
    }
}

/// What a change did to a book.
#[derive(Debug, PartialEq)]
pub enum ChangeResult {
    /// The book that it made.
    Made(UpstreamBook),
    /// The book is as new already.
    Known,
    /// The book lacks something that came before; it must be read whole.
    Gap,
}

impl UpstreamChange {
    /// The difference between two books.
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

    /// Applies the change to a book.
    pub fn apply(&self, book: Option<&UpstreamBook>) -> ChangeResult {
        let mark = book.map_or_else(UpstreamMark::default, |book| book.mark);
        if mark >= self.mark {
            return ChangeResult::Known;
        }
        let Some(book) = book.filter(|book| book.mark == self.base) else {
            return ChangeResult::Gap;
        };
        let mut entries: BTreeMap<_, _> = book.entries.clone();
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
