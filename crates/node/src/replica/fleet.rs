//! A node's part in a fleet that keeps its configuration in books.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::ids;
use policy::membership::Member;
use policy::membership::MemberTable;
use policy::service::{LoadReport, UpstreamLoad};
use policy::suspicion::SuspicionSignal;
use quinn::Endpoint;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::load_hub::LoadHub;
use super::repeat_hub::RepeatHub;
use super::source::FleetSource;
use super::task::{ReplicaHandle, ReplicaParts};
use crate::keys::NodeKeys;
use crate::link::{self, PeerSet, RequestHandler, SentObserver};
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest};

/// How long a relay may take to hand out a repeat; a hedge that waits longer is
/// asked for again.
const DRAW_TIMEOUT: Duration = Duration::from_millis(150);

/// What a node's part in the fleet is started from.
pub struct ReplicaSettings {
    /// This node; its port may be zero.
    pub own: Member,
    /// Where nodes listen that may know the fleet; may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Keys for connections between nodes.
    pub keys: NodeKeys,
    /// Where the books come from.
    pub source: FleetSource,
    /// Is told of bytes sent to other nodes.
    pub sent: SentObserver,
    /// Takes news of other nodes.
    pub updates: mpsc::Sender<NodeUpdate>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// A node's part in the fleet.
#[derive(Clone)]
pub struct ReplicaFleet {
    /// The members.
    pub members: MemberSet,
    /// The books.
    pub replica: ReplicaHandle,
    /// Where other nodes reach this one.
    pub address: SocketAddr,
    peers: PeerSet,
    loads: LoadHub,
    repeats: RepeatHub,
    endpoint: Endpoint,
}

impl ReplicaFleet {
    /// Starts every task.
    ///
    /// # Errors
    /// When the node's address cannot be bound.
    pub fn start(settings: ReplicaSettings) -> io::Result<Self> {
        let mut own = settings.own;
        let endpoint = link::open_endpoint(own.address, &settings.keys)?;
        let address = endpoint.local_addr()?;
        own.address = address;
        let members = MemberSet::start(own, Vec::new(), None);
        let peers = PeerSet::start(endpoint.clone(), members.clone(), settings.sent);
        let replica = ReplicaHandle::start(&ReplicaParts {
            peers: peers.clone(),
            members: members.clone(),
            source: settings.source,
            seeds: settings.seeds,
            first_start: settings.first_start,
        });
        let loads = LoadHub::start(peers.clone(), members.clone(), settings.updates.clone());
        let repeats = RepeatHub::start(members.clone(), settings.first_start);
        let responder = ReplicaResponder {
            loads: loads.clone(),
            repeats: repeats.clone(),
            replica: replica.clone(),
            peers: peers.clone(),
            members: members.clone(),
            news: settings.updates,
        };
        let handler: RequestHandler = Arc::new(move |request| {
            let responder = responder.clone();
            Box::pin(async move {
                match request {
                    NodeRequest::Replica(request) => responder.replica.answer(request).await,
                    NodeRequest::Signals { signals, pass_on } => {
                        responder.receive_signals(signals, pass_on);
                        NodeReply::Done
                    }
                    NodeRequest::Loads { from, report } => {
                        take_report(&responder.loads, &responder.repeats, from, report);
                        NodeReply::Done
                    }
                    NodeRequest::DrawRepeat(service) => {
                        NodeReply::Repeat(responder.repeats.draw(service).await)
                    }
                    NodeRequest::LoadSums(loads) => {
                        for load in loads {
                            responder.pass(NodeUpdate::Load(load));
                        }
                        NodeReply::Done
                    }
                    _ => NodeReply::Unable("this node follows books, not chunks".to_owned()),
                }
            })
        });
        tokio::spawn(link::accept(endpoint.clone(), handler));
        Ok(Self {
            members,
            replica,
            address,
            peers,
            loads,
            repeats,
            endpoint,
        })
    }

    /// Tells every node of signals: neighbours at once, each other data centre
    /// through this node's partner there.
    pub fn publish_signals(&self, signals: &[SuspicionSignal]) {
        let table = self.members.table();
        let own = table.own();
        let near = table.local_peers();
        tell_all(&self.peers, &table, &near, &signals_message(signals, false));
        let now = Instant::now();
        let centres = table.data_centres().into_iter();
        let far = centres
            .filter(|centre| *centre != own.data_centre)
            .filter_map(|centre| table.remote_forwarder(now, &centre));
        let far: Vec<_> = far.collect();
        tell_all(&self.peers, &table, &far, &signals_message(signals, true));
    }

    /// Tells the data centre's relay what this node has in flight and paid in.
    pub fn report_loads(&self, report: LoadReport) {
        let table = self.members.table();
        let own = table.own();
        let from = own.node.clone();
        match table.snapshot_relay(Instant::now(), &own.data_centre) {
            Some(relay) if relay.node != own.node => {
                self.peers
                    .tell(&relay, &NodeRequest::Loads { from, report });
            }
            _ => take_report(&self.loads, &self.repeats, from, report),
        }
    }

    /// Draws a repeat from the data centre's pool, which its relay holds.
    pub async fn draw_retry_token(&self, service: ids::ServiceId) -> bool {
        let table = self.members.table();
        let own = table.own();
        match table.snapshot_relay(Instant::now(), &own.data_centre) {
            Some(relay) if relay.node != own.node => {
                let request = NodeRequest::DrawRepeat(service);
                let reply = self.peers.ask(&relay, &request, DRAW_TIMEOUT).await;
                if let Err(error) = &reply {
                    log::debug!(target: "replica", "{} keeps its repeats: {error}.", relay.node);
                }
                matches!(reply, Ok(NodeReply::Repeat(true)))
            }
            _ => self.repeats.draw(service).await,
        }
    }

    /// Closes every connection to other nodes.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }
}

/// What other nodes tell of upstreams.
#[derive(Debug, Clone)]
pub enum NodeUpdate {
    /// A suspicion signal about an upstream.
    Signal(SuspicionSignal),
    /// What the data centre has in flight.
    Load(UpstreamLoad),
}

fn signals_message(signals: &[SuspicionSignal], pass_on: bool) -> NodeRequest {
    NodeRequest::Signals {
        signals: signals.to_vec(),
        pass_on,
    }
}

fn take_report(loads: &LoadHub, repeats: &RepeatHub, from: ids::NodeId, report: LoadReport) {
    if let Some(deposit) = report.deposit {
        repeats.deposit(deposit);
    }
    loads.take(from, report.loads);
}

/// Answers other nodes.
#[derive(Clone)]
struct ReplicaResponder {
    loads: LoadHub,
    repeats: RepeatHub,
    replica: ReplicaHandle,
    peers: PeerSet,
    members: MemberSet,
    news: mpsc::Sender<NodeUpdate>,
}

impl ReplicaResponder {
    fn receive_signals(&self, signals: Vec<SuspicionSignal>, pass_on: bool) {
        if pass_on {
            let table = self.members.table();
            let message = signals_message(&signals, false);
            tell_all(&self.peers, &table, &table.local_peers(), &message);
        }
        for signal in signals {
            self.pass(NodeUpdate::Signal(signal));
        }
    }

    fn pass(&self, news: NodeUpdate) {
        if let Err(error) = self.news.try_send(news) {
            log::debug!(target: "replica", "News is dropped: {error}.");
        }
    }
}

fn tell_all(peers: &PeerSet, table: &MemberTable, members: &[Arc<Member>], request: &NodeRequest) {
    let answering = members
        .iter()
        .filter(|member| !table.is_suspect(&member.node));
    for member in answering {
        peers.tell(member, request);
    }
}
