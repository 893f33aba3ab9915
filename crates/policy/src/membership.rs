//! The nodes of the fleet as one node sees them, and who does which shared job.
//!
//! Two nodes may see different members. Whatever rests on the answers here is
//! either soft, or safe through a conditional update.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{ids, sizes};
use tokio::time::Instant;

use crate::claim::ShardId;
use crate::rendezvous;

/// How long a node that did not answer is passed over.
const SUSPECT_SPAN: Duration = Duration::from_secs(10);
/// Nodes of one data centre that watch the platform for the others.
const RELAYS_PER_CENTRE: usize = 2;
/// A partner has at least this part of the most capacity in its data centre: it
/// passes what it is told on to all its neighbours.
const PARTNER_DIVISOR: u32 = 2;
/// Data centres from which an upstream is probed.
const PROBING_CENTRES: usize = 3;

model::record! {
    /// One node of the fleet.
    #[derive(Eq)]
    pub struct Member {
        /// Its name.
        pub node: ids::NodeId,
        /// Where other nodes reach it.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: ids::DataCentreId,
        /// Whether it is about to stop.
        pub leaving: bool,
        /// What it can do for others; zero when nobody said.
        pub capacity: sizes::NodeCapacity,
    }
}

/// Members and which of them did not answer of late.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Member,
    members: BTreeMap<ids::NodeId, Arc<Member>>,
    suspects: HashMap<ids::NodeId, Instant>,
}

impl MemberTable {
    /// A table of one node.
    pub fn new(own: Member) -> Self {
        let members = BTreeMap::from([(own.node.clone(), Arc::new(own.clone()))]);
        Self {
            own,
            members,
            suspects: HashMap::new(),
        }
    }

    /// This node.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Replaces the members; this node always stays. Returns whether anything changed.
    pub fn replace(&mut self, listed: Vec<Member>) -> bool {
        let own = self.own.clone();
        let known = listed.into_iter().filter(|member| member.node != own.node);
        let mut members: BTreeMap<_, _> = known
            .map(|member| (member.node.clone(), Arc::new(member)))
            .collect();
        members.insert(own.node.clone(), Arc::new(own));
        let changed = members != self.members;
        self.members = members;
        let members = &self.members;
        self.suspects.retain(|node, _| members.contains_key(node));
        changed
    }

    /// Takes a node that presented itself; returns whether that is new.
    pub fn introduce(&mut self, member: Member) -> bool {
        if member.node == self.own.node {
            return false;
        }
        let answered = self.suspects.remove(&member.node).is_some();
        if self
            .find(&member.node)
            .is_some_and(|known| **known == member)
        {
            return answered;
        }
        self.members.insert(member.node.clone(), Arc::new(member));
        true
    }

    /// Takes a node that another one told of; returns whether that is new.
    pub fn hear_of(&mut self, member: Member) -> bool {
        if self.members.contains_key(&member.node) {
            return false;
        }
        self.members.insert(member.node.clone(), Arc::new(member));
        true
    }

    /// Whether a node did not answer of late.
    pub fn is_suspect(&self, node: &ids::NodeId) -> bool {
        self.suspects.contains_key(node)
    }

    /// Marks this node as leaving, so that it hands its jobs on.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.members
            .insert(self.own.node.clone(), Arc::new(self.own.clone()));
    }

    /// Notes that a node did not answer.
    pub fn suspect(&mut self, now: Instant, node: &ids::NodeId) {
        if *node != self.own.node {
            self.suspects.insert(node.clone(), now);
        }
    }

    /// Looks a member up.
    pub fn find(&self, node: &ids::NodeId) -> Option<&Arc<Member>> {
        self.members.get(node)
    }

    /// Every member.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Members that other nodes may be told of.
    pub fn told(&self) -> Vec<Member> {
        let answering = self.all().filter(|member| !self.is_suspect(&member.node));
        answering.map(|member| member.as_ref().clone()).collect()
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// How many members stand in this node's data centre.
    pub fn near_len(&self) -> usize {
        let near = self.members.values();
        near.filter(|member| member.data_centre == self.own.data_centre)
            .count()
    }

    /// Whether this node is alone.
    pub fn is_empty(&self) -> bool {
        self.members.len() <= 1
    }

    /// Members that can do jobs for others.
    pub fn able(&self, now: Instant) -> Vec<Arc<Member>> {
        let answering = |node: &ids::NodeId| {
            let since = self.suspects.get(node);
            since.is_none_or(|at| now.saturating_duration_since(*at) >= SUSPECT_SPAN)
        };
        let able = self
            .members
            .values()
            .filter(|member| !member.leaving && answering(&member.node));
        able.cloned().collect()
    }

    /// Data centres that hold members.
    pub fn centres(&self) -> Vec<ids::DataCentreId> {
        let mut centres: Vec<_> = self
            .members
            .values()
            .map(|member| member.data_centre.clone())
            .collect();
        centres.sort();
        centres.dedup();
        centres
    }

    /// The collector of a service in one data centre.
    pub fn collector(
        &self,
        now: Instant,
        service: &ids::ServiceId,
        centre: &ids::DataCentreId,
    ) -> Option<Arc<Member>> {
        Self::collector_among(service, &self.able_in(now, centre))
    }

    /// The collector of a service among the able members of one data centre.
    pub fn collector_among(service: &ids::ServiceId, near: &[Arc<Member>]) -> Option<Arc<Member>> {
        let job = format!("collect/{service}");
        rendezvous::first(&job, near, |member| member.node.as_str()).cloned()
    }

    /// Whether this node collects for a service in its data centre.
    pub fn collects(&self, now: Instant, service: &ids::ServiceId) -> bool {
        let collector = self.collector(now, service, &self.own.data_centre);
        collector.is_some_and(|member| member.node == self.own.node)
    }

    /// Nodes that may batch the claims of a shard, best first.
    pub fn batchers(&self, now: Instant, shard: ShardId) -> Vec<Arc<Member>> {
        let able = self.able(now);
        let ranked = rendezvous::rank(&format!("claims/{shard}"), &able, |member| {
            member.node.as_str()
        });
        ranked.into_iter().cloned().collect()
    }

    /// Whether this node watches the platform for its data centre.
    pub fn relays(&self, now: Instant) -> bool {
        let relays = self.relays_in(now, &self.own.data_centre);
        relays.iter().any(|member| member.node == self.own.node)
    }

    /// The node that reads the books of routes and upstreams for a data centre, one
    /// of its strongest: it tells all the others of each change.
    pub fn book_relay(&self, now: Instant, centre: &ids::DataCentreId) -> Option<Arc<Member>> {
        let strong = self.strong_in(now, centre, 1);
        rendezvous::first("relay", &strong, |member| member.node.as_str()).cloned()
    }

    /// The node of another data centre through which this one tells it things.
    ///
    /// Each node has a partner of its own, so that passing on is spread evenly.
    pub fn partner(&self, now: Instant, centre: &ids::DataCentreId) -> Option<Arc<Member>> {
        let job = format!("partner/{}", self.own.node);
        let strong = self.strong_in(now, centre, PARTNER_DIVISOR);
        rendezvous::first(&job, &strong, |member| member.node.as_str()).cloned()
    }

    /// Whether this node reads the books for its data centre.
    pub fn relays_books(&self, now: Instant) -> bool {
        let relay = self.book_relay(now, &self.own.data_centre);
        relay.is_none_or(|member| member.node == self.own.node)
    }

    /// The nodes that watch the platform for a data centre.
    pub fn relays_in(&self, now: Instant, centre: &ids::DataCentreId) -> Vec<Arc<Member>> {
        let near = self.able_in(now, centre);
        let ranked = rendezvous::rank("relay", &near, |member| member.node.as_str());
        ranked
            .into_iter()
            .take(RELAYS_PER_CENTRE)
            .cloned()
            .collect()
    }

    /// Whether this node probes the upstreams of a service: one node in each of a
    /// few data centres does.
    pub fn probes(&self, now: Instant, service: &ids::ServiceId) -> bool {
        let job = format!("probe/{service}");
        let centres = self.centres();
        let ranked = rendezvous::rank(&job, &centres, |centre| centre.as_str());
        let chosen = ranked.into_iter().take(PROBING_CENTRES);
        if !chosen
            .into_iter()
            .any(|centre| *centre == self.own.data_centre)
        {
            return false;
        }
        let near = self.able_in(now, &self.own.data_centre);
        let prober = rendezvous::first(&job, &near, |member| member.node.as_str());
        prober.is_some_and(|member| member.node == self.own.node)
    }

    /// Other members of this node's data centre.
    pub fn neighbours(&self) -> Vec<Arc<Member>> {
        let near = self.members.values().filter(|member| {
            member.data_centre == self.own.data_centre && member.node != self.own.node
        });
        near.cloned().collect()
    }

    /// Able members of a data centre with at least a part of the most capacity there.
    fn strong_in(
        &self,
        now: Instant,
        centre: &ids::DataCentreId,
        divisor: u32,
    ) -> Vec<Arc<Member>> {
        let mut able = self.able_in(now, centre);
        let most = able.iter().map(|member| member.capacity.get()).max();
        let least = most.unwrap_or(0) / divisor;
        able.retain(|member| member.capacity.get() >= least);
        able
    }

    fn able_in(&self, now: Instant, centre: &ids::DataCentreId) -> Vec<Arc<Member>> {
        let mut able = self.able(now);
        able.retain(|member| member.data_centre == *centre);
        able
    }
}
