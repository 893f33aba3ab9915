//! A node's part in the fleet, started together.

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
use crate::follow::Follower;
use crate::keys::NodeKeys;
use crate::link::{self, PeerSet, RequestHandler, SentObserver};
use crate::members::{MemberLister, MemberSet};
use crate::wire::{NodeReply, NodeRequest};

/// How long a message to another node may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes news of a drain that another node saw.
pub type DrainedSink = Arc<dyn Fn(ids::ServiceId, ids::UpstreamId) + Send + Sync>;

/// What a node's part in the fleet is started from.
pub struct FleetSettings {
    /// This node; its port may be zero.
    pub own: Member,
    /// Nodes known from the settings.
    pub seeds: Vec<Member>,
    /// Keys for connections between nodes.
    pub keys: NodeKeys,
    /// The platform.
    pub platform: PlatformClient,
    /// How fast claims are written.
    pub batching: BatchSettings,
    /// Takes updates from collectors.
    pub update: UpdateSink,
    /// Takes news of drains.
    pub drained: DrainedSink,
    /// Is told of bytes sent to other nodes.
    pub sent: SentObserver,
}

/// A node's part in the fleet.
#[derive(Clone)]
pub struct FleetHandle {
    /// The members.
    pub members: MemberSet,
    /// The configuration in force.
    pub follower: Follower,
    /// Evidence.
    pub collector: Collector,
    /// Claims.
    pub claims: ClaimClient,
    /// Where other nodes reach this one.
    pub address: SocketAddr,
    peers: PeerSet,
    endpoint: Endpoint,
}

impl FleetHandle {
    /// Starts every task.
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
            update,
            drained,
            sent,
        } = settings;
        let endpoint = link::open_endpoint(own.address, &keys)?;
        let address = endpoint.local_addr()?;
        own.address = address;
        let clock = clock::WallClock::start();
        let members = MemberSet::start(own, seeds, Some(vm_lister(platform.clone())));
        let peers = PeerSet::start(endpoint.clone(), members.clone(), sent);
        let follower = Follower::start(platform.clone(), peers.clone(), members.clone());
        let collector = Collector::start(crate::collector::CollectorParts {
            platform: platform.clone(),
            peers: peers.clone(),
            members: members.clone(),
            follower: follower.clone(),
            update: Arc::clone(&update),
            clock,
        });
        let shards = ClaimShards::start(platform, clock, batching);
        let claims = ClaimClient::start(shards.clone(), peers.clone(), members.clone());
        let responder = NodeResponder {
            members: members.clone(),
            follower: follower.clone(),
            collector: collector.clone(),
            shards,
            update,
            drained,
        };
        let handler: RequestHandler = Arc::new(move |request| {
            let responder = responder.clone();
            Box::pin(async move { responder.answer(request).await })
        });
        tokio::spawn(link::accept(endpoint.clone(), handler));
        Ok(Self {
            members,
            follower,
            collector,
            claims,
            address,
            peers,
            endpoint,
        })
    }

    /// Takes evidence of this node.
    pub fn report(&self, report: EvidenceReport) {
        self.collector.report(report);
    }

    /// Tells every node that an upstream drains.
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
            tokio::spawn(async move { peers.ask(&member, &request, SEND_TIMEOUT).await });
        }
    }

    /// Closes every connection to other nodes.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }
}

/// Reads the members from the platform's VM list.
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

/// Answers other nodes.
#[derive(Clone)]
struct NodeResponder {
    members: MemberSet,
    follower: Follower,
    collector: Collector,
    shards: ClaimShards,
    update: UpdateSink,
    drained: DrainedSink,
}

impl NodeResponder {
    async fn answer(&self, request: NodeRequest) -> NodeReply {
        match request {
            NodeRequest::Evidence(reports) => self.collector.take(reports),
            NodeRequest::Verdicts(changes) => self.take_verdicts(changes),
            NodeRequest::Estimate(estimates) => {
                for estimate in estimates {
                    (self.update)(CollectorUpdate::Estimate(estimate));
                }
            }
            NodeRequest::Drained { service, upstream } => (self.drained)(service, upstream),
            NodeRequest::Compare { from, mark } => {
                let own = self.follower.mark().await;
                self.members.introduce(from.clone()).await;
                self.follower.heard(mark, Arc::new(from)).await;
                return NodeReply::Mark(own);
            }
            NodeRequest::Root => return NodeReply::Root(self.follower.root().await.to_vec()),
            NodeRequest::Chunks(hashes) => {
                return NodeReply::Chunks(self.follower.chunks(hashes).await);
            }
            NodeRequest::Records => {
                let records = self.follower.snapshot().records;
                return NodeReply::Records(records.values().cloned().collect());
            }
            NodeRequest::Claim(command) => {
                return match self.shards.claim(command).await {
                    Ok(verdict) => NodeReply::Claim(verdict),
                    Err(error) => NodeReply::Unable(error.detail().to_owned()),
                };
            }
            NodeRequest::Settle(settlements) => self.shards.settle(settlements).await,
            NodeRequest::Replica(_)
            | NodeRequest::Signals { .. }
            | NodeRequest::Loads { .. }
            | NodeRequest::DrawRepeat(_)
            | NodeRequest::LoadSums(_) => {
                return NodeReply::Unable("this node follows chunks, not books".to_owned());
            }
        }
        NodeReply::Done
    }

    fn take_verdicts(&self, changes: Vec<VerdictChange>) {
        for change in changes {
            (self.update)(CollectorUpdate::Verdict(change));
        }
    }
}
