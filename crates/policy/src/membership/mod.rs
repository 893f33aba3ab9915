//! The nodes of the fleet as known to one node, and the assignment of shared jobs.
//!
//! Nodes may know different members at the same time. Whatever depends on the results
//! here either tolerates disagreement or is protected by a conditional update.

mod leaving;
mod member;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use leaving::LeavingNodes;
pub use member::Member;
use model::{ids, sizes};
use tokio::time::Instant;

use crate::claim::ShardId;
use crate::permit::LimitShard;
use crate::rendezvous;

/// How long a node that did not respond is excluded from shared jobs.
const SUSPECT_DURATION: Duration = Duration::from_secs(10);
/// How long a node that does not respond may be one that is cut off; after that it counts as
/// gone.
const SEPARATION_TTL: Duration = Duration::from_mins(10);
/// Nodes of each data centre that watch the configuration for the other local nodes.
const CONFIG_RELAYS_PER_DATA_CENTRE: usize = 2;
/// A forwarder has at least the highest capacity in its data centre divided by this,
/// since it forwards what it receives to all other nodes there.
const FORWARDER_CAPACITY_DIVISOR: u32 = 2;
/// An owner of rate limits has at least the highest capacity in its data centre divided by
/// this, since requests wait for its replies.
const OWNER_CAPACITY_DIVISOR: u32 = 2;
/// Number of data centres from which an upstream is probed.
const PROBING_DATA_CENTRES: usize = 3;

/// When a node failed to respond.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    first: Instant,
    last: Instant,
}

/// The known members and those that failed to respond.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Member,
    members: BTreeMap<ids::NodeId, Arc<Member>>,
    suspects: HashMap<ids::NodeId, Suspicion>,
    leaving: LeavingNodes,
}

impl MemberTable {
    /// A table that contains only the own node.
    pub fn new(own: Member) -> Self {
        let members = BTreeMap::from([(own.node.clone(), Arc::new(own.clone()))]);
        Self {
            own,
            members,
            suspects: HashMap::new(),
            leaving: LeavingNodes::default(),
        }
    }

    /// The member entry of this node.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Replaces all members except this node. Returns whether anything changed.
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

    /// Adds or updates a node that contacted this one and clears its suspicion. Returns
    /// whether anything changed. A message that says that a leaving node does not leave may be
    /// late; after some time it is from the next process under the same name.
    pub fn record_contact(&mut self, now: Instant, mut member: Member) -> bool {
        if member.node == self.own.node {
            return false;
        }
        if member.leaving {
            self.leaving.record(now, member.node.clone());
        } else if self.find(&member.node).is_some_and(|known| known.leaving) {
            member.leaving = self.leaving.outweighs_contact(now, &member.node);
        }
        if !member.leaving {
            self.leaving.remove(&member.node);
        }
        let was_suspect = self.suspects.remove(&member.node).is_some();
        if self
            .find(&member.node)
            .is_some_and(|known| **known == member)
        {
            return was_suspect;
        }
        self.members.insert(member.node.clone(), Arc::new(member));
        true
    }

    /// Adds a node that was reported by another one; a known entry stays unchanged.
    /// Returns whether it was added.
    pub fn add_reported(&mut self, now: Instant, member: Member) -> bool {
        if self.members.contains_key(&member.node) {
            return false;
        }
        if member.leaving {
            self.leaving.record(now, member.node.clone());
        }
        self.members.insert(member.node.clone(), Arc::new(member));
        true
    }

    /// Whether a node stated that it leaves, and may not have ended yet.
    pub fn is_leaving(&self, now: Instant, node: &ids::NodeId) -> bool {
        let leaves = self.find(node).is_some_and(|member| member.leaving);
        leaves && (*node == self.own.node || self.leaving.is_in_force(now, node))
    }

    /// Whether a node failed to respond and has not contacted this node since.
    pub fn is_suspect(&self, node: &ids::NodeId) -> bool {
        self.suspects.contains_key(node)
    }

    /// Marks this node as leaving, so that its shared jobs move to other nodes.
    pub fn mark_leaving(&mut self) {
        self.own.leaving = true;
        self.members
            .insert(self.own.node.clone(), Arc::new(self.own.clone()));
    }

    /// Records that a node did not respond.
    pub fn mark_suspect(&mut self, now: Instant, node: &ids::NodeId) {
        if *node != self.own.node {
            let suspicion = self.suspects.entry(node.clone());
            let suspicion = suspicion.or_insert(Suspicion {
                first: now,
                last: now,
            });
            suspicion.last = now;
        }
    }

    /// The member with the name `node`, also if it is suspect.
    pub fn find(&self, node: &ids::NodeId) -> Option<&Arc<Member>> {
        self.members.get(node)
    }

    /// Every member, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Members that are not suspect, for sending to other nodes.
    pub fn responsive(&self) -> Vec<Member> {
        let responsive = self.all().filter(|member| !self.is_suspect(&member.node));
        responsive.map(|member| member.as_ref().clone()).collect()
    }

    /// The number of members, including this node.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// The number of members in this node's data centre, including this node.
    pub fn local_len(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.data_centre == self.own.data_centre)
            .count()
    }

    /// The names of the members in this node's data centre, including this node, sorted.
    pub fn local_nodes(&self) -> Vec<ids::NodeId> {
        let members = self.members.values();
        let local = members.filter(|member| member.data_centre == self.own.data_centre);
        local.map(|member| member.node.clone()).collect()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.members.len() <= 1
    }

    /// Members that can do shared jobs: neither leaving nor recently unresponsive.
    pub fn available(&self, now: Instant) -> Vec<Arc<Member>> {
        let responsive = |node: &ids::NodeId| {
            let since = self.suspects.get(node);
            since.is_none_or(|suspicion| {
                now.saturating_duration_since(suspicion.last) >= SUSPECT_DURATION
            })
        };
        let available = self
            .members
            .values()
            .filter(|member| !self.is_leaving(now, &member.node) && responsive(&member.node));
        available.cloned().collect()
    }

    /// The data centres of the members, sorted.
    pub fn data_centres(&self) -> Vec<ids::DataCentreId> {
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
        Self::collector_among(service, &self.available_in(now, centre))
    }

    /// The collector of a service among the available members of one data centre.
    pub fn collector_among(
        service: &ids::ServiceId,
        available: &[Arc<Member>],
    ) -> Option<Arc<Member>> {
        let job = format!("collect/{service}");
        rendezvous::first(&job, available, |member| member.node.as_str()).cloned()
    }

    /// Whether this node is the collector of a service in its data centre.
    pub fn is_collector(&self, now: Instant, service: &ids::ServiceId) -> bool {
        let collector = self.collector(now, service, &self.own.data_centre);
        collector.is_some_and(|member| member.node == self.own.node)
    }

    /// Nodes that may batch the claims of a shard, in order of preference.
    pub fn batchers(&self, now: Instant, shard: ShardId) -> Vec<Arc<Member>> {
        let available = self.available(now);
        let ranked = rendezvous::rank(&format!("claims/{shard}"), &available, |member| {
            member.node.as_str()
        });
        ranked.into_iter().cloned().collect()
    }

    /// Whether this node is one of the configuration relays of its data centre.
    pub fn is_config_relay(&self, now: Instant) -> bool {
        let relays = self.config_relays_in(now, &self.own.data_centre);
        relays.iter().any(|member| member.node == self.own.node)
    }

    /// The node that reads the route and upstream snapshots for a data centre. It sends
    /// each change to all other nodes there, so it is one of those with the highest capacity.
    pub fn snapshot_relay(&self, now: Instant, centre: &ids::DataCentreId) -> Option<Arc<Member>> {
        let candidates = self.high_capacity_in(now, centre, 1);
        rendezvous::first("relay", &candidates, |member| member.node.as_str()).cloned()
    }

    /// The node of another data centre that forwards this node's messages there.
    ///
    /// Each node selects its own forwarder, so that forwarding is spread evenly.
    pub fn remote_forwarder(
        &self,
        now: Instant,
        centre: &ids::DataCentreId,
    ) -> Option<Arc<Member>> {
        let job = format!("partner/{}", self.own.node);
        let candidates = self.high_capacity_in(now, centre, FORWARDER_CAPACITY_DIVISOR);
        rendezvous::first(&job, &candidates, |member| member.node.as_str()).cloned()
    }

    /// The node that owns the rate limits of a service's upstreams in one data centre: a
    /// node there, or one of any data centre if that one has none. While its nodes are only
    /// out of reach there is no other owner, since they may still grant permits.
    pub fn limit_owner(
        &self,
        now: Instant,
        service: &ids::ServiceId,
        centre: &ids::DataCentreId,
    ) -> Option<Arc<Member>> {
        self.limit_shard_owner(now, LimitShard::of(service), centre)
    }

    /// The node that owns the rate limits of all services of a shard in one data centre.
    pub fn limit_shard_owner(
        &self,
        now: Instant,
        shard: LimitShard,
        centre: &ids::DataCentreId,
    ) -> Option<Arc<Member>> {
        let job = format!("limits/{shard}/{centre}");
        let mut candidates = self.high_capacity_in(now, centre, OWNER_CAPACITY_DIVISOR);
        let mut members = self.members.values();
        let may_have_owner = |member: &Arc<Member>| {
            member.data_centre == *centre && !self.is_gone(now, &member.node)
        };
        if candidates.is_empty() && !members.any(may_have_owner) {
            candidates = self.available(now);
        }
        rendezvous::first(&job, &candidates, |member| member.node.as_str()).cloned()
    }

    /// The share of this data centre's nodes that this node can reach, itself included. The
    /// others may be cut off from it and have an owner of their own for the rate limits of a
    /// data centre without nodes, in which nobody votes.
    pub fn reachable_share(&self, now: Instant) -> sizes::Share {
        let (mut reachable, mut separated) = (1, 0);
        for member in self.local_peers() {
            let is_suspect = self.is_suspect(&member.node);
            reachable += u32::from(!is_suspect);
            separated += u32::from(is_suspect && !self.is_gone(now, &member.node));
        }
        sizes::Share::new(f64::from(reachable) / f64::from(reachable + separated))
    }

    /// The number of nodes of this data centre that have a vote in its offices, this one included.
    /// Those that are out of reach may have given theirs to a holder that they can reach.
    pub fn local_voters(&self, now: Instant) -> usize {
        let mut voters = 1;
        for member in self.local_peers() {
            voters += usize::from(!self.is_gone(now, &member.node));
        }
        voters
    }

    /// Whether a node has been out of reach for so long that it counts as gone.
    fn is_gone(&self, now: Instant, node: &ids::NodeId) -> bool {
        let suspicion = self.suspects.get(node);
        suspicion.is_some_and(|suspicion| {
            now.saturating_duration_since(suspicion.first) >= SEPARATION_TTL
        })
    }

    /// Whether this node reads the snapshots for its data centre; also true if no node
    /// is available for that.
    pub fn is_snapshot_relay(&self, now: Instant) -> bool {
        let relay = self.snapshot_relay(now, &self.own.data_centre);
        relay.is_none_or(|member| member.node == self.own.node)
    }

    /// The configuration relays of a data centre: nodes that watch the platform for changes
    /// of the configuration and announce them to the others there. Nodes of other data centres
    /// compare their snapshots only with these.
    pub fn config_relays_in(&self, now: Instant, centre: &ids::DataCentreId) -> Vec<Arc<Member>> {
        let available = self.available_in(now, centre);
        let ranked = rendezvous::rank("relay", &available, |member| member.node.as_str());
        ranked
            .into_iter()
            .take(CONFIG_RELAYS_PER_DATA_CENTRE)
            .cloned()
            .collect()
    }

    /// Whether this node probes the upstreams of a service: one node in each of
    /// up to three data centres does.
    pub fn is_prober(&self, now: Instant, service: &ids::ServiceId) -> bool {
        let job = format!("probe/{service}");
        let centres = self.data_centres();
        let ranked = rendezvous::rank(&job, &centres, |centre| centre.as_str());
        let probing = ranked.into_iter().take(PROBING_DATA_CENTRES);
        if !probing
            .into_iter()
            .any(|centre| *centre == self.own.data_centre)
        {
            return false;
        }
        let available = self.available_in(now, &self.own.data_centre);
        let prober = rendezvous::first(&job, &available, |member| member.node.as_str());
        prober.is_some_and(|member| member.node == self.own.node)
    }

    /// The other members in this node's data centre.
    pub fn local_peers(&self) -> Vec<Arc<Member>> {
        let local = self.members.values().filter(|member| {
            member.data_centre == self.own.data_centre && member.node != self.own.node
        });
        local.cloned().collect()
    }

    /// Available members of a data centre whose capacity is at least the highest one
    /// there divided by `divisor`.
    fn high_capacity_in(
        &self,
        now: Instant,
        centre: &ids::DataCentreId,
        divisor: u32,
    ) -> Vec<Arc<Member>> {
        let mut available = self.available_in(now, centre);
        let highest = available.iter().map(|member| member.capacity.get()).max();
        let required = highest.unwrap_or(0) / divisor;
        available.retain(|member| member.capacity.get() >= required);
        available
    }

    fn available_in(&self, now: Instant, centre: &ids::DataCentreId) -> Vec<Arc<Member>> {
        let mut available = self.available(now);
        available.retain(|member| member.data_centre == *centre);
        available
    }
}
