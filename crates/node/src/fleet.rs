//! A node's part in a fleet that keeps its configuration as chunks on the platform.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{clock, ids, sizes};
use platform::PlatformClient;
use platform::vm::{Vm, VmState};
use policy::detection::{EvidenceReport, VerdictChange};
use policy::membership::Member;
use quinn::Endpoint;

use crate::claims::{BatchSettings, ClaimClient, ClaimShards};
use crate::collector::{Collector, CollectorUpdate, UpdateSink};
use crate::crashes::{CrashFleet, CrashParts};
use crate::follow::ConfigFollower;
use crate::keys::NodeKeys;
use crate::limits::{LimitFleet, LimitParts, RecordSink};
use crate::link::{self, PeerSet, RequestHandler, SentObserver};
use crate::members::{MemberLister, MemberSet};
use crate::wire::{NodeReply, NodeRequest};

/// Timeout for the acknowledgement of a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Called when another node reports that an upstream drains.
pub type DrainSink = Arc<dyn Fn(ids::ServiceId, ids::UpstreamId) + Send + Sync>;

/// Settings of a node's part in the fleet.
pub struct FleetSettings {
    /// This node; with port zero, the system picks a port.
    pub own: Member,
    /// Members known from the settings.
    pub seeds: Vec<Member>,
    /// Certificates for connections between nodes.
    pub keys: NodeKeys,
    /// The client of the platform.
    pub platform: PlatformClient,
    /// Limits on the updates of claims.
    pub batching: BatchSettings,
    /// Called with updates from collectors.
    pub on_update: UpdateSink,
    /// Called when another node reports that an upstream drains.
    pub on_drain: DrainSink,
    /// Called with rate limits that their owners announce.
    pub on_limit: RecordSink,
    /// Called with the number of bytes of each message to another node.
    pub on_sent: SentObserver,
}

/// A handle to a node's part in the fleet.
#[derive(Clone)]
pub struct FleetHandle {
    /// The members of the fleet.
    pub members: MemberSet,
    /// The configuration in force and the ejection records.
    pub follower: ConfigFollower,
    /// The task that collects evidence and derives verdicts from it.
    pub collector: Collector,
    /// The claims of idempotency keys.
    pub claims: ClaimClient,
    /// The limits that upstreams name.
    pub limits: LimitFleet,
    /// Crashes of upstreams and the requests that cause them.
    pub crashes: CrashFleet,
    /// The address at which other nodes reach this one.
    pub address: SocketAddr,
    peers: PeerSet,
    endpoint: Endpoint,
}

impl FleetHandle {
    /// Binds the node's address and starts every task.
    ///
    /// # Errors
    /// When the node's address cannot be bound.
    pub fn start(settings: FleetSettings) -> io::Result<Self> {
        let FleetSettings {
            mut own,
            seeds,
            keys,
            platform,
            batching,
            on_update,
            on_drain,
            on_limit,
            on_sent,
        } = settings;
        let endpoint = link::open_endpoint(own.address, &keys)?;
        let address = endpoint.local_addr()?;
        own.address = address;
        let clock = clock::WallClock::start();
        let members = MemberSet::start(own, seeds, Some(vm_lister(platform.clone())));
        let peers = PeerSet::start(endpoint.clone(), members.clone(), on_sent);
        let follower = ConfigFollower::start(platform.clone(), peers.clone(), members.clone());
        let collector = Collector::start(crate::collector::CollectorParts {
            platform: platform.clone(),
            peers: peers.clone(),
            members: members.clone(),
            follower: follower.clone(),
            on_update: Arc::clone(&on_update),
            clock,
        });
        let shards = ClaimShards::start(platform, clock, batching);
        let claims = ClaimClient::start(shards.clone(), peers.clone(), members.clone());
        let limits = LimitFleet::start(LimitParts {
            peers: peers.clone(),
            members: members.clone(),
            on_record: on_limit,
            first_start: false,
        });
        let crashes = CrashFleet::start(CrashParts {
            peers: peers.clone(),
            members: members.clone(),
        });
        let responder = NodeResponder {
            limits: limits.clone(),
            crashes: crashes.clone(),
            members: members.clone(),
            follower: follower.clone(),
            collector: collector.clone(),
            shards,
            on_update,
            on_drain,
        };
        let handler: RequestHandler = Arc::new(move |request| {
            let responder = responder.clone();
            Box::pin(async move { responder.handle(request).await })
        });
        tokio::spawn(link::accept(endpoint.clone(), handler));
        Ok(Self {
            members,
            follower,
            collector,
            claims,
            limits,
            crashes,
            address,
            peers,
            endpoint,
        })
    }

    /// Reports evidence of this node.
    pub fn report(&self, report: EvidenceReport) {
        self.collector.report(report);
    }

    /// Notifies every other node that an upstream drains.
    pub fn notify_drain(&self, service: &ids::ServiceId, upstream: &ids::UpstreamId) {
        let table = self.members.table();
        let request = NodeRequest::Drained {
            service: service.clone(),
            upstream: upstream.clone(),
        };
        for member in table.all().filter(|member| member.node != table.own().node) {
            let peers = self.peers.clone();
            let request = request.clone();
            let member = Arc::clone(member);
            tokio::spawn(async move { peers.request(&member, &request, SEND_TIMEOUT).await });
        }
    }

    /// Closes every connection to other nodes.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }
}

/// Lists the members from the platform's VM list.
fn vm_lister(platform: PlatformClient) -> MemberLister {
    Arc::new(move || {
        let platform = platform.clone();
        Box::pin(async move {
            let vms = platform.vms().await?;
            Ok(vms.into_iter().map(member_of).collect())
        })
    })
}

fn member_of(vm: Vm) -> Member {
    Member {
        node: vm.node,
        address: vm.address,
        data_centre: vm.data_centre,
        leaving: vm.state == VmState::Leaving,
        capacity: sizes::NodeCapacity::default(),
    }
}

/// Handles the requests of other nodes.
#[derive(Clone)]
struct NodeResponder {
    limits: LimitFleet,
    crashes: CrashFleet,
    members: MemberSet,
    follower: ConfigFollower,
    collector: Collector,
    shards: ClaimShards,
    on_update: UpdateSink,
    on_drain: DrainSink,
}

impl NodeResponder {
    async fn handle(&self, request: NodeRequest) -> NodeReply {
        match request {
            NodeRequest::Evidence(reports) => self.collector.receive(reports),
            NodeRequest::Verdicts(changes) => self.apply_verdicts(changes),
            NodeRequest::Estimate(latencies) => {
                for latency in latencies {
                    (self.on_update)(CollectorUpdate::Latency(latency));
                }
            }
            NodeRequest::Drained { service, upstream } => (self.on_drain)(service, upstream),
            NodeRequest::Compare { from, summary } => {
                let own = self.follower.summary().await;
                self.members.record_contact(from.clone()).await;
                self.limits.record_contact(&from);
                self.crashes.record_contact(&from);
                self.follower.compare(summary, Arc::new(from)).await;
                return NodeReply::Summary(own);
            }
            NodeRequest::Root => return NodeReply::Root(self.follower.root().await.to_vec()),
            NodeRequest::Chunks(hashes) => {
                return NodeReply::Chunks(self.follower.chunks(hashes).await);
            }
            NodeRequest::Records => {
                let records = self.follower.snapshot().records;
                return NodeReply::Records(records.values().cloned().collect());
            }
            NodeRequest::Claim(attempt) => {
                return match self.shards.claim(attempt).await {
                    Ok(verdict) => NodeReply::Claim(verdict),
                    Err(error) => NodeReply::Failed(error.detail().to_owned()),
                };
            }
            NodeRequest::Settle(settlements) => self.shards.settle(settlements).await,
            NodeRequest::Office(request) => {
                return NodeReply::Office(self.limits.handle_office(request).await);
            }
            NodeRequest::Limit(request) => return self.limits.handle_request(request).await,
            NodeRequest::Crash(request) => return self.crashes.handle_request(request).await,
            NodeRequest::Replica(_)
            | NodeRequest::Signals { .. }
            | NodeRequest::PublishSignals { .. }
            | NodeRequest::Drains { .. }
            | NodeRequest::Loads { .. }
            | NodeRequest::DrawRetryToken(_)
            | NodeRequest::LoadSums(_) => {
                return NodeReply::Failed(
                    "this node keeps its configuration as chunks, not as snapshots".to_owned(),
                );
            }
        }
        NodeReply::Done
    }

    fn apply_verdicts(&self, changes: Vec<VerdictChange>) {
        for change in changes {
            (self.on_update)(CollectorUpdate::Verdict(change));
        }
    }
}
