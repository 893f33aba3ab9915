//! Upstreams that left before the source was restored from a copy that still lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use gooseberrydyke_policy::replica::DepartureLog;
use model::config::{ListedUpstream, SnapshotVersion, Upstream, UpstreamSnapshot, UpstreamState};
use model::ids::UpstreamId;
use model::position::{SourceEra, SourcePosition};
use model::sizes::{ObjectVersion, SlotCount};
use tokio::time::{self, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ACTIVE: UpstreamState = UpstreamState::Active;
const DRAINING: UpstreamState = UpstreamState::Draining;

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

fn snapshot(era: u64, revision: u64, entries: &[(&str, UpstreamState)]) -> UpstreamSnapshot {
    let position = SourcePosition::new(SourceEra::new(era), ObjectVersion::new(revision));
    let entries = entries.iter().map(|(name, state)| {
        let upstream = Upstream {
            id: id(name),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "ikeja".parse().unwrap(),
            slots: SlotCount::new(4),
            state: *state,
            instance: None,
        };
        let service = "stocklist".parse().unwrap();
        (id(name), ListedUpstream { service, upstream })
    });
    UpstreamSnapshot {
        version: SnapshotVersion::settled_at(position),
        entries: entries.collect(),
        retained: BTreeMap::new(),
    }
}

/// Records a sequence of snapshots.
fn record(log: &mut DepartureLog, snapshots: &[UpstreamSnapshot]) {
    for pair in snapshots.windows(2) {
        log.record(Instant::now(), &pair[0], &pair[1]);
    }
}

fn leaving(log: &DepartureLog) -> Vec<UpstreamId> {
    log.leaving(Instant::now()).into_iter().collect()
}

#[tokio::test(start_paused = true)]
async fn upstreams_that_drained_or_left_do_not_come_back_with_a_copy() {
    let mut log = DepartureLog::new(HEARTBEAT);
    record(
        &mut log,
        &[
            snapshot(1, 90, &[("a", ACTIVE), ("b", ACTIVE), ("c", ACTIVE)]),
            snapshot(1, 91, &[("a", DRAINING), ("b", ACTIVE), ("c", ACTIVE)]),
            snapshot(1, 92, &[("a", DRAINING), ("c", ACTIVE)]),
            snapshot(2, 80, &[("a", ACTIVE), ("b", ACTIVE), ("c", ACTIVE)]),
        ],
    );
    assert_eq!(leaving(&log), [id("a"), id("b")]);
}

/// The entry of an upstream that is gone expires, and one that is listed still is alive.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_still_listed_after_a_while_comes_back() {
    let mut log = DepartureLog::new(HEARTBEAT);
    let restored = snapshot(2, 80, &[("a", ACTIVE), ("b", ACTIVE)]);
    record(
        &mut log,
        &[
            snapshot(1, 90, &[("a", ACTIVE), ("b", ACTIVE)]),
            snapshot(1, 91, &[]),
            restored.clone(),
            snapshot(2, 81, &[("a", ACTIVE)]),
        ],
    );
    assert_eq!(leaving(&log), [id("a")]);
    let due_at = log.next_change_at().unwrap();
    assert!(
        due_at >= Instant::now() + 3 * HEARTBEAT,
        "its entry may not have expired"
    );
    time::sleep_until(due_at).await;
    log.expire(Instant::now());
    assert!(leaving(&log).is_empty());
    assert_eq!(log.next_change_at(), None);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_registers_again_without_a_restoration_is_not_leaving() {
    let mut log = DepartureLog::new(HEARTBEAT);
    record(
        &mut log,
        &[
            snapshot(1, 90, &[("a", ACTIVE)]),
            snapshot(1, 91, &[]),
            snapshot(1, 92, &[("a", ACTIVE)]),
            snapshot(2, 80, &[("a", ACTIVE)]),
        ],
    );
    assert!(leaving(&log).is_empty());
}

#[tokio::test(start_paused = true)]
async fn departures_are_forgotten_after_some_minutes() {
    let mut log = DepartureLog::new(HEARTBEAT);
    let before = snapshot(1, 91, &[]);
    record(
        &mut log,
        &[snapshot(1, 90, &[("a", ACTIVE)]), before.clone()],
    );
    time::advance(Duration::from_mins(3)).await;
    record(&mut log, &[before, snapshot(2, 80, &[("a", ACTIVE)])]);
    assert!(leaving(&log).is_empty());
}

#[tokio::test(start_paused = true)]
async fn departures_last_longer_where_upstreams_write_their_entries_less_often() {
    let heartbeat = 10 * HEARTBEAT;
    let mut log = DepartureLog::new(heartbeat);
    record(
        &mut log,
        &[
            snapshot(1, 90, &[("a", ACTIVE)]),
            snapshot(1, 91, &[]),
            snapshot(2, 80, &[("a", ACTIVE)]),
        ],
    );
    time::advance(3 * heartbeat).await;
    assert_eq!(leaving(&log), [id("a")]);
}
