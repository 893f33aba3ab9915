//! Reads the source for the nodes of a data centre.

use std::sync::Arc;
use std::time::Duration;

use policy::replica::SourceView;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::source::SourceError;
use super::task::{ReplicaCommand, ReplicaHandle, ReplicaParts};
use crate::wire::{NodeRequest, ReplicaRequest};

/// How often a node looks whether it has to read.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);
/// How long one watch waits. Upstreams are watched in short steps, so that a
/// silent connection is noticed before a leaving upstream is due to be avoided.
const ROUTES_WAIT: Duration = Duration::from_secs(8);
const UPSTREAMS_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after changes, so that those that follow at once come in one answer.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// How often a relay tells its neighbours that it reads the source.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence of all relays after which a node reads the source itself: three lost
/// heartbeats, within the time in which a leaving upstream must get no more work.
const RELAY_SILENCE_MAX: Duration = Duration::from_millis(1_300);
/// How long a node may know of a newer book that nobody sends it before it reads
/// the source itself; a relay whose link is choked can still send heartbeats.
const LAG_MAX: Duration = Duration::from_millis(800);
/// Age of the last answer from the source up to which a relay vouches for its books.
const PROOF_SPAN: Duration = Duration::from_millis(2_200);
/// Pause before a failed read is made again, at first and at most, by a relay
/// and by other nodes. A node that was cut off has three seconds to catch up.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const RELAY_RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Starts one task for each book, and one that tells the neighbours of them.
pub(super) fn start(parts: &ReplicaParts, replica: &ReplicaHandle) {
    let (proof, proved) = watch::channel(None);
    tokio::spawn(vouch(parts.clone(), replica.clone(), proved));
    let proof = Arc::new(proof);
    for book in [Book::Routes, Book::Upstreams] {
        let proof = Arc::clone(&proof);
        tokio::spawn(run(parts.clone(), replica.clone(), book, proof));
    }
}

/// Sends heartbeats while this node relays and the source answers it.
async fn vouch(
    parts: ReplicaParts,
    replica: ReplicaHandle,
    proved: watch::Receiver<Option<Instant>>,
) {
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    while !replica.is_closed() {
        ticks.tick().await;
        let proof: Option<Instant> = *proved.borrow();
        let table = parts.members.table();
        let vouches = proof.is_some_and(|at| at.elapsed() <= PROOF_SPAN);
        if !vouches || !table.is_snapshot_relay(Instant::now()) {
            continue;
        }
        let heartbeat = NodeRequest::Replica(ReplicaRequest::Heartbeat {
            from: table.own().clone(),
            mark: replica.snapshot().mark(),
        });
        for member in table.local_peers() {
            parts.peers.tell(&member, &heartbeat);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Book {
    Routes,
    Upstreams,
}

impl std::fmt::Display for Book {
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
    book: Book,
    proof: Arc<watch::Sender<Option<Instant>>>,
) {
    let mut reader = SourceReader {
        parts,
        replica,
        started: Instant::now(),
        proof,
        view: SourceView::default(),
        away_since: None,
        failed: Instant::now(),
        pause: RETRY_PAUSE,
    };
    while !reader.replica.is_closed() {
        if !reader.is_due(book) {
            time::sleep(DUTY_INTERVAL).await;
            continue;
        }
        let silence_ms = u64::try_from(reader.replica.relay_silence().as_millis());
        log::info!(
            target: "relay",
            relay = reader.relays(),
            silence_ms = silence_ms.unwrap_or(u64::MAX);
            "Reading the {book} from the source."
        );
        let result = match book {
            Book::Routes => reader.follow_routes().await,
            Book::Upstreams => reader.follow_upstreams().await,
        };
        if let Err(error) = result {
            reader.note_error(book, &error).await;
        }
    }
}

/// How long a starting node waits for others before it reads the source itself.
#[derive(Debug, Clone, Copy)]
struct StartPatience {
    /// As the relay of its data centre.
    relay: Duration,
    /// Otherwise.
    other: Duration,
}

impl StartPatience {
    /// When all nodes start together and nothing waits for them: time enough to
    /// find each other, so that few read the source.
    const FIRST_START: Self = Self {
        relay: Duration::from_millis(700),
        other: Duration::from_secs(2),
    };
    /// When callers wait: a seed that runs answers within two round trips.
    const RESTART: Self = Self {
        relay: Duration::from_millis(100),
        other: Duration::from_millis(400),
    };

    const fn of(first_start: bool) -> Self {
        if first_start {
            Self::FIRST_START
        } else {
            Self::RESTART
        }
    }
}

/// Reads one book as long as this node is a relay.
struct SourceReader {
    parts: ReplicaParts,
    replica: ReplicaHandle,
    started: Instant,
    /// When the source last answered a read of upstreams.
    proof: Arc<watch::Sender<Option<Instant>>>,
    view: SourceView,
    away_since: Option<Instant>,
    /// When the source last did not answer.
    failed: Instant,
    pause: Duration,
}

impl SourceReader {
    /// Whether this node reads the source: as the relay of its data centre, or
    /// since no relay vouches for one.
    fn is_due(&self, book: Book) -> bool {
        let age = self.started.elapsed();
        let patience = StartPatience::of(self.parts.first_start);
        if self.relays() {
            return age >= patience.relay;
        }
        let (books, lag) = (self.replica.snapshot(), self.replica.lag());
        let (lacks, behind) = match book {
            Book::Routes => (books.routes.is_none(), lag.routes),
            Book::Upstreams => (books.upstreams.is_none(), lag.upstreams),
        };
        let behind = behind.is_some_and(|since| since.elapsed() > LAG_MAX);
        let unserved = self.replica.relay_silence() > RELAY_SILENCE_MAX;
        age >= patience.other && (lacks || behind || unserved)
    }

    fn relays(&self) -> bool {
        self.parts.members.table().is_snapshot_relay(Instant::now())
    }

    async fn note_error(&mut self, book: Book, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            log::info!(target: "relay", "Reading the {book} anew: {error}.");
            return;
        }
        if self.away_since.is_none() {
            log::warn!(target: "relay", "The source of the {book} is away: {error}.");
            self.away_since = Some(Instant::now());
        }
        self.failed = Instant::now();
        time::sleep(self.pause.mul_f64(rand::random_range(0.7..1.3))).await;
        let most = if self.relays() {
            RELAY_RETRY_PAUSE_MAX
        } else {
            RETRY_PAUSE_MAX
        };
        self.pause = (self.pause * 2).min(most);
    }

    fn note_success(&mut self, book: Book) {
        self.pause = RETRY_PAUSE;
        if book == Book::Upstreams {
            self.proof.send_replace(Some(Instant::now()));
        }
        if let Some(since) = self.away_since.take() {
            let away = since.elapsed().as_millis();
            log::info!(target: "relay", "The source of the {book} is back after {away} ms.");
            self.view.source_recovered(self.failed);
        }
    }

    async fn follow_routes(&mut self) -> Result<(), SourceError> {
        let mut read = (self.parts.source.read_routes)().await?;
        loop {
            self.note_success(Book::Routes);
            if let Some(book) = read.snapshot.take() {
                self.replica.tell(ReplicaCommand::Routes(book)).await;
            }
            if !self.is_due(Book::Routes) {
                return Ok(());
            }
            read = (self.parts.source.watch_routes)(read.revision, ROUTES_WAIT).await?;
        }
    }

    async fn follow_upstreams(&mut self) -> Result<(), SourceError> {
        let read = (self.parts.source.read_upstreams)().await?;
        self.note_success(Book::Upstreams);
        let known = self.replica.snapshot().upstreams;
        self.view
            .replace(Instant::now(), read.revision, read.events, known.as_deref());
        loop {
            self.publish().await;
            if !self.is_due(Book::Upstreams) {
                return Ok(());
            }
            let watch_source = Arc::clone(&self.parts.source.watch_upstreams);
            let watching = watch_source(self.view.revision(), UPSTREAMS_WAIT);
            let settles = self.view.removals_due_at();
            let settled = time::sleep_until(settles.unwrap_or_else(Instant::now));
            tokio::pin!(watching, settled);
            let read = loop {
                tokio::select! {
                    read = &mut watching => break read?,
                    () = &mut settled, if self.view.removals_due_at().is_some() => {
                        self.view.apply_due_removals(Instant::now());
                        self.publish().await;
                    }
                }
            };
            self.note_success(Book::Upstreams);
            let now = Instant::now();
            self.view.apply_due_removals(now);
            let changed = !read.events.is_empty();
            self.view.update(now, read.revision, read.events);
            if changed {
                self.publish().await;
                time::sleep(CHANGE_PAUSE).await;
            }
        }
    }

    async fn publish(&self) {
        let book = self.view.snapshot();
        self.replica.tell(ReplicaCommand::Upstreams(book)).await;
    }
}
