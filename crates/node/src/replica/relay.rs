//! Reads the source on behalf of the nodes of a data centre.

use std::sync::Arc;
use std::time::Duration;

use model::position::SourceEra;
use policy::replica::{SourceView, StartWatch};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::source::SourceError;
use super::task::{ReplicaCommand, ReplicaHandle, ReplicaParts};
use crate::wire::{NodeRequest, ReplicaRequest};

/// How often a node that does not read the source checks whether it has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum duration of one watch. It is short, so that an unresponsive connection is
/// detected before a change has to be in force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a change, so that changes that follow closely arrive in one response.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// How often a relay sends heartbeats to the other nodes of its data centre.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a heartbeat from any relay after which a node reads the source
/// itself. It allows for three lost heartbeats and is shorter than the time within
/// which a leaving upstream must get no more requests.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long a node may know of a newer snapshot without receiving it before it reads
/// the source itself: on a congested link, a relay's heartbeats can still arrive when
/// its snapshots do not.
const LAG_MAX: Duration = Duration::from_millis(800);
/// Maximum age of the last successful read of each kind for a relay to send heartbeats.
const READ_AGE_MAX: Duration = Duration::from_millis(2_200);
/// Pause before the first retry of a failed read; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause between retries of a relay. A node that was cut off has to catch up
/// within three seconds.
const RELAY_RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
/// Maximum pause between retries of a node that is not a relay.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Starts a reader for each kind of snapshot and the task that sends heartbeats.
pub(super) fn start(parts: &ReplicaParts, replica: &ReplicaHandle) {
    let (last_reads, last_reads_watch) = watch::channel(LastReads::default());
    tokio::spawn(send_heartbeats(
        parts.clone(),
        replica.clone(),
        last_reads_watch,
    ));
    let progress = Arc::new(ReadProgress {
        last_reads,
        newest_era: watch::channel(SourceEra::default()).0,
    });
    for kind in [SnapshotKind::Routes, SnapshotKind::Upstreams] {
        let progress = Arc::clone(&progress);
        tokio::spawn(run(parts.clone(), replica.clone(), kind, progress));
    }
}

/// When a read of each kind last succeeded.
#[derive(Debug, Clone, Copy, Default)]
struct LastReads {
    routes: Option<Instant>,
    upstreams: Option<Instant>,
}

impl LastReads {
    fn record(&mut self, kind: SnapshotKind) {
        let last_read = match kind {
            SnapshotKind::Routes => &mut self.routes,
            SnapshotKind::Upstreams => &mut self.upstreams,
        };
        *last_read = Some(Instant::now());
    }

    /// Whether the last read of each kind is recent.
    fn are_current(&self) -> bool {
        let reads = [self.routes, self.upstreams];
        reads
            .iter()
            .all(|read| read.is_some_and(|at| at.elapsed() <= READ_AGE_MAX))
    }

    /// Milliseconds since the last read of a kind, for logs.
    fn age_millis(last_read: Option<Instant>) -> Option<u64> {
        u64::try_from(last_read?.elapsed().as_millis()).ok()
    }
}

/// Sends heartbeats while this node is the relay and its reads of the source succeed.
async fn send_heartbeats(
    parts: ReplicaParts,
    replica: ReplicaHandle,
    last_reads_watch: watch::Receiver<LastReads>,
) {
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut was_current = false;
    while !replica.is_closed() {
        ticks.tick().await;
        let last_reads = *last_reads_watch.borrow();
        let table = parts.members.table();
        let is_current = last_reads.are_current();
        if was_current && !is_current {
            log::warn!(
                target: "relay",
                routes_age_ms:? = LastReads::age_millis(last_reads.routes),
                upstreams_age_ms:? = LastReads::age_millis(last_reads.upstreams);
                "No heartbeats as a relay: the source was last read too long ago."
            );
        }
        was_current = is_current;
        if !is_current || !table.is_snapshot_relay(Instant::now()) {
            continue;
        }
        let heartbeat = NodeRequest::Replica(ReplicaRequest::Heartbeat {
            from: table.own().clone(),
            summary: replica.snapshot().summary(),
        });
        for member in table.local_peers() {
            parts.peers.notify(&member, &heartbeat);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SnapshotKind {
    Routes,
    Upstreams,
}

impl std::fmt::Display for SnapshotKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Routes => "routes",
            Self::Upstreams => "upstreams",
        })
    }
}

async fn run(
    parts: ReplicaParts,
    replica: ReplicaHandle,
    kind: SnapshotKind,
    progress: Arc<ReadProgress>,
) {
    let start = StartWatch::new(Instant::now(), parts.first_start);
    let mut reader = SourceReader {
        parts,
        replica,
        start,
        progress,
        view: SourceView::default(),
        unavailable_since: None,
        last_failure: Instant::now(),
        retry_pause: RETRY_PAUSE,
    };
    while !reader.replica.is_closed() {
        let members = reader.parts.members.table().len();
        reader.start.record_members(Instant::now(), members);
        if !reader.must_read(kind) {
            time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let silence_ms = u64::try_from(reader.replica.heartbeat_age().as_millis());
        log::info!(
            target: "relay",
            relay = reader.is_relay(),
            silence_ms = silence_ms.unwrap_or(u64::MAX);
            "Reading the {kind} from the source."
        );
        let result = match kind {
            SnapshotKind::Routes => reader.follow_routes().await,
            SnapshotKind::Upstreams => reader.follow_upstreams().await,
        };
        if let Err(error) = result {
            reader.handle_error(kind, &error).await;
        }
    }
}

/// What the readers of both kinds of snapshot have in common.
struct ReadProgress {
    /// When a read of each kind last succeeded.
    last_reads: watch::Sender<LastReads>,
    /// The newest era that a read returned.
    newest_era: watch::Sender<SourceEra>,
}

/// Reads one kind of snapshot for as long as this node has to read the source.
struct SourceReader {
    parts: ReplicaParts,
    replica: ReplicaHandle,
    start: StartWatch,
    progress: Arc<ReadProgress>,
    view: SourceView,
    unavailable_since: Option<Instant>,
    /// When a read last failed.
    last_failure: Instant,
    retry_pause: Duration,
}

impl SourceReader {
    /// Whether this node has to read the source: it is the relay of its data centre, or
    /// no relay keeps it up to date.
    fn must_read(&self, kind: SnapshotKind) -> bool {
        let is_relay = self.is_relay();
        if !self.start.may_read(Instant::now(), is_relay) {
            return false;
        }
        if is_relay {
            return true;
        }
        let (snapshot, lag) = (self.replica.snapshot(), self.replica.lag());
        let (is_missing, behind_since) = match kind {
            SnapshotKind::Routes => (snapshot.routes.is_none(), lag.routes),
            SnapshotKind::Upstreams => (snapshot.upstreams.is_none(), lag.upstreams),
        };
        let is_behind = behind_since.is_some_and(|since| since.elapsed() > LAG_MAX);
        let relay_lost = self.replica.heartbeat_age() > HEARTBEAT_TIMEOUT;
        is_missing || is_behind || relay_lost
    }

    fn is_relay(&self) -> bool {
        self.parts.members.table().is_snapshot_relay(Instant::now())
    }

    async fn handle_error(&mut self, kind: SnapshotKind, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            log::info!(target: "relay", "Reading the {kind} again in full: {error}.");
            return;
        }
        if self.unavailable_since.is_none() {
            log::warn!(target: "relay", "The source of the {kind} is away: {error}.");
            self.unavailable_since = Some(Instant::now());
        }
        self.last_failure = Instant::now();
        time::sleep(self.retry_pause.mul_f64(rand::random_range(0.7..1.3))).await;
        let pause_max = if self.is_relay() {
            RELAY_RETRY_PAUSE_MAX
        } else {
            RETRY_PAUSE_MAX
        };
        self.retry_pause = (self.retry_pause * 2).min(pause_max);
    }

    fn record_success(&mut self, kind: SnapshotKind, era: SourceEra) {
        self.retry_pause = RETRY_PAUSE;
        self.progress.newest_era.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        });
        self.progress
            .last_reads
            .send_modify(|reads| reads.record(kind));
        if let Some(since) = self.unavailable_since.take() {
            let outage_millis = since.elapsed().as_millis();
            log::info!(target: "relay", "The source of the {kind} is back after {outage_millis} ms.");
            self.view.source_recovered(self.last_failure);
        }
    }

    async fn follow_routes(&mut self) -> Result<(), SourceError> {
        let mut read = (self.parts.source.read_routes)().await?;
        loop {
            self.record_success(SnapshotKind::Routes, read.position.era());
            if let Some(routes) = read.snapshot.take() {
                self.replica.send(ReplicaCommand::Routes(routes)).await;
            }
            if !self.must_read(SnapshotKind::Routes) {
                return Ok(());
            }
            let watching = (self.parts.source.watch_routes)(read.position, WATCH_TIMEOUT);
            read = tokio::select! {
                read = watching => read?,
                // A read of upstreams noticed a restoration, of which a watch may not tell.
                () = self.later_era(read.position.era()) => return Err(SourceError::HistoryGone),
            };
        }
    }

    /// Returns when a read returned a later era.
    async fn later_era(&self, era: SourceEra) {
        let mut newest_era = self.progress.newest_era.subscribe();
        // The sender lives as long as this reader.
        let _ = newest_era.wait_for(|newest| *newest > era).await;
    }

    async fn follow_upstreams(&mut self) -> Result<(), SourceError> {
        let read = (self.parts.source.read_upstreams)().await?;
        self.record_success(SnapshotKind::Upstreams, read.position.era());
        let current = self.replica.snapshot().upstreams;
        self.view.replace(
            Instant::now(),
            read.position,
            read.events,
            current.as_deref(),
        );
        loop {
            self.publish().await;
            if !self.must_read(SnapshotKind::Upstreams) {
                return Ok(());
            }
            let watch_source = Arc::clone(&self.parts.source.watch_upstreams);
            let watching = watch_source(self.view.position(), WATCH_TIMEOUT);
            let removals_due_at = self.view.removals_due_at();
            let removals_due = time::sleep_until(removals_due_at.unwrap_or_else(Instant::now));
            tokio::pin!(watching, removals_due);
            let read = loop {
                tokio::select! {
                    read = &mut watching => break read?,
                    () = &mut removals_due, if self.view.removals_due_at().is_some() => {
                        self.view.apply_due_removals(Instant::now());
                        self.publish().await;
                    }
                }
            };
            self.record_success(SnapshotKind::Upstreams, read.position.era());
            let now = Instant::now();
            self.view.apply_due_removals(now);
            let changed = !read.events.is_empty();
            self.view.update(now, read.position, read.events);
            if changed {
                self.publish().await;
                time::sleep(CHANGE_PAUSE).await;
            }
        }
    }

    async fn publish(&self) {
        let snapshot = self.view.snapshot();
        self.replica.send(ReplicaCommand::Upstreams(snapshot)).await;
    }
}
