//! Upstream snapshots: which version is newer, and which removals are trusted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::replica::{self, ChangeResult, SourceEvent, SourceView, UpstreamChange};
use model::config::{ListedUpstream, SnapshotVersion, Upstream, UpstreamSnapshot, UpstreamState};
use model::position::{SourceEra, SourcePosition};
use model::sizes::{ObjectVersion, SlotCount};
use quickcheck::quickcheck;
use tokio::time::{self, Instant};

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn entry(id: &str, state: UpstreamState) -> ListedUpstream {
    ListedUpstream {
        service: name("stocklist"),
        upstream: Upstream {
            id: name(&format!("{id}:1")),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: name("ikeja"),
            slots: SlotCount::new(4),
            state,
            instance: Some(id.into()),
        },
    }
}

/// A listing of the source that contains active upstreams.
fn listed(ids: &[&str]) -> Vec<SourceEvent> {
    let events = ids.iter().map(|id| SourceEvent {
        name: Arc::from(*id),
        entry: Some(entry(id, UpstreamState::Active)),
    });
    events.collect()
}

/// The removal of an entry at the source.
fn removed(id: &str) -> SourceEvent {
    SourceEvent {
        name: id.into(),
        entry: None,
    }
}

fn position(era: u64, revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra::new(era), ObjectVersion::new(revision))
}

fn revision(number: u64) -> SourcePosition {
    position(0, number)
}

/// While the source is available, a removed entry belongs to a stopped upstream, which
/// must not be used any more.
#[tokio::test(start_paused = true)]
async fn a_removal_takes_effect_immediately_while_the_source_is_available() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    view.update(Instant::now(), revision(6), vec![removed("a")]);
    let snapshot = view.snapshot();
    assert_eq!(snapshot.entries.len(), 1);
    assert_eq!(snapshot.version, SnapshotVersion::settled_at(revision(6)));
}

/// While the source is unavailable, the entries of live upstreams expire. The first listing
/// afterwards lacks them, and the nodes must keep using them until they had time to
/// register again.
#[tokio::test(start_paused = true)]
async fn entries_that_expired_while_the_source_was_unavailable_are_retained_for_a_while() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    let before = view.snapshot();
    view.source_recovered(Instant::now());
    view.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    assert_eq!(view.snapshot().entries.len(), 3);
    view.update(Instant::now(), revision(10), listed(&["b"]));
    time::advance(Duration::from_millis(1_600)).await;
    view.apply_due_removals(Instant::now());
    assert_eq!(
        view.snapshot().entries.len(),
        3,
        "the removals are not due yet"
    );
    time::advance(Duration::from_millis(200)).await;
    view.apply_due_removals(Instant::now());
    let snapshot = view.snapshot();
    assert_eq!(snapshot.entries.len(), 2, "c did not register again");
    assert!(snapshot.version > SnapshotVersion::with_retained(revision(10), 1));
}

/// To a node that was disconnected from the source, the removals of the meantime look
/// like expired entries. It must drop them within 3 s of the end of the disconnection,
/// even if its last failed read hung for a second after that.
#[tokio::test(start_paused = true)]
async fn a_disconnected_node_stops_using_removed_upstreams_in_time() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let before = view.snapshot();
    // The last failed read started just before the disconnection ended and took 1 s.
    let failed = Instant::now() + Duration::from_secs(1);
    time::advance(Duration::from_secs(2)).await;
    view.source_recovered(failed);
    view.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    time::advance(Duration::from_millis(900)).await;
    view.apply_due_removals(Instant::now());
    assert_eq!(
        view.snapshot().entries.len(),
        1,
        "three seconds after the disconnection"
    );
}

/// A disconnected node retains entries that others saw removed, and its next snapshot has
/// the higher version. Nodes that received the removal must not use these entries again
/// when they take over that snapshot.
#[tokio::test(start_paused = true)]
async fn a_removal_that_a_node_observed_is_not_undone_by_a_disconnected_node() {
    let mut disconnected = SourceView::default();
    disconnected.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    let stale = disconnected.snapshot();
    let mut other = SourceView::default();
    other.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    other.update(Instant::now(), revision(7), vec![removed("b")]);
    disconnected.source_recovered(Instant::now());
    disconnected.replace(Instant::now(), revision(9), listed(&["a"]), Some(&stale));
    let returned = disconnected.snapshot();
    assert_eq!(
        returned.entries.len(),
        3,
        "it cannot distinguish removed entries from expired ones"
    );
    assert!(returned.version > other.snapshot().version);
    let merged = replica::drop_confirmed_removals(returned.clone(), &other.snapshot());
    let remaining: Vec<_> = merged.entries.into_keys().collect();
    assert_eq!(
        remaining,
        [name("a:1"), name("c:1")],
        "the removal of b was observed"
    );
    assert_eq!(merged.version, returned.version);
    let change = UpstreamChange::between(&stale, &returned);
    let ChangeResult::Applied(applied) = change.apply(Some(&stale)) else {
        panic!("the change does not apply to its base");
    };
    assert_eq!(applied, returned, "a change carries the retained entries");
}

/// A snapshot that is older than an entry lacks it without a removal. It must not confirm
/// the removal of that entry.
#[tokio::test(start_paused = true)]
async fn a_snapshot_older_than_the_last_listing_confirms_no_removal() {
    let mut early = SourceView::default();
    early.replace(Instant::now(), revision(4), listed(&["a"]), None);
    let mut late = SourceView::default();
    late.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let before = late.snapshot();
    late.source_recovered(Instant::now());
    late.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    let merged = replica::drop_confirmed_removals(late.snapshot(), &early.snapshot());
    assert_eq!(merged.entries.len(), 2);
}

/// A node that received a newer snapshot while it could not read the source must retain
/// only entries of that snapshot, not older ones of its own view.
#[tokio::test(start_paused = true)]
async fn a_node_retains_only_entries_of_its_newest_snapshot() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let mut other = SourceView::default();
    other.replace(Instant::now(), revision(7), listed(&["a"]), None);
    view.source_recovered(Instant::now());
    view.replace(
        Instant::now(),
        revision(9),
        listed(&["a"]),
        Some(&other.snapshot()),
    );
    assert_eq!(view.snapshot().entries.len(), 1);
}

/// A node that restarts while the source is unavailable has no entries of its own. It must
/// retain the expired entries of a snapshot that it received from another node.
#[tokio::test(start_paused = true)]
async fn a_restarted_node_retains_expired_entries_of_a_received_snapshot() {
    let mut old = SourceView::default();
    old.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let mut fresh = SourceView::default();
    fresh.source_recovered(Instant::now());
    fresh.replace(
        Instant::now(),
        revision(8),
        listed(&["a"]),
        Some(&old.snapshot()),
    );
    assert_eq!(fresh.snapshot().entries.len(), 2);
}

/// A restored source gives revisions out again. Its listing must replace a snapshot with a
/// higher revision of an earlier era, and the same revision must not pass for the same
/// snapshot.
#[tokio::test(start_paused = true)]
async fn a_listing_of_a_restored_source_is_newer_than_every_earlier_one() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), position(1, 90), listed(&["a", "b"]), None);
    let before = view.snapshot();
    view.replace(
        Instant::now(),
        position(2, 50),
        listed(&["a"]),
        Some(&before),
    );
    let lower = view.snapshot();
    assert!(lower.version > before.version);
    view.update(Instant::now(), position(2, 90), listed(&["c"]));
    let same = view.snapshot();
    assert!(same.version > before.version && same.version > lower.version);
    let change = UpstreamChange::between(&lower, &same);
    assert_eq!(change.apply(Some(&before)), ChangeResult::BaseMismatch);
}

/// The copy lacks upstreams that registered lately, which write their entries again. Until
/// then they must stay in use, even if this node did not notice that the source was away.
#[tokio::test(start_paused = true)]
async fn entries_that_a_copy_lacks_are_retained_for_a_while() {
    let mut view = SourceView::default();
    view.replace(
        Instant::now(),
        position(1, 90),
        listed(&["a", "b", "c"]),
        None,
    );
    let before = view.snapshot();
    view.replace(
        Instant::now(),
        position(2, 50),
        listed(&["a"]),
        Some(&before),
    );
    assert_eq!(view.snapshot().entries.len(), 3);
    view.update(Instant::now(), position(2, 51), listed(&["b"]));
    time::advance(Duration::from_millis(1_800)).await;
    view.apply_due_removals(Instant::now());
    assert_eq!(view.snapshot().entries.len(), 2, "c did not register again");
}

/// A snapshot of an earlier era has an entry that a later one lacks: the copy may lack it,
/// too, so this is no removal.
#[tokio::test(start_paused = true)]
async fn a_snapshot_of_an_earlier_era_confirms_no_removal_of_a_later_entry() {
    let mut early = SourceView::default();
    early.replace(Instant::now(), position(1, 90), listed(&["a"]), None);
    let mut late = SourceView::default();
    late.replace(Instant::now(), position(2, 50), listed(&["a", "b"]), None);
    let before = late.snapshot();
    late.source_recovered(Instant::now());
    late.replace(
        Instant::now(),
        position(2, 60),
        listed(&["a"]),
        Some(&before),
    );
    let merged = replica::drop_confirmed_removals(late.snapshot(), &early.snapshot());
    assert_eq!(merged.entries.len(), 2);
}

/// An instance that restarts registers under its old name with a new upstream id. The old
/// upstream must not stay in the snapshot.
#[tokio::test(start_paused = true)]
async fn a_restarted_instance_replaces_its_previous_entry() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a"]), None);
    let mut restarted = entry("a", UpstreamState::Active);
    restarted.upstream.id = name("a:2");
    let event = SourceEvent {
        name: "a".into(),
        entry: Some(restarted),
    };
    view.update(Instant::now(), revision(6), vec![event]);
    let ids: Vec<_> = view.snapshot().entries.into_keys().collect();
    assert_eq!(ids, [name("a:2")]);
}

/// A snapshot at a revision with an upstream for each number; every third one drains.
fn snapshot(number: u64, ids: &[u8]) -> UpstreamSnapshot {
    let entries = ids.iter().map(|id| {
        let state = if id % 3 == 0 {
            UpstreamState::Draining
        } else {
            UpstreamState::Active
        };
        let entry = entry(&format!("u{}", id % 16), state);
        (entry.upstream.id.clone(), entry)
    });
    UpstreamSnapshot {
        version: SnapshotVersion::settled_at(revision(number)),
        entries: entries.collect(),
        retained: BTreeMap::new(),
    }
}

quickcheck! {
    /// A change must turn the older snapshot into exactly the newer one, or nodes that receive
    /// changes diverge from those that fetch whole snapshots.
    fn a_change_turns_the_older_snapshot_into_the_newer(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (snapshot(3, &old), snapshot(7, &new));
        let change = UpstreamChange::between(&old, &new);
        change.apply(Some(&old)) == ChangeResult::Applied(new.clone())
            && change.apply(Some(&new)) == ChangeResult::UpToDate
    }

    /// A change that applied to another snapshot than its base would leave out or undo
    /// earlier changes.
    fn a_change_applies_only_to_its_base(ids: Vec<u8>, number: u64) -> bool {
        let (old, new) = (snapshot(3, &[1]), snapshot(7, &ids));
        let change = UpstreamChange::between(&old, &new);
        let other = snapshot(number % 7, &[1, 2]);
        match change.apply(Some(&other)) {
            ChangeResult::Applied(_) => other.version == old.version,
            ChangeResult::UpToDate => other.version >= new.version,
            ChangeResult::BaseMismatch => other.version != old.version,
        }
    }
}
