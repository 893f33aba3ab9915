//! Books: which copy is newer, and which removals are believed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::replica::{self, ChangeResult, SourceEvent, SourceView, UpstreamChange};
use model::config::{ListedUpstream, SnapshotVersion, Upstream, UpstreamSnapshot, UpstreamState};
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

fn listed(ids: &[&str]) -> Vec<SourceEvent> {
    let events = ids.iter().map(|id| SourceEvent {
        name: Arc::from(*id),
        entry: Some(entry(id, UpstreamState::Active)),
    });
    events.collect()
}

fn removed(id: &str) -> SourceEvent {
    SourceEvent {
        name: id.into(),
        entry: None,
    }
}

fn revision(number: u64) -> ObjectVersion {
    ObjectVersion::new(number)
}

#[tokio::test(start_paused = true)]
async fn a_removal_counts_at_once_while_the_source_is_there() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    view.update(Instant::now(), revision(6), vec![removed("a")]);
    let book = view.snapshot();
    assert_eq!(book.entries.len(), 1);
    assert_eq!(book.version, SnapshotVersion::settled_at(revision(6)));
}

#[tokio::test(start_paused = true)]
async fn what_lapsed_while_the_source_was_away_has_time_to_come_back() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    let before = view.snapshot();
    view.source_recovered(Instant::now());
    view.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    assert_eq!(view.snapshot().entries.len(), 3);
    view.update(Instant::now(), revision(10), listed(&["b"]));
    time::advance(Duration::from_millis(1_600)).await;
    view.apply_due_removals(Instant::now());
    assert_eq!(view.snapshot().entries.len(), 3, "their time is not over");
    time::advance(Duration::from_millis(200)).await;
    view.apply_due_removals(Instant::now());
    let book = view.snapshot();
    assert_eq!(book.entries.len(), 2, "c did not come back");
    assert!(book.version > SnapshotVersion::with_retained(revision(10), 1));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_was_cut_off_does_not_use_what_left_for_long() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let before = view.snapshot();
    // The last failed read hung for a second since just before the cut's end.
    let failed = Instant::now() + Duration::from_secs(1);
    time::advance(Duration::from_secs(2)).await;
    view.source_recovered(failed);
    view.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    time::advance(Duration::from_millis(900)).await;
    view.apply_due_removals(Instant::now());
    assert_eq!(
        view.snapshot().entries.len(),
        1,
        "three seconds after the cut"
    );
}

#[tokio::test(start_paused = true)]
async fn what_left_during_a_cut_does_not_come_back_to_those_who_saw_it_leave() {
    let mut cut_off = SourceView::default();
    cut_off.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    let stale = cut_off.snapshot();
    let mut other = SourceView::default();
    other.replace(Instant::now(), revision(5), listed(&["a", "b", "c"]), None);
    other.update(Instant::now(), revision(7), vec![removed("b")]);
    cut_off.source_recovered(Instant::now());
    cut_off.replace(Instant::now(), revision(9), listed(&["a"]), Some(&stale));
    let returned = cut_off.snapshot();
    assert_eq!(returned.entries.len(), 3, "it cannot tell what lapsed");
    assert!(returned.version > other.snapshot().version);
    let taken = replica::drop_confirmed_removals(returned.clone(), &other.snapshot());
    let left: Vec<_> = taken.entries.into_keys().collect();
    assert_eq!(left, [name("a:1"), name("c:1")], "b was seen to leave");
    assert_eq!(taken.version, returned.version);
    let change = UpstreamChange::between(&stale, &returned);
    let ChangeResult::Applied(made) = change.apply(Some(&stale)) else {
        panic!("the change applies to its base");
    };
    assert_eq!(made, returned, "a change tells what is held");
}

#[tokio::test(start_paused = true)]
async fn a_copy_older_than_the_last_list_proves_nothing_gone() {
    let mut early = SourceView::default();
    early.replace(Instant::now(), revision(4), listed(&["a"]), None);
    let mut late = SourceView::default();
    late.replace(Instant::now(), revision(5), listed(&["a", "b"]), None);
    let before = late.snapshot();
    late.source_recovered(Instant::now());
    late.replace(Instant::now(), revision(9), listed(&["a"]), Some(&before));
    let taken = replica::drop_confirmed_removals(late.snapshot(), &early.snapshot());
    assert_eq!(taken.entries.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_node_holds_back_only_what_its_newest_copy_lists() {
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

#[tokio::test(start_paused = true)]
async fn a_restarted_node_takes_what_others_know_for_what_lapsed() {
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

#[tokio::test(start_paused = true)]
async fn an_instance_that_started_again_replaces_the_one_before() {
    let mut view = SourceView::default();
    view.replace(Instant::now(), revision(5), listed(&["a"]), None);
    let mut again = entry("a", UpstreamState::Active);
    again.upstream.id = name("a:2");
    let event = SourceEvent {
        name: "a".into(),
        entry: Some(again),
    };
    view.update(Instant::now(), revision(6), vec![event]);
    let ids: Vec<_> = view.snapshot().entries.into_keys().collect();
    assert_eq!(ids, [name("a:2")]);
}

fn book(mark: u64, ids: &[u8]) -> UpstreamSnapshot {
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
        version: SnapshotVersion::settled_at(revision(mark)),
        entries: entries.collect(),
        retained: BTreeMap::new(),
    }
}

quickcheck! {
    fn a_change_makes_the_newer_book_out_of_the_older(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (book(3, &old), book(7, &new));
        let change = UpstreamChange::between(&old, &new);
        change.apply(Some(&old)) == ChangeResult::Applied(new.clone())
            && change.apply(Some(&new)) == ChangeResult::UpToDate
    }

    fn a_change_never_applies_to_another_book(ids: Vec<u8>, mark: u64) -> bool {
        let (old, new) = (book(3, &[1]), book(7, &ids));
        let change = UpstreamChange::between(&old, &new);
        let other = book(mark % 7, &[1, 2]);
        match change.apply(Some(&other)) {
            ChangeResult::Applied(_) => other.version == old.version,
            ChangeResult::UpToDate => other.version >= new.version,
            ChangeResult::BaseMismatch => other.version != old.version,
        }
    }
}
