//! The upstream entries that a relay has read from their source, and the removals
//! that it does not trust yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::config::{ListedUpstream, SnapshotVersion, UpstreamSnapshot};
use model::position::SourcePosition;
use tokio::time::Instant;

/// How long after the last failed read removals are not trusted.
///
/// Live upstreams have registered again about 2 s after the source recovers. But if
/// only this node was disconnected, it must stop using removed upstreams within 3 s
/// of the end of the disconnection, of which the failed read may have taken 1 s.
const REMOVAL_TRUST_DELAY: Duration = Duration::from_millis(1_700);

model::record! {
    /// The current state of one entry at the source.
    pub struct SourceEvent {
        /// The name of the entry at the source.
        pub name: Arc<str>,
        /// Its content; `None` if it was removed or describes no upstream.
        pub entry: Option<ListedUpstream>,
    }
}

/// An entry that is retained although the source removed it.
#[derive(Debug)]
struct RetainedEntry {
    entry: ListedUpstream,
    /// The last position at which the source listed the entry.
    listed_at: SourcePosition,
}

/// The entries of the source, by their names there.
///
/// While the source is unavailable, entries expire although their upstreams are
/// alive. An entry that is found removed shortly after the source recovered is
/// therefore retained until its upstream has had time to register again.
#[derive(Debug, Default)]
pub struct SourceView {
    position: SourcePosition,
    entries: BTreeMap<Arc<str>, ListedUpstream>,
    retained: BTreeMap<Arc<str>, RetainedEntry>,
    untrusted_until: Option<Instant>,
}

impl SourceView {
    /// The position up to which the view is complete.
    pub const fn position(&self) -> SourcePosition {
        self.position
    }

    /// Records that the source is available again; `failed` is when a read last failed.
    pub fn source_recovered(&mut self, failed: Instant) {
        self.untrusted_until = Some(failed + REMOVAL_TRUST_DELAY);
    }

    /// Replaces all entries by a listing of the source. `known` is the node's current
    /// snapshot, which may contain entries that expired while the source was unavailable.
    pub fn replace(
        &mut self,
        now: Instant,
        position: SourcePosition,
        listed: Vec<SourceEvent>,
        known: Option<&UpstreamSnapshot>,
    ) {
        let latest = known.map_or(self.position, |known| {
            known.version.position.max(self.position)
        });
        if latest > SourcePosition::default() && position.era() > latest.era() {
            // What the copy lacks is written again.
            let until = now + REMOVAL_TRUST_DELAY;
            self.untrusted_until = self.untrusted_until.max(Some(until));
        }
        let mut previous = std::mem::take(&mut self.entries);
        let mut listed_at = self.position;
        if let Some(known) = known.filter(|snapshot| snapshot.version.position >= self.position) {
            listed_at = known.version.position;
            let entries = known.entries.values().filter_map(|entry| {
                let name = entry.upstream.instance.clone()?;
                Some((name, entry.clone()))
            });
            previous = entries.collect();
        }
        self.position = position;
        for event in listed {
            if let Some(entry) = event.entry {
                self.entries.insert(event.name, entry);
            }
        }
        self.retained
            .retain(|name, _| !self.entries.contains_key(name));
        for (name, entry) in previous {
            if !self.entries.contains_key(&name) {
                self.retain_if_untrusted(now, name, entry, listed_at);
            }
        }
    }

    /// Applies changes of single entries.
    pub fn update(&mut self, now: Instant, position: SourcePosition, events: Vec<SourceEvent>) {
        let listed_at = std::mem::replace(&mut self.position, position);
        for SourceEvent { name, entry } in events {
            let removed = match entry {
                Some(entry) => {
                    self.retained.remove(&name);
                    self.entries.insert(name, entry);
                    continue;
                }
                None => self.entries.remove(&name),
            };
            if let Some(removed) = removed {
                self.retain_if_untrusted(now, name, removed, listed_at);
            }
        }
    }

    fn retain_if_untrusted(
        &mut self,
        now: Instant,
        name: Arc<str>,
        entry: ListedUpstream,
        listed_at: SourcePosition,
    ) {
        if self.untrusted_until.is_some_and(|until| now < until) {
            self.retained
                .insert(name, RetainedEntry { entry, listed_at });
        }
    }

    /// When retained entries are dropped; `None` without retained entries.
    pub fn removals_due_at(&self) -> Option<Instant> {
        self.untrusted_until.filter(|_| !self.retained.is_empty())
    }

    /// Drops retained entries once their time is over.
    pub fn apply_due_removals(&mut self, now: Instant) {
        if self.untrusted_until.is_some_and(|until| now >= until) {
            self.untrusted_until = None;
            self.retained.clear();
        }
    }

    /// The snapshot of all entries, including the retained ones.
    pub fn snapshot(&self) -> UpstreamSnapshot {
        let retained = self.retained.values();
        let entries = retained
            .clone()
            .map(|retained| &retained.entry)
            .chain(self.entries.values());
        let version = match u32::try_from(self.retained.len()) {
            Ok(0) => SnapshotVersion::settled_at(self.position),
            count => SnapshotVersion::with_retained(self.position, count.unwrap_or(u32::MAX)),
        };
        UpstreamSnapshot {
            version,
            entries: entries
                .map(|entry| (entry.upstream.id.clone(), entry.clone()))
                .collect(),
            retained: retained
                .map(|retained| (retained.entry.upstream.id.clone(), retained.listed_at))
                .collect(),
        }
    }
}
