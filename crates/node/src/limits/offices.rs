//! The votes of a node for the owners of limits, and those that it has as an owner.

use std::collections::{BTreeMap, BTreeSet};

use model::{ids, sizes};
use policy::membership::MemberTable;
use policy::office::{
    HolderTime, HolderTimes, OfficeTerm, OfficeVote, VOTE_INTERVAL, VOTE_RETRY_INTERVAL, VoteStep,
    VoteTally,
};
use policy::permit::LimitShard;
use tokio::time::Instant;

use crate::holder_clock::HolderClock;

/// What is to be sent to one owner.
#[derive(Debug, Default)]
pub(super) struct OwnerMessages {
    /// Shards whose owner gets the vote of this node.
    pub(super) votes: Vec<LimitShard>,
    /// Shards whose owner is asked to release the vote.
    pub(super) releases: Vec<LimitShard>,
}

/// The offices of limit owners, one for each shard of services in this data centre.
pub(super) struct LimitOffices {
    clock: HolderClock,
    /// The vote of this process in each office, before its first one.
    new_vote: OfficeVote,
    votes: BTreeMap<LimitShard, OfficeVote>,
    tallies: BTreeMap<LimitShard, VoteTally>,
    heard: HolderTimes,
    vote_at: Instant,
}

impl LimitOffices {
    pub(super) fn new(now: Instant, first_start: bool) -> Self {
        Self {
            clock: HolderClock::start(),
            new_vote: OfficeVote::new(now, first_start),
            votes: BTreeMap::new(),
            tallies: BTreeMap::new(),
            heard: HolderTimes::default(),
            vote_at: now,
        }
    }

    /// When the node votes next, if services of any shard have a limit.
    pub(super) fn vote_at(&self, limited: &BTreeSet<LimitShard>) -> Option<Instant> {
        let has_new = limited.iter().any(|shard| !self.votes.contains_key(shard));
        if has_new {
            return Some(Instant::now());
        }
        (!limited.is_empty()).then_some(self.vote_at)
    }

    /// Votes for the owners of these shards; returns what to send to the others.
    pub(super) fn cast(
        &mut self,
        table: &MemberTable,
        limited: BTreeSet<LimitShard>,
    ) -> BTreeMap<ids::NodeId, OwnerMessages> {
        let now = Instant::now();
        let own = table.own();
        self.vote_at = now + VOTE_INTERVAL;
        // A limit that ends and comes back finds its vote where it was.
        self.votes
            .retain(|shard, vote| vote.is_bound(now) || limited.contains(shard));
        self.heard.retain(|node| table.find(node).is_some());
        self.heard.hear(&own.node, self.clock.now());
        let is_leaving = |node: &ids::NodeId| table.is_leaving(now, node);
        let mut messages: BTreeMap<ids::NodeId, OwnerMessages> = BTreeMap::new();
        for shard in limited {
            let vote = self.votes.entry(shard);
            let vote = vote.or_insert_with(|| self.new_vote.clone());
            let Some(owner) = table.limit_shard_owner(now, shard, &own.data_centre) else {
                continue;
            };
            let heard = self.heard.last(&owner.node);
            let step = vote.step(now, &owner.node, heard, is_leaving);
            if heard.is_none() || !matches!(step, VoteStep::Cast(_)) {
                self.vote_at = now + VOTE_RETRY_INTERVAL;
            }
            match step {
                VoteStep::Cast(owner) => messages.entry(owner).or_default().votes.push(shard),
                VoteStep::Release(owner) => {
                    messages.entry(owner).or_default().releases.push(shard);
                }
                VoteStep::Wait => {}
            }
        }
        if let Some(OwnerMessages { votes, releases }) = messages.remove(&own.node) {
            let voters = table.local_voters(now);
            let heard = self.heard.last(&own.node);
            self.record(&own.node, &votes, heard, voters);
            let released = self.release(&own.node, &releases);
            self.apply_release(&own.node, &releases, released);
        }
        messages
    }

    /// The last time of an owner.
    pub(super) fn heard(&self, owner: &ids::NodeId) -> Option<HolderTime> {
        self.heard.last(owner)
    }

    /// Counts votes for this node; returns its time.
    pub(super) fn record(
        &mut self,
        from: &ids::NodeId,
        shards: &[LimitShard],
        heard: Option<HolderTime>,
        voters: usize,
    ) -> HolderTime {
        let now = self.clock.now();
        if let Some(heard) = heard {
            for shard in shards {
                let tally = self.tallies.entry(*shard).or_default();
                tally.record(now, from.clone(), heard, voters);
            }
        }
        now
    }

    /// Releases votes for this node; returns its time.
    pub(super) fn release(&mut self, from: &ids::NodeId, shards: &[LimitShard]) -> HolderTime {
        let now = self.clock.now();
        for shard in shards {
            let tally = self.tallies.entry(*shard).or_default();
            tally.release(now, from.clone());
        }
        now
    }

    /// Records the time that an owner stated.
    pub(super) fn hear(&mut self, owner: &ids::NodeId, time: HolderTime) {
        if self.heard.hear(owner, time) {
            self.vote_at = Instant::now();
        }
    }

    /// Records that an owner released votes of this node.
    pub(super) fn apply_release(
        &mut self,
        owner: &ids::NodeId,
        shards: &[LimitShard],
        released: HolderTime,
    ) {
        let now = Instant::now();
        for shard in shards {
            let vote = self.votes.get_mut(shard);
            if vote.is_some_and(|vote| vote.release(now, owner, released)) {
                self.vote_at = now;
            }
        }
    }

    /// The share of the limits of a service that this node may grant.
    pub(super) fn share(
        &self,
        now: Instant,
        table: &MemberTable,
        service: &ids::ServiceId,
        centre: &ids::DataCentreId,
    ) -> sizes::Share {
        if table.own().leaving {
            return sizes::Share::new(0.0);
        }
        if *centre != table.own().data_centre {
            // A data centre without nodes has no votes, and one owner at a time elsewhere.
            return table.reachable_share(now);
        }
        let voters = table.local_voters(now);
        let tally = self.tallies.get(&LimitShard::of(service));
        tally.map_or(sizes::Share::new(0.0), |tally| {
            tally.share(self.clock.now(), voters)
        })
    }

    /// The term of this node as the owner of the limits of a service.
    pub(super) fn term(&self, service: &ids::ServiceId) -> OfficeTerm {
        let tally = self.tallies.get(&LimitShard::of(service));
        tally.map(VoteTally::term).unwrap_or_default()
    }
}
