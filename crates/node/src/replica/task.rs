//! The task that owns a node's copies of the route and upstream snapshots.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::config::{RouteSnapshot, SnapshotVersion, UpstreamSnapshot};
use model::ids;
use policy::invariant::{self, Invariant};
use policy::membership::Member;
use policy::replica::{self, ChangeResult, DepartureLog, UpstreamChange};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

use super::source::FleetSource;
use super::{compare, relay};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest, ReplicaReply, ReplicaRequest, ReplicaSummary};

/// Messages queued for the task; senders wait when the queue is full.
const COMMANDS_MAX: usize = 256;
/// Time a fetch from one node may run before the same snapshot is fetched from another.
const FETCH_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Timeout for fetching a snapshot from a node.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for the acknowledgement of a pushed message.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The snapshots that a node has.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSnapshot {
    /// Routes; `None` until the first snapshot arrives.
    pub routes: Option<Arc<RouteSnapshot>>,
    /// Upstreams; `None` until the first snapshot arrives.
    pub upstreams: Option<Arc<UpstreamSnapshot>>,
    /// Upstreams that the snapshot lists as active and that this node knows to be leaving.
    pub leaving: Arc<BTreeSet<ids::UpstreamId>>,
}

impl ReplicaSnapshot {
    /// The versions of the snapshots, to compare with other nodes.
    pub fn summary(&self) -> ReplicaSummary {
        ReplicaSummary {
            generation: self
                .routes
                .as_ref()
                .map_or_else(Default::default, |routes| routes.generation),
            upstreams: self
                .upstreams
                .as_ref()
                .map_or_else(Default::default, |upstreams| upstreams.version),
        }
    }
}

/// What the replica's tasks depend on.
#[derive(Clone)]
pub struct ReplicaParts {
    /// Connections to other nodes.
    pub peers: PeerSet,
    /// The members of the fleet.
    pub members: MemberSet,
    /// The source of the snapshots.
    pub source: FleetSource,
    /// Addresses of nodes through which this one finds the fleet.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// How often an upstream writes its entry at the source.
    pub upstream_heartbeat: Duration,
}

/// A message to the replica's task.
#[derive(Debug)]
pub(super) enum ReplicaCommand {
    /// Routes read from the source.
    Routes(RouteSnapshot),
    /// Upstreams read from the source.
    Upstreams(UpstreamSnapshot),
    /// A change of upstreams that another node sent.
    Change(UpstreamChange, Arc<Member>),
    /// The versions that another node has.
    PeerSummary(ReplicaSummary, Arc<Member>),
    /// The end of a fetch of routes from another node; `None` when it failed or the node
    /// has none.
    RoutesFetched(Option<RouteSnapshot>),
    /// The end of a fetch of upstreams from another node; `None` when it failed or the node
    /// has none.
    UpstreamsFetched(Option<UpstreamSnapshot>),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    commands: mpsc::Sender<ReplicaCommand>,
    snapshot: watch::Receiver<ReplicaSnapshot>,
    /// When the last heartbeat of a relay arrived.
    last_heartbeat: watch::Sender<Instant>,
    lag: watch::Receiver<ReplicaLag>,
    members: MemberSet,
}

impl ReplicaHandle {
    /// Starts the task, and those that read the source and compare snapshots with other nodes.
    pub fn start(parts: &ReplicaParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let (publisher, snapshot) = watch::channel(ReplicaSnapshot::default());
        let (lag_publisher, lag) = watch::channel(ReplicaLag::default());
        let handle = Self {
            commands: commands.clone(),
            snapshot,
            last_heartbeat: watch::channel(Instant::now()).0,
            lag,
            members: parts.members.clone(),
        };
        let task = ReplicaTask {
            parts: parts.clone(),
            commands,
            publisher,
            routes_fetch: None,
            upstreams_fetch: None,
            newest_known: ReplicaSummary::default(),
            departures: DepartureLog::new(parts.upstream_heartbeat),
            lag_publisher,
        };
        tokio::spawn(task.run(inbox));
        tokio::spawn(compare::run(parts.clone(), handle.clone()));
        relay::start(parts, &handle);
        handle
    }

    /// Subscribes to the snapshots.
    pub fn watch(&self) -> watch::Receiver<ReplicaSnapshot> {
        self.snapshot.clone()
    }

    /// The current snapshots.
    pub fn snapshot(&self) -> ReplicaSnapshot {
        self.snapshot.borrow().clone()
    }

    /// Handles a request of another node and returns the reply.
    pub async fn handle_request(&self, request: ReplicaRequest) -> NodeReply {
        match request {
            ReplicaRequest::Compare {
                from,
                summary,
                members,
            } => {
                let table = self.members.table();
                self.members.record_contact(from.clone()).await;
                let same_size = usize::try_from(members).is_ok_and(|count| count == table.len());
                let members = if same_size {
                    Vec::new()
                } else {
                    table.responsive()
                };
                self.send(ReplicaCommand::PeerSummary(summary, Arc::new(from)))
                    .await;
                NodeReply::Replica(ReplicaReply::Summary {
                    from: table.own().clone(),
                    summary: self.snapshot().summary(),
                    members,
                })
            }
            ReplicaRequest::Change { from, change } => {
                self.send(ReplicaCommand::Change(change, Arc::new(from)))
                    .await;
                NodeReply::Done
            }
            ReplicaRequest::Heartbeat { from, summary } => {
                self.last_heartbeat.send_replace(Instant::now());
                // All nodes are to vote for a relay that is back after a restart, and at once. A
                // suspicion stays: a slow relay sends heartbeats, too.
                if self.members.table().is_leaving(Instant::now(), &from.node) {
                    self.members.record_contact(from.clone()).await;
                }
                self.send(ReplicaCommand::PeerSummary(summary, Arc::new(from)))
                    .await;
                NodeReply::Done
            }
            ReplicaRequest::Routes => {
                let routes = self.snapshot().routes;
                NodeReply::Replica(ReplicaReply::Routes(routes.map(Arc::unwrap_or_clone)))
            }
            ReplicaRequest::RoutesWithAccess => {
                let routes = self.snapshot().routes.map(Arc::unwrap_or_clone);
                let routes = routes.map(|mut routes| {
                    let access = routes.access.take().map(Arc::unwrap_or_clone);
                    (routes, access)
                });
                NodeReply::Replica(ReplicaReply::RoutesWithAccess(routes))
            }
            ReplicaRequest::Upstreams => {
                let upstreams = self.snapshot().upstreams;
                NodeReply::Replica(ReplicaReply::Upstreams(upstreams.map(Arc::unwrap_or_clone)))
            }
        }
    }

    /// Time since the last heartbeat of a relay, or since the start before the first one.
    pub(super) fn heartbeat_age(&self) -> Duration {
        self.last_heartbeat.borrow().elapsed()
    }

    /// Since when this node has known of newer snapshots than its own.
    pub(super) fn lag(&self) -> ReplicaLag {
        *self.lag.borrow()
    }

    pub(super) async fn send(&self, command: ReplicaCommand) {
        let _ = self.commands.send(command).await;
    }

    pub(super) fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }
}

/// Since when a node has known of newer snapshots than its own; `None` for a snapshot
/// that is up to date.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReplicaLag {
    pub(super) routes: Option<Instant>,
    pub(super) upstreams: Option<Instant>,
}

/// Whether a snapshot may be fetched from a node, given the fetch of it in progress.
fn may_fetch(current: Option<&(ids::NodeId, Instant)>, from: &Member) -> bool {
    current.is_none_or(|(node, since)| *node != from.node && since.elapsed() > FETCH_GRACE_PERIOD)
}

/// Logs when a snapshot shows that the source was restored.
fn log_restoration(before: SnapshotVersion, after: SnapshotVersion) {
    if after.position.era() > before.position.era() {
        log::warn!(
            target: "replica",
            position:% = after.position,
            before:% = before.position;
            "The source was restored from a copy."
        );
    }
}

struct ReplicaTask {
    parts: ReplicaParts,
    commands: mpsc::Sender<ReplicaCommand>,
    publisher: watch::Sender<ReplicaSnapshot>,
    /// The node that routes are being fetched from, and since when.
    routes_fetch: Option<(ids::NodeId, Instant)>,
    /// The node that upstreams are being fetched from, and since when.
    upstreams_fetch: Option<(ids::NodeId, Instant)>,
    /// The newest versions that any node reported.
    newest_known: ReplicaSummary,
    /// Upstreams that left lately.
    departures: DepartureLog,
    lag_publisher: watch::Sender<ReplicaLag>,
}

impl ReplicaTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ReplicaCommand>) {
        loop {
            let departures_due_at = self.departures.next_change_at();
            let departures_due = time::sleep_until(departures_due_at.unwrap_or_else(Instant::now));
            let command = tokio::select! {
                command = inbox.recv() => command,
                () = departures_due, if departures_due_at.is_some() => {
                    self.departures.expire(Instant::now());
                    self.publish_leaving();
                    continue;
                }
            };
            let Some(command) = command else { return };
            match command {
                ReplicaCommand::Routes(routes) => self.apply_routes(routes),
                ReplicaCommand::Upstreams(upstreams) => self.apply_upstreams(upstreams),
                ReplicaCommand::Change(change, from) => self.apply_change(&change, &from),
                ReplicaCommand::PeerSummary(summary, from) => self.compare(summary, &from),
                ReplicaCommand::RoutesFetched(routes) => {
                    self.routes_fetch = None;
                    if let Some(routes) = routes {
                        self.apply_routes(routes);
                    }
                }
                ReplicaCommand::UpstreamsFetched(upstreams) => {
                    self.upstreams_fetch = None;
                    if let Some(upstreams) = upstreams {
                        self.apply_upstreams(upstreams);
                    }
                }
            }
        }
    }

    fn summary(&self) -> ReplicaSummary {
        self.publisher.borrow().summary()
    }

    fn apply_routes(&mut self, routes: RouteSnapshot) {
        let current = self.summary().generation;
        if routes.generation <= current {
            return;
        }
        invariant::check(
            Invariant::GenerationMonotonic,
            routes.generation > current,
            || format!("generation {} would follow {current}", routes.generation),
        );
        log::info!(
            target: "replica",
            generation = routes.generation.get();
            "Configuration {} is in force, {current} before, with {} routes.",
            routes.generation,
            routes.routes.len()
        );
        self.publisher
            .send_modify(|snapshot| snapshot.routes = Some(Arc::new(routes)));
        self.update_lag();
        self.announce();
    }

    fn apply_upstreams(&mut self, upstreams: UpstreamSnapshot) {
        let before = self.publisher.borrow().upstreams.clone();
        let current = before
            .as_ref()
            .map_or_else(Default::default, |before| before.version);
        if upstreams.version <= current {
            if upstreams.version < current {
                log::info!(
                    target: "replica",
                    position:% = upstreams.version.position,
                    current:% = current.position;
                    "Dropped upstreams that are older than the current ones."
                );
            }
            return;
        }
        let upstreams = Arc::new(match &before {
            Some(before) => replica::drop_confirmed_removals(upstreams, before),
            None => upstreams,
        });
        if let Some(before) = &before {
            log_restoration(before.version, upstreams.version);
            self.departures.record(Instant::now(), before, &upstreams);
        }
        let leaving = Arc::new(self.departures.leaving(Instant::now()));
        self.publisher.send_modify(|snapshot| {
            snapshot.upstreams = Some(Arc::clone(&upstreams));
            snapshot.leaving = leaving;
        });
        self.update_lag();
        match before {
            Some(before) => self.push(UpstreamChange::between(&before, &upstreams)),
            None => self.announce(),
        }
    }

    /// Publishes the upstreams that count as leaving, if they changed.
    fn publish_leaving(&self) {
        let leaving = self.departures.leaving(Instant::now());
        self.publisher.send_if_modified(|snapshot| {
            let changed = *snapshot.leaving != leaving;
            if changed {
                snapshot.leaving = Arc::new(leaving);
            }
            changed
        });
    }

    fn apply_change(&mut self, change: &UpstreamChange, from: &Arc<Member>) {
        let current = self.publisher.borrow().upstreams.clone();
        match change.apply(current.as_deref()) {
            ChangeResult::Applied(upstreams) => self.apply_upstreams(upstreams),
            ChangeResult::UpToDate => {}
            ChangeResult::BaseMismatch => {
                let summary = ReplicaSummary {
                    upstreams: change.version,
                    ..self.summary()
                };
                self.compare(summary, from);
            }
        }
    }

    /// Fetches the snapshots of which a node has a newer version.
    fn compare(&mut self, summary: ReplicaSummary, from: &Arc<Member>) {
        let own = self.summary();
        self.newest_known.generation = self.newest_known.generation.max(summary.generation);
        self.newest_known.upstreams = self.newest_known.upstreams.max(summary.upstreams);
        self.update_lag();
        if summary.generation > own.generation && may_fetch(self.routes_fetch.as_ref(), from) {
            self.routes_fetch = Some((from.node.clone(), Instant::now()));
            self.fetch(from, ReplicaRequest::RoutesWithAccess);
        }
        if summary.upstreams > own.upstreams && may_fetch(self.upstreams_fetch.as_ref(), from) {
            self.upstreams_fetch = Some((from.node.clone(), Instant::now()));
            self.fetch(from, ReplicaRequest::Upstreams);
        }
    }

    /// Records since when each snapshot has been older than the newest known version.
    fn update_lag(&self) {
        let (own, newest) = (self.summary(), self.newest_known);
        let now = Instant::now();
        self.lag_publisher.send_if_modified(|lag| {
            let before = *lag;
            let since =
                |is_behind: bool, since: Option<Instant>| is_behind.then(|| since.unwrap_or(now));
            lag.routes = since(newest.generation > own.generation, lag.routes);
            lag.upstreams = since(newest.upstreams > own.upstreams, lag.upstreams);
            *lag != before
        });
    }

    fn fetch(&self, from: &Arc<Member>, request: ReplicaRequest) {
        let peers = self.parts.peers.clone();
        let commands = self.commands.clone();
        let from = Arc::clone(from);
        tokio::spawn(async move {
            let is_routes = matches!(request, ReplicaRequest::RoutesWithAccess);
            let request = NodeRequest::Replica(request);
            let reply = peers.request(&from, &request, FETCH_TIMEOUT).await;
            let command = match reply {
                Ok(NodeReply::Replica(ReplicaReply::RoutesWithAccess(routes))) => {
                    let routes = routes.map(|(mut routes, access)| {
                        routes.access = access.map(Arc::new);
                        routes
                    });
                    ReplicaCommand::RoutesFetched(routes)
                }
                Ok(NodeReply::Replica(ReplicaReply::Upstreams(upstreams))) => {
                    ReplicaCommand::UpstreamsFetched(upstreams)
                }
                other => {
                    log::info!(target: "replica", "Node {} sent no snapshot: {other:?}.", from.node);
                    if is_routes {
                        ReplicaCommand::RoutesFetched(None)
                    } else {
                        ReplicaCommand::UpstreamsFetched(None)
                    }
                }
            };
            let _ = commands.send(command).await;
        });
    }

    /// The nodes to which this one sends updates when it is the relay of its data
    /// centre: the other nodes there and the relays of the other data centres.
    fn recipients(&self) -> Vec<Arc<Member>> {
        let now = Instant::now();
        let table = self.parts.members.table();
        if !table.is_snapshot_relay(now) {
            return Vec::new();
        }
        let mut recipients = table.local_peers();
        let centres = table.data_centres().into_iter();
        let other_centres = centres.filter(|centre| *centre != table.own().data_centre);
        recipients.extend(
            other_centres
                .filter_map(|centre: ids::DataCentreId| table.snapshot_relay(now, &centre)),
        );
        recipients.retain(|member| !table.is_suspect(&member.node));
        recipients
    }

    /// Sends the versions of the snapshots; the recipients fetch those that they lack.
    fn announce(&self) {
        let table = self.parts.members.table();
        self.send_to_recipients(&ReplicaRequest::Compare {
            from: table.own().clone(),
            summary: self.summary(),
            members: u32::try_from(table.len()).unwrap_or(u32::MAX),
        });
    }

    fn push(&self, change: UpstreamChange) {
        let from = self.parts.members.table().own().clone();
        self.send_to_recipients(&ReplicaRequest::Change { from, change });
    }

    fn send_to_recipients(&self, request: &ReplicaRequest) {
        for member in self.recipients() {
            let peers = self.parts.peers.clone();
            let request = NodeRequest::Replica(request.clone());
            tokio::spawn(async move {
                let reply = peers.request(&member, &request, PUSH_TIMEOUT).await;
                if let Err(error) = reply {
                    log::debug!(
                        target: "replica",
                        "Node {} did not acknowledge an update: {error}.",
                        member.node
                    );
                }
            });
        }
    }
}
