//! The task that owns a node's copies of the books.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::config::{RouteSnapshot, UpstreamSnapshot};
use model::ids;
use policy::invariant::{self, Invariant};
use policy::membership::Member;
use policy::replica::{self, ChangeResult, UpstreamChange};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::source::FleetSource;
use super::{compare, relay};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest, ReplicaMark, ReplicaReply, ReplicaRequest};

/// Messages that wait for the task; senders wait when it is full.
const COMMANDS_MAX: usize = 256;
/// How long a node is waited for before another one is asked for the same book.
const FETCH_PATIENCE: Duration = Duration::from_millis(300);
/// How long a node may take to send a book.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a node may take to acknowledge a change.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The books that a node has.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSnapshot {
    /// Routes.
    pub routes: Option<Arc<RouteSnapshot>>,
    /// Upstreams.
    pub upstreams: Option<Arc<UpstreamSnapshot>>,
}

impl ReplicaSnapshot {
    /// How new the books are.
    pub fn mark(&self) -> ReplicaMark {
        ReplicaMark {
            generation: self
                .routes
                .as_ref()
                .map_or_else(Default::default, |book| book.generation),
            upstreams: self
                .upstreams
                .as_ref()
                .map_or_else(Default::default, |book| book.version),
        }
    }
}

/// What the task is started from.
#[derive(Clone)]
pub struct ReplicaParts {
    /// Other nodes.
    pub peers: PeerSet,
    /// Who is in the fleet.
    pub members: MemberSet,
    /// Where the books come from.
    pub source: FleetSource,
    /// Addresses of nodes that may know the fleet.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// A book or a change of one, with the node that sent it; none from the source.
#[derive(Debug)]
pub(super) enum ReplicaCommand {
    Routes(RouteSnapshot),
    Upstreams(UpstreamSnapshot),
    Change(UpstreamChange, Arc<Member>),
    Heard(ReplicaMark, Arc<Member>),
    RoutesFetched(Option<RouteSnapshot>),
    UpstreamsFetched(Option<UpstreamSnapshot>),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    commands: mpsc::Sender<ReplicaCommand>,
    snapshot: watch::Receiver<ReplicaSnapshot>,
    /// When a relay of this data centre last proved that it reads the source.
    relay_seen: watch::Sender<Instant>,
    lags: watch::Receiver<ReplicaLag>,
    members: MemberSet,
}

impl ReplicaHandle {
    /// Starts the task, and those that read the source and compare with other nodes.
    pub fn start(parts: &ReplicaParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let (publish, snapshot) = watch::channel(ReplicaSnapshot::default());
        let (lag, lags) = watch::channel(ReplicaLag::default());
        let handle = Self {
            commands: commands.clone(),
            snapshot,
            relay_seen: watch::channel(Instant::now()).0,
            lags,
            members: parts.members.clone(),
        };
        let task = ReplicaTask {
            parts: parts.clone(),
            commands,
            publish,
            fetching_routes: None,
            fetching_upstreams: None,
            heard: ReplicaMark::default(),
            lag,
        };
        tokio::spawn(task.run(inbox));
        tokio::spawn(compare::run(parts.clone(), handle.clone()));
        relay::start(parts, &handle);
        handle
    }

    /// Follows the books.
    pub fn watch(&self) -> watch::Receiver<ReplicaSnapshot> {
        self.snapshot.clone()
    }

    /// The books as they are now.
    pub fn snapshot(&self) -> ReplicaSnapshot {
        self.snapshot.borrow().clone()
    }

    /// Answers another node.
    pub async fn answer(&self, request: ReplicaRequest) -> NodeReply {
        match request {
            ReplicaRequest::Compare {
                from,
                mark,
                members,
            } => {
                let table = self.members.table();
                self.members.introduce(from.clone()).await;
                let same = usize::try_from(members).is_ok_and(|count| count == table.len());
                let told = if same { Vec::new() } else { table.responsive() };
                self.tell(ReplicaCommand::Heard(mark, Arc::new(from))).await;
                NodeReply::Replica(ReplicaReply::Mark {
                    from: table.own().clone(),
                    mark: self.snapshot().mark(),
                    members: told,
                })
            }
            ReplicaRequest::Change { from, change } => {
                self.tell(ReplicaCommand::Change(change, Arc::new(from)))
                    .await;
                NodeReply::Done
            }
            ReplicaRequest::Heartbeat { from, mark } => {
                self.relay_seen.send_replace(Instant::now());
                self.tell(ReplicaCommand::Heard(mark, Arc::new(from))).await;
                NodeReply::Done
            }
            ReplicaRequest::Routes => {
                let book = self.snapshot().routes;
                NodeReply::Replica(ReplicaReply::Routes(book.map(Arc::unwrap_or_clone)))
            }
            ReplicaRequest::Upstreams => {
                let book = self.snapshot().upstreams;
                NodeReply::Replica(ReplicaReply::Upstreams(book.map(Arc::unwrap_or_clone)))
            }
        }
    }

    /// How long no relay proved that it reads the source.
    pub(super) fn relay_silence(&self) -> Duration {
        self.relay_seen.borrow().elapsed()
    }

    /// Since when this node has been told of newer books than its own.
    pub(super) fn lag(&self) -> ReplicaLag {
        *self.lags.borrow()
    }

    pub(super) async fn tell(&self, command: ReplicaCommand) {
        let _ = self.commands.send(command).await;
    }

    pub(super) fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }
}

/// Since when a node has been told of books newer than its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReplicaLag {
    pub(super) routes: Option<Instant>,
    pub(super) upstreams: Option<Instant>,
}

/// Whether a book may be fetched from a node while it is fetched from another.
fn may_fetch(present: Option<&(ids::NodeId, Instant)>, from: &Member) -> bool {
    present.is_none_or(|(node, since)| *node != from.node && since.elapsed() > FETCH_PATIENCE)
}

struct ReplicaTask {
    parts: ReplicaParts,
    commands: mpsc::Sender<ReplicaCommand>,
    publish: watch::Sender<ReplicaSnapshot>,
    /// From which node each book is fetched, and since when.
    fetching_routes: Option<(ids::NodeId, Instant)>,
    fetching_upstreams: Option<(ids::NodeId, Instant)>,
    /// The newest books that some node was heard to have.
    heard: ReplicaMark,
    lag: watch::Sender<ReplicaLag>,
}

impl ReplicaTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ReplicaCommand>) {
        while let Some(command) = inbox.recv().await {
            match command {
                ReplicaCommand::Routes(book) => self.take_routes(book),
                ReplicaCommand::Upstreams(book) => self.take_upstreams(book),
                ReplicaCommand::Change(change, from) => self.take_change(&change, &from),
                ReplicaCommand::Heard(mark, from) => self.compare(mark, &from),
                ReplicaCommand::RoutesFetched(book) => {
                    self.fetching_routes = None;
                    if let Some(book) = book {
                        self.take_routes(book);
                    }
                }
                ReplicaCommand::UpstreamsFetched(book) => {
                    self.fetching_upstreams = None;
                    if let Some(book) = book {
                        self.take_upstreams(book);
                    }
                }
            }
        }
    }

    fn mark(&self) -> ReplicaMark {
        self.publish.borrow().mark()
    }

    fn take_routes(&mut self, book: RouteSnapshot) {
        let current = self.mark().generation;
        if book.generation <= current {
            return;
        }
        invariant::check(
            Invariant::GenerationMonotonic,
            book.generation > current,
            || format!("generation {} would follow {current}", book.generation),
        );
        log::info!(
            target: "replica",
            generation = book.generation.get();
            "Configuration {} is in force, {current} before, with {} routes.",
            book.generation,
            book.routes.len()
        );
        self.publish
            .send_modify(|books| books.routes = Some(Arc::new(book)));
        self.note_lag();
        self.announce();
    }

    fn take_upstreams(&mut self, book: UpstreamSnapshot) {
        let before = self.publish.borrow().upstreams.clone();
        let mark = before
            .as_ref()
            .map_or_else(Default::default, |book| book.version);
        if book.version <= mark {
            return;
        }
        let book = Arc::new(match &before {
            Some(before) => replica::drop_confirmed_removals(book, before),
            None => book,
        });
        self.publish
            .send_modify(|books| books.upstreams = Some(Arc::clone(&book)));
        self.note_lag();
        match before {
            Some(before) => self.push(UpstreamChange::between(&before, &book)),
            None => self.announce(),
        }
    }

    fn take_change(&mut self, change: &UpstreamChange, from: &Arc<Member>) {
        let current = self.publish.borrow().upstreams.clone();
        match change.apply(current.as_deref()) {
            ChangeResult::Applied(book) => self.take_upstreams(book),
            ChangeResult::UpToDate => {}
            ChangeResult::BaseMismatch => {
                let mark = ReplicaMark {
                    upstreams: change.version,
                    ..self.mark()
                };
                self.compare(mark, from);
            }
        }
    }

    /// Fetches from a node what it has in a newer form.
    fn compare(&mut self, mark: ReplicaMark, from: &Arc<Member>) {
        let own = self.mark();
        self.heard.generation = self.heard.generation.max(mark.generation);
        self.heard.upstreams = self.heard.upstreams.max(mark.upstreams);
        self.note_lag();
        if mark.generation > own.generation && may_fetch(self.fetching_routes.as_ref(), from) {
            self.fetching_routes = Some((from.node.clone(), Instant::now()));
            self.fetch(from, ReplicaRequest::Routes);
        }
        if mark.upstreams > own.upstreams && may_fetch(self.fetching_upstreams.as_ref(), from) {
            self.fetching_upstreams = Some((from.node.clone(), Instant::now()));
            self.fetch(from, ReplicaRequest::Upstreams);
        }
    }

    /// Notes since when each book is older than one that was heard of.
    fn note_lag(&self) {
        let (own, heard) = (self.mark(), self.heard);
        let now = Instant::now();
        self.lag.send_if_modified(|lag| {
            let before = *lag;
            let since = |behind: bool, since: Option<Instant>| behind.then(|| since.unwrap_or(now));
            lag.routes = since(heard.generation > own.generation, lag.routes);
            lag.upstreams = since(heard.upstreams > own.upstreams, lag.upstreams);
            *lag != before
        });
    }

    fn fetch(&self, from: &Arc<Member>, request: ReplicaRequest) {
        let peers = self.parts.peers.clone();
        let commands = self.commands.clone();
        let from = Arc::clone(from);
        tokio::spawn(async move {
            let routes = matches!(request, ReplicaRequest::Routes);
            let asked = NodeRequest::Replica(request);
            let reply = peers.ask(&from, &asked, FETCH_TIMEOUT).await;
            let command = match reply {
                Ok(NodeReply::Replica(ReplicaReply::Routes(book))) => {
                    ReplicaCommand::RoutesFetched(book)
                }
                Ok(NodeReply::Replica(ReplicaReply::Upstreams(book))) => {
                    ReplicaCommand::UpstreamsFetched(book)
                }
                other => {
                    log::info!(target: "replica", "No book from {}: {other:?}.", from.node);
                    if routes {
                        ReplicaCommand::RoutesFetched(None)
                    } else {
                        ReplicaCommand::UpstreamsFetched(None)
                    }
                }
            };
            let _ = commands.send(command).await;
        });
    }

    /// Nodes that this one passes news on to: its neighbours when it relays for
    /// them, and the relays of the other data centres.
    fn audience(&self) -> Vec<Arc<Member>> {
        let now = Instant::now();
        let table = self.parts.members.table();
        if !table.is_snapshot_relay(now) {
            return Vec::new();
        }
        let mut audience = table.local_peers();
        let centres = table.data_centres().into_iter();
        let others = centres.filter(|centre| *centre != table.own().data_centre);
        audience.extend(
            others.filter_map(|centre: ids::DataCentreId| table.snapshot_relay(now, &centre)),
        );
        audience.retain(|member| !table.is_suspect(&member.node));
        audience
    }

    /// Tells others how new the books are; they fetch what they lack.
    fn announce(&self) {
        let table = self.parts.members.table();
        self.send_to_audience(&ReplicaRequest::Compare {
            from: table.own().clone(),
            mark: self.mark(),
            members: u32::try_from(table.len()).unwrap_or(u32::MAX),
        });
    }

    fn push(&self, change: UpstreamChange) {
        let from = self.parts.members.table().own().clone();
        self.send_to_audience(&ReplicaRequest::Change { from, change });
    }

    fn send_to_audience(&self, request: &ReplicaRequest) {
        for member in self.audience() {
            let peers = self.parts.peers.clone();
            let request = NodeRequest::Replica(request.clone());
            tokio::spawn(async move {
                let sent = peers.ask(&member, &request, PUSH_TIMEOUT).await;
                if let Err(error) = sent {
                    log::debug!(target: "replica", "{} missed news: {error}.", member.node);
                }
            });
        }
    }
}
