//! What a relay has read from the source of upstreams, and removals that it doubts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::config::{ListedUpstream, UpstreamBook, UpstreamMark};
use model::sizes;
use tokio::time::Instant;

/// How long after the last failed read a removal is doubted. Entries of live
/// upstreams are back about two seconds after the source is; but a node that was
/// merely cut off must not use what left meanwhile, and has three seconds from the
/// end of the cut, of which the failed read may have taken one.
const DOUBT_SPAN: Duration = Duration::from_millis(1_700);

model::record! {
    /// One entry of the source as it now is.
    pub struct SourceEvent {
        /// The entry's name at the source.
        pub name: Arc<str>,
        /// What it says; none when it went away or names no upstream.
        pub entry: Option<ListedUpstream>,
    }
}

/// An entry whose removal is held back.
#[derive(Debug)]
struct HeldEntry {
    entry: ListedUpstream,
    /// The revision at which the source last listed it.
    listed_at: sizes::ObjectVersion,
}

/// Entries by their names at the source.
///
/// Entries lapse while the source is away, though their upstreams live. A
/// removal that is found just after the source's return is therefore held back
/// until the upstream had time to register again.
#[derive(Debug, Default)]
pub struct SourceView {
    revision: sizes::ObjectVersion,
    entries: BTreeMap<Arc<str>, ListedUpstream>,
    held: BTreeMap<Arc<str>, HeldEntry>,
    doubtful_until: Option<Instant>,
}

impl SourceView {
    /// The revision up to which the view is complete.
    pub const fn revision(&self) -> sizes::ObjectVersion {
        self.revision
    }

    /// Notes that the source is back after it was away; `failed` is when it last
    /// did not answer.
    pub fn source_returned(&mut self, failed: Instant) {
        self.doubtful_until = Some(failed + DOUBT_SPAN);
    }

    /// Takes the whole list. `known` is the book in force, which may hold
    /// entries that the source lost while it was away.
    pub fn replace(
        &mut self,
        now: Instant,
        revision: sizes::ObjectVersion,
        listed: Vec<SourceEvent>,
        known: Option<&UpstreamBook>,
    ) {
        let mut before = std::mem::take(&mut self.entries);
        let mut listed_at = self.revision;
        if let Some(known) = known.filter(|book| book.mark.revision >= self.revision) {
            listed_at = known.mark.revision;
            let entries = known.entries.values().filter_map(|entry| {
                let name = entry.upstream.instance.clone()?;
                Some((name, entry.clone()))
            });
            before = entries.collect();
        }
        self.revision = revision;
        for event in listed {
            if let Some(entry) = event.entry {
                self.entries.insert(event.name, entry);
            }
        }
        self.held.retain(|name, _| !self.entries.contains_key(name));
        for (name, entry) in before {
            if !self.entries.contains_key(&name) {
                self.hold(now, name, entry, listed_at);
            }
        }
    }

    /// Takes changes of single entries.
    pub fn update(
        &mut self,
        now: Instant,
        revision: sizes::ObjectVersion,
        events: Vec<SourceEvent>,
    ) {
        let listed_at = std::mem::replace(&mut self.revision, revision);
        for SourceEvent { name, entry } in events {
            let before = match entry {
                Some(entry) => {
                    self.held.remove(&name);
                    self.entries.insert(name, entry);
                    continue;
                }
                None => self.entries.remove(&name),
            };
            if let Some(before) = before {
                self.hold(now, name, before, listed_at);
            }
        }
    }

    fn hold(
        &mut self,
        now: Instant,
        name: Arc<str>,
        entry: ListedUpstream,
        listed_at: sizes::ObjectVersion,
    ) {
        if self.doubtful_until.is_some_and(|until| now < until) {
            self.held.insert(name, HeldEntry { entry, listed_at });
        }
    }

    /// When held removals take effect; none when there are none.
    pub fn settles_at(&self) -> Option<Instant> {
        self.doubtful_until.filter(|_| !self.held.is_empty())
    }

    /// Lets held removals take effect once their time is over.
    pub fn settle(&mut self, now: Instant) {
        if self.doubtful_until.is_some_and(|until| now >= until) {
            self.doubtful_until = None;
            self.held.clear();
        }
    }

    /// The book that the view makes.
    pub fn book(&self) -> UpstreamBook {
        let held = self.held.values();
        let entries = held
            .clone()
            .map(|held| &held.entry)
            .chain(self.entries.values());
        let mark = match u32::try_from(self.held.len()) {
            Ok(0) => UpstreamMark::settled_at(self.revision),
            count => UpstreamMark::holding(self.revision, count.unwrap_or(u32::MAX)),
        };
        UpstreamBook {
            mark,
            entries: entries
                .map(|entry| (entry.upstream.id.clone(), entry.clone()))
                .collect(),
            held: held
                .map(|held| (held.entry.upstream.id.clone(), held.listed_at))
                .collect(),
        }
    }
}
