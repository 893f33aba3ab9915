//! A node's part in a fleet that keeps its configuration as snapshots.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::ids;
use policy::membership::Member;
use policy::office::{HolderTerm, OfficeGrant};
use policy::permit::LimitRecord;
use policy::service::{LoadReport, UpstreamLoad};
use policy::suspicion::{SignalSource, SuspicionSignal};
use quinn::Endpoint;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::load_aggregator::LoadAggregator;
use super::quota::{QuotaHandle, QuotaHolderParts, QuotaSettings, QuotaTaskParts};
use super::retry_pool::{RetryPoolHandle, RetryPoolParts};
use super::signal_relay::SignalRelay;
use super::source::FleetSource;
use super::task::{ReplicaHandle, ReplicaParts};
use crate::crashes::{CrashFleet, CrashParts};
use crate::keys::NodeKeys;
use crate::limits::{LimitFleet, LimitParts};
use crate::link::{self, PeerSet, RequestHandler, SentObserver};
use crate::members::MemberSet;
use crate::wire::{
    NodeReply, NodeRequest, OfficeNames, OfficeReply, OfficeRequest, ReplicaRequest,
};

/// Timeout for drawing a retry token from the relay. A hedge that gets no token in time
/// is refused and requested again later.
const DRAW_TIMEOUT: Duration = Duration::from_millis(150);

/// Settings of a node's part in the fleet.
pub struct ReplicaSettings {
    /// This node; with port zero, the system picks a port.
    pub own: Member,
    /// Addresses of nodes through which this one finds the fleet; they may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Certificates for connections between nodes.
    pub keys: NodeKeys,
    /// The source of the snapshots.
    pub source: FleetSource,
    /// Called with the number of bytes of each message to another node.
    pub on_sent: SentObserver,
    /// Receives updates from other nodes; they are dropped when it is full.
    pub updates: mpsc::Sender<NodeUpdate>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// How often an upstream writes its entry at the source.
    pub upstream_heartbeat: Duration,
    /// How quotas of workspaces are enforced; they are not if `None`.
    pub quota: Option<QuotaSettings>,
}

/// A handle to a node's part in the fleet.
#[derive(Clone)]
pub struct ReplicaFleet {
    /// The members of the fleet.
    pub members: MemberSet,
    /// The copies of routes and upstreams.
    pub replica: ReplicaHandle,
    /// The limits that upstreams name.
    pub limits: LimitFleet,
    /// Crashes of upstreams and the requests that cause them.
    pub crashes: CrashFleet,
    /// The quotas of workspaces; `None` if none are enforced.
    pub quota: Option<QuotaHandle>,
    /// The address at which other nodes reach this one.
    pub address: SocketAddr,
    peers: PeerSet,
    signal_relay: SignalRelay,
    retry_pool: RetryPoolHandle,
    endpoint: Endpoint,
}

impl ReplicaFleet {
    /// Binds the node's address and starts every task.
    ///
    /// # Errors
    /// When the node's address cannot be bound.
    pub fn start(settings: ReplicaSettings) -> io::Result<Self> {
        let mut own = settings.own;
        let endpoint = link::open_endpoint(own.address, &settings.keys)?;
        let address = endpoint.local_addr()?;
        own.address = address;
        let members = MemberSet::start(own, Vec::new(), None);
        let peers = PeerSet::start(endpoint.clone(), members.clone(), settings.on_sent);
        let replica = ReplicaHandle::start(&ReplicaParts {
            peers: peers.clone(),
            members: members.clone(),
            source: settings.source,
            seeds: settings.seeds.clone(),
            first_start: settings.first_start,
            upstream_heartbeat: settings.upstream_heartbeat,
        });
        let load_aggregator =
            LoadAggregator::start(peers.clone(), members.clone(), settings.updates.clone());
        let signal_relay =
            SignalRelay::start(peers.clone(), members.clone(), settings.updates.clone());
        let retry_pool = RetryPoolHandle::start(RetryPoolParts {
            peers: peers.clone(),
            members: members.clone(),
            load_aggregator: load_aggregator.clone(),
            first_start: settings.first_start,
            quota: settings.quota.as_ref().map(|quota| QuotaHolderParts {
                bound: quota.bound,
                snapshots: replica.watch(),
                seeds: settings.seeds,
            }),
        });
        let quota = settings.quota.map(|quota| {
            QuotaHandle::start(QuotaTaskParts {
                peers: peers.clone(),
                members: members.clone(),
                retry_pool: retry_pool.clone(),
                on_counts: quota.on_counts,
            })
        });
        let limit_updates = settings.updates.clone();
        let limits = LimitFleet::start(LimitParts {
            peers: peers.clone(),
            members: members.clone(),
            on_record: Arc::new(move |record| {
                publish_update(&limit_updates, NodeUpdate::Limit(record));
            }),
            first_start: settings.first_start,
        });
        let crashes = CrashFleet::start(CrashParts {
            peers: peers.clone(),
            members: members.clone(),
        });
        let responder = ReplicaResponder {
            limits: limits.clone(),
            crashes: crashes.clone(),
            load_aggregator,
            signal_relay: signal_relay.clone(),
            retry_pool: retry_pool.clone(),
            replica: replica.clone(),
            peers: peers.clone(),
            members: members.clone(),
            updates: settings.updates,
        };
        let handler: RequestHandler = Arc::new(move |request| {
            let responder = responder.clone();
            Box::pin(async move { responder.handle(request).await })
        });
        tokio::spawn(link::accept(endpoint.clone(), handler));
        Ok(Self {
            members,
            replica,
            limits,
            crashes,
            quota,
            address,
            peers,
            signal_relay,
            retry_pool,
            endpoint,
        })
    }

    /// Sends suspicion signals to every node, through the relay of this data centre.
    pub fn publish_signals(&self, signals: Vec<SuspicionSignal>) {
        let table = self.members.table();
        let own = table.own();
        let from = own.node.clone();
        match table.snapshot_relay(Instant::now(), &own.data_centre) {
            Some(relay) if relay.node != own.node => {
                let message = NodeRequest::PublishSignals { from, signals };
                self.peers.notify(&relay, &message);
            }
            _ => self.signal_relay.spread(SignalSource::Local(from), signals),
        }
    }

    /// Tells every node that an upstream states that it drains.
    pub fn publish_drain(&self, service: &ids::ServiceId, upstream: &ids::UpstreamId) {
        let table = self.members.table();
        self.peers.publish(&table, |forward| NodeRequest::Drains {
            drains: vec![(service.clone(), upstream.clone())],
            forward,
        });
    }

    /// Reports this node's requests in flight and deposits of retry tokens to the relay
    /// of its data centre.
    pub fn report_loads(&self, report: LoadReport) {
        self.retry_pool.report(report);
    }

    /// Draws a retry token from the data centre's pool, which its relay owns.
    pub async fn draw_retry_token(&self, service: ids::ServiceId) -> Option<OfficeGrant> {
        let asked_at = Instant::now();
        let table = self.members.table();
        let own = table.own();
        let (holder, term) = match table.snapshot_relay(asked_at, &own.data_centre) {
            Some(relay) if relay.node != own.node => {
                let request = NodeRequest::Office(OfficeRequest::DrawRetryToken {
                    holder: relay.node.clone(),
                    service,
                });
                let reply = self.peers.request(&relay, &request, DRAW_TIMEOUT).await;
                let Ok(NodeReply::Office(OfficeReply::RetryToken(term))) = reply else {
                    log::debug!(target: "replica", "No retry token from {}: {reply:?}.", relay.node);
                    return None;
                };
                (relay.node.clone(), term?)
            }
            _ => (own.node.clone(), self.retry_pool.draw(service).await?),
        };
        Some(OfficeGrant::new(asked_at, HolderTerm { holder, term }))
    }

    /// Closes every connection to other nodes.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }
}

/// An update about upstreams from other nodes.
#[derive(Debug, Clone)]
pub enum NodeUpdate {
    /// A suspicion signal, for or against an upstream.
    Signal(SuspicionSignal),
    /// The requests in flight of the whole data centre.
    Load(UpstreamLoad),
    /// The rate limit of an upstream.
    Limit(LimitRecord),
    /// An upstream of a service states that it drains.
    Drain(ids::ServiceId, ids::UpstreamId),
}

/// Handles the requests of other nodes.
#[derive(Clone)]
struct ReplicaResponder {
    limits: LimitFleet,
    crashes: CrashFleet,
    load_aggregator: LoadAggregator,
    signal_relay: SignalRelay,
    retry_pool: RetryPoolHandle,
    replica: ReplicaHandle,
    peers: PeerSet,
    members: MemberSet,
    updates: mpsc::Sender<NodeUpdate>,
}

impl ReplicaResponder {
    async fn handle(&self, request: NodeRequest) -> NodeReply {
        match request {
            NodeRequest::Replica(request) => {
                if let ReplicaRequest::Compare { from, .. }
                | ReplicaRequest::Heartbeat { from, .. } = &request
                {
                    self.limits.record_contact(from);
                    self.crashes.record_contact(from);
                }
                return self.replica.handle_request(request).await;
            }
            NodeRequest::Signals { signals, forward } if forward => {
                self.signal_relay.spread(SignalSource::Remote, signals);
            }
            NodeRequest::Signals { signals, .. } => {
                for signal in signals {
                    publish_update(&self.updates, NodeUpdate::Signal(signal));
                }
            }
            NodeRequest::Drains { drains, forward } => {
                if forward {
                    let table = self.members.table();
                    let message = NodeRequest::Drains {
                        drains: drains.clone(),
                        forward: false,
                    };
                    self.peers.notify_local(&table, &message);
                }
                for (service, upstream) in drains {
                    publish_update(&self.updates, NodeUpdate::Drain(service, upstream));
                }
            }
            NodeRequest::PublishSignals { from, signals } => {
                self.signal_relay.spread(SignalSource::Local(from), signals);
            }
            NodeRequest::Loads { from, report } => {
                if let Some(deposit) = report.deposit {
                    self.retry_pool.deposit(deposit);
                }
                self.load_aggregator.record(from, report.loads);
            }
            NodeRequest::DrawRetryToken(service) => {
                return NodeReply::RetryToken(self.retry_pool.draw(service).await.is_some());
            }
            NodeRequest::LoadSums(loads) => {
                for load in loads {
                    publish_update(&self.updates, NodeUpdate::Load(load));
                }
            }
            NodeRequest::Office(request) => {
                return NodeReply::Office(self.handle_office(request).await);
            }
            NodeRequest::Limit(request) => return self.limits.handle_request(request).await,
            NodeRequest::Crash(request) => return self.crashes.handle_request(request).await,
            _ => {
                return NodeReply::Failed(
                    "this node keeps its configuration as snapshots, not as chunks".to_owned(),
                );
            }
        }
        NodeReply::Done
    }

    async fn handle_office(&self, request: OfficeRequest) -> OfficeReply {
        if *request.holder() != self.members.table().own().node {
            return OfficeReply::NotHolder;
        }
        match request {
            OfficeRequest::Vote {
                from,
                offices: OfficeNames::RetryTokens,
                heard,
                voters,
                ..
            } => self.retry_pool.handle_vote(from, heard, voters).await,
            OfficeRequest::Release {
                from,
                offices: OfficeNames::RetryTokens,
                ..
            } => self.retry_pool.handle_release(from).await,
            OfficeRequest::DrawRetryToken { service, .. } => {
                OfficeReply::RetryToken(self.retry_pool.draw(service).await)
            }
            OfficeRequest::DrawQuota { draw, .. } => {
                let grant = self.retry_pool.draw_quota(draw).await;
                grant.map_or(OfficeReply::NotHolder, OfficeReply::QuotaTokens)
            }
            request => self.limits.handle_office(request).await,
        }
    }
}

pub(super) fn publish_update(updates: &mpsc::Sender<NodeUpdate>, update: NodeUpdate) {
    if let Err(error) = updates.try_send(update) {
        log::debug!(target: "replica", "Dropped an update of another node: {error}.");
    }
}
