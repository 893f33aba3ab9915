//! One node of the simulated fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gooseberrydyke_policy::membership::LeavingNodes;
use gooseberrydyke_policy::office::{HolderTime, HolderTimes, OfficeVote, VoteStep, VoteTally};
use gooseberrydyke_policy::quota::{
    FleetCounts, QuotaDraw, QuotaGrant, QuotaPool, QuotaStock, SilentHolders, VoteStanding,
};
use model::config::{QuotaBound, WorkspaceQuota};
use model::ids::NodeId;
use tokio::time::Instant;

/// How long a node that did not respond is no candidate, as in the member table.
const SUSPECT_TIME: Duration = Duration::from_secs(10);

pub(crate) struct QuotaNode {
    pub(crate) number: usize,
    pub(crate) centre: usize,
    /// Counts the processes of the node.
    pub(crate) run: u32,
    pub(crate) is_up: bool,
    /// Whether it was told to stop.
    pub(crate) is_leaving: bool,
    pub(crate) knows_all: bool,
    /// How many nodes it knows, the first ones.
    pub(crate) known: usize,
    pub(crate) quota: WorkspaceQuota,
    pub(crate) stock: QuotaStock,
    pub(crate) waiting: VecDeque<Instant>,
    pub(crate) silent: SilentHolders,
    pub(crate) slow_draws: usize,
    centres: usize,
    suspects: BTreeMap<usize, Instant>,
    /// The nodes that announced that they leave.
    leaving: BTreeSet<usize>,
    announcements: LeavingNodes,
    pub(crate) started: Instant,
    vote: OfficeVote,
    heard: HolderTimes,
    tally: VoteTally,
    pool: QuotaPool,
}

impl QuotaNode {
    pub(crate) fn start(
        number: usize,
        centre: usize,
        now: Instant,
        bound: QuotaBound,
        quota: WorkspaceQuota,
        centres: usize,
    ) -> Self {
        Self {
            number,
            centre,
            run: 0,
            is_up: true,
            is_leaving: false,
            knows_all: false,
            known: 0,
            quota,
            stock: QuotaStock::new(now),
            waiting: VecDeque::new(),
            silent: SilentHolders::default(),
            slow_draws: 0,
            centres,
            suspects: BTreeMap::new(),
            leaving: BTreeSet::new(),
            announcements: LeavingNodes::default(),
            started: now,
            vote: OfficeVote::new(now, false),
            heard: HolderTimes::default(),
            tally: VoteTally::default(),
            pool: QuotaPool::new(bound),
        }
    }

    pub(crate) fn name_of(number: usize) -> NodeId {
        format!("n{number:03}").parse().unwrap()
    }

    pub(crate) fn number_of(name: &NodeId) -> usize {
        name.as_str()[1..].parse().unwrap()
    }

    fn time(&self, now: Instant) -> HolderTime {
        HolderTime::since_start(now - self.started)
    }

    pub(crate) fn learn(&mut self, known: usize) {
        self.knows_all = true;
        self.known = known;
    }

    pub(crate) fn mark_suspect(&mut self, now: Instant, number: usize) {
        if number != self.number {
            self.suspects.insert(number, now);
        }
    }

    pub(crate) fn clear_suspect(&mut self, number: usize) {
        self.suspects.remove(&number);
    }

    pub(crate) fn mark_leaving(&mut self, now: Instant, number: usize) {
        self.leaving.insert(number);
        self.announcements.record(now, Self::name_of(number));
    }

    /// Records that a node sent something as one that does not leave, as the member table does.
    pub(crate) fn record_contact(&mut self, now: Instant, number: usize) {
        let name = Self::name_of(number);
        if self.leaving.contains(&number) && !self.announcements.outweighs_contact(now, &name) {
            self.leaving.remove(&number);
            self.announcements.remove(&name);
        }
    }

    fn is_leaving(&self, now: Instant, number: usize) -> bool {
        self.leaving.contains(&number)
            && self.announcements.is_in_force(now, &Self::name_of(number))
    }

    /// The nodes of a data centre that this node knows, in order; itself at least.
    fn members(&self, centre: usize) -> impl Iterator<Item = usize> {
        let own = Some(self.number).filter(|own| *own >= self.known && self.centre == centre);
        let known = (centre..self.known).step_by(self.centres);
        known.chain(own)
    }

    fn relay(&self, now: Instant, centre: usize) -> Option<usize> {
        self.members(centre).find(|number| {
            let suspected = self.suspects.get(number);
            let is_suspect = suspected.is_some_and(|at| now < *at + SUSPECT_TIME);
            !is_suspect && !self.is_leaving(now, *number)
        })
    }

    /// The nodes that get a heartbeat of this one as their relay.
    pub(crate) fn heartbeat_targets(&self, now: Instant) -> Vec<usize> {
        let is_relay = self.relay(now, self.centre) == Some(self.number);
        let members = self.members(self.centre).filter(|_| is_relay);
        members.filter(|number| *number != self.number).collect()
    }

    /// The holders to ask, in order.
    pub(crate) fn holders(&self, now: Instant) -> Vec<NodeId> {
        let others = (0..self.centres).filter(|centre| *centre != self.centre);
        let relays = [self.centre].into_iter().chain(others);
        let relays = relays.filter_map(|centre| self.relay(now, centre));
        let names = relays.map(Self::name_of);
        names
            .filter(|name| !self.silent.contains(now, name))
            .collect()
    }

    pub(crate) fn voters(&self) -> usize {
        self.members(self.centre).count()
    }

    /// What becomes of the vote: the step, the time that it states, and the candidate.
    pub(crate) fn vote_step(&mut self, now: Instant) -> (VoteStep, Option<HolderTime>, usize) {
        let relay = self.relay(now, self.centre).unwrap_or(self.number);
        let own = Self::name_of(self.number);
        self.heard.hear(&own, self.time(now));
        let name = Self::name_of(relay);
        let heard = self.heard.last(&name);
        let holder = self.vote.holder().map(Self::number_of);
        let is_leaving = holder.is_some_and(|holder| self.is_leaving(now, holder));
        let step = self.vote.step(now, &name, heard, |_| is_leaving);
        self.update_pool(now);
        (step, heard, relay)
    }

    pub(crate) fn count_vote(
        &mut self,
        now: Instant,
        from: usize,
        heard: Option<HolderTime>,
        voters: usize,
    ) -> HolderTime {
        let time = self.time(now);
        if let Some(heard) = heard {
            self.tally.record(time, Self::name_of(from), heard, voters);
        }
        time
    }

    pub(crate) fn release(&mut self, now: Instant, from: usize) -> HolderTime {
        let time = self.time(now);
        self.tally.release(time, Self::name_of(from));
        time
    }

    /// Records the time of a holder; returns whether the vote is to be cast at once.
    pub(crate) fn hear(
        &mut self,
        now: Instant,
        from: usize,
        time: HolderTime,
        is_release: bool,
    ) -> bool {
        let name = Self::name_of(from);
        let is_first = self.heard.hear(&name, time);
        if is_release {
            return self.vote.release(now, &name, time);
        }
        is_first
    }

    pub(crate) fn standing(&self, now: Instant) -> VoteStanding {
        let own = Self::name_of(self.number);
        let is_own = self.vote.holder() == Some(&own);
        let share = self.tally.share(self.time(now), self.voters());
        VoteStanding {
            own,
            holder: self.vote.holder().cloned(),
            bound_until: self.vote.bound_until(),
            is_alone: is_own && share.get() < 0.5,
        }
    }

    pub(crate) fn update_pool(&mut self, now: Instant) {
        let own = Self::name_of(self.number);
        let counts = FleetCounts {
            local: self.voters(),
            all: self.known.max(1),
            data_centres: if self.known > 1 { self.centres } else { 1 },
            voters: self.voters(),
            may_be_whole: false,
        };
        let may_hold = self.vote.holder().is_none_or(|holder| *holder == own);
        let may_hold = may_hold && !self.is_leaving;
        let time = self.time(now);
        self.pool.update(time, &self.tally, &counts, may_hold);
    }

    pub(crate) fn grant(&mut self, now: Instant, draw: &QuotaDraw) -> QuotaGrant {
        self.update_pool(now);
        let time = self.time(now);
        self.pool.draw(time, draw, &self.quota)
    }
}
