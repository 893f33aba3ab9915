//! The tokens of all workspaces at a holder.

use std::collections::BTreeMap;
use std::time::Duration;

use model::config::{QuotaBound, WorkspaceQuota};
use model::{ids, sizes};

use super::account::{MintClock, QuotaAccount, between};
use super::budget::QuotaBudget;
use super::ledger::{HolderPower, MOVING_PART, VoterLedger};
use super::message::{QuotaDraw, QuotaGrant};
use crate::office::{HolderTime, VoteTally};

/// Time after the start of a process in which it may hand out initial amounts. Votes of former
/// processes end before it does.
const INITIAL_TIME: Duration = Duration::from_secs(4);
/// Time for which the number of known nodes must not have grown much before a process that started
/// lately hands out anything. It learns of the others within one exchange with any of them.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// One part in so many by which the number may still grow meanwhile. After all nodes of a fleet of
/// 121 restarted, the last few were heard of two seconds after the others.
const SETTLED_GROWTH_DIVISOR: usize = 8;
/// Age of a process at which it has exchanged members with others several times.
const SETTLED_AGE: Duration = Duration::from_millis(2_500);
/// Least and longest time that a refused node is told to wait. Under the least, a node over its
/// quota would draw for each request.
const WAIT_MIN: Duration = Duration::from_millis(60);
const WAIT_MAX: Duration = Duration::from_secs(1);
/// How often accounts of workspaces that send nothing are dropped.
const EVICTION_INTERVAL: Duration = Duration::from_secs(10);

/// The nodes that a holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCounts {
    /// Nodes of the holder's data centre.
    pub local: usize,
    /// Nodes of the fleet.
    pub all: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Nodes of the data centre that have a vote.
    pub voters: usize,
    /// Whether the fleet may consist of this node alone.
    pub may_be_whole: bool,
}

/// The part of every quota that one holder hands out.
#[derive(Debug)]
pub struct QuotaPool {
    bound: QuotaBound,
    ledger: VoterLedger,
    power: HolderPower,
    /// The data centre's share of the fleet's nodes.
    centre_share: f64,
    data_centres: usize,
    clock: MintClock,
    /// Where the accounts of other workspaces begin: when the power fell last, since a balance
    /// does not come back with it.
    base_clock: MintClock,
    updated: HolderTime,
    /// The nodes whose votes counted at the last update.
    counted: Vec<ids::NodeId>,
    known: (usize, HolderTime),
    is_settled: bool,
    accounts: BTreeMap<ids::WorkspaceId, QuotaAccount>,
    evicted: HolderTime,
}

impl QuotaPool {
    /// A pool of a process that starts now; times count from its start.
    pub fn new(bound: QuotaBound) -> Self {
        let start = HolderTime::default();
        Self {
            bound,
            ledger: VoterLedger::default(),
            power: HolderPower::default(),
            centre_share: 0.0,
            data_centres: 1,
            clock: MintClock::default(),
            base_clock: MintClock::default(),
            updated: start,
            counted: Vec::new(),
            known: (0, start),
            is_settled: false,
            accounts: BTreeMap::new(),
            evicted: start,
        }
    }

    /// Applies the votes and the known nodes. `may_hold` is false if the node leaves or voted for
    /// another holder. Returns the power from now on.
    pub fn update(
        &mut self,
        now: HolderTime,
        tally: &VoteTally,
        counts: &FleetCounts,
        may_hold: bool,
    ) -> HolderPower {
        self.is_settled = self.check_settled(now, counts);
        if !may_hold {
            self.ledger.clear();
        }
        let power = if may_hold && self.is_settled {
            self.ledger.update(now, tally, counts.voters)
        } else {
            HolderPower::default()
        };
        let [local, all] = [counts.local, counts.all]
            .map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
        let centre_share = local / all.max(1.0);
        // The lower of both ends, since votes may have ended at any time in between.
        let elapsed = between(self.updated, now).as_secs_f64();
        let lower_share = centre_share.min(self.centre_share);
        self.clock.moving += power.moving.min(self.power.moving) * lower_share * elapsed;
        self.clock.staying += power.staying.min(self.power.staying) * lower_share * elapsed;
        self.updated = now;
        let former_share = self.capacity_share();
        self.power = power;
        self.centre_share = centre_share;
        self.data_centres = counts.data_centres.max(1);
        let has_fallen = self.capacity_share() < former_share;
        if has_fallen {
            self.base_clock = self.clock;
        }
        if has_fallen || !self.counted.iter().eq(tally.voters(now)) {
            // A vote that does not count at both ends may have ended at any time in between.
            self.counted.retain(|node| tally.counts(now, node));
            self.accrue_all(now);
            self.counted = tally.voters(now).cloned().collect();
        }
        self.evict(now);
        power
    }

    /// Hands out tokens of a workspace. Call [`QuotaPool::update`] first.
    pub fn draw(
        &mut self,
        now: HolderTime,
        draw: &QuotaDraw,
        quota: &WorkspaceQuota,
    ) -> QuotaGrant {
        if !self.is_settled {
            return QuotaGrant::refusal(WAIT_MIN);
        }
        let budget = QuotaBudget::new(&self.bound, quota, self.data_centres);
        let is_initial = between(HolderTime::default(), now) <= INITIAL_TIME;
        let initial = if is_initial {
            budget.initial * self.centre_share
        } else {
            0.0
        };
        let capacity_share = self.capacity_share();
        let account = self
            .accounts
            .entry(draw.workspace.clone())
            .or_insert_with(|| QuotaAccount::new(now, budget, self.base_clock, initial));
        if !is_initial {
            account.end_initial();
        }
        let counted = &self.counted;
        let counts = |node: &ids::NodeId| counted.binary_search(node).is_ok();
        account.accrue(now, self.clock, capacity_share, counts);
        account.set_budget(budget, capacity_share);
        if self.power.moving > 0.0 {
            account.deposit(draw.deposit_millitokens, capacity_share);
        }
        let tokens = account.take(draw.count);
        let centre_rate = budget.rate * self.centre_share;
        let reserved = if counts(&draw.from) {
            let reservable = centre_rate * (1.0 - MOVING_PART) * self.power.reservable;
            account.reserve(now, &draw.from, tokens, reservable)
        } else {
            0.0
        };
        let wait = if tokens < draw.count {
            let withheld = account.withheld_missing(now, counts);
            let rate = centre_rate * self.power.total() - withheld;
            let wait = account.wait(now, rate, draw.count - tokens, WAIT_MAX);
            wait.max(WAIT_MIN)
        } else {
            Duration::ZERO
        };
        QuotaGrant {
            tokens,
            reserved: sizes::Rate::per_second(reserved),
            complete: self.power.complete,
            ..QuotaGrant::refusal(wait)
        }
    }

    /// Whether this process knows enough of the fleet to know its part of it.
    fn check_settled(&mut self, now: HolderTime, counts: &FleetCounts) -> bool {
        if counts.all * SETTLED_GROWTH_DIVISOR > self.known.0 * (SETTLED_GROWTH_DIVISOR + 1) {
            self.known = (counts.all, now);
        }
        if counts.all <= 1 && !counts.may_be_whole {
            return false;
        }
        self.is_settled
            || between(self.known.1, now) >= SETTLE_TIME
            || between(HolderTime::default(), now) >= SETTLED_AGE
    }

    /// The part of the fleet's capacity that this holder may keep: all holders together keep one
    /// for each vote.
    fn capacity_share(&self) -> f64 {
        self.centre_share * self.power.moving
    }

    fn accrue_all(&mut self, now: HolderTime) {
        let capacity_share = self.capacity_share();
        let counted = &self.counted;
        for account in self.accounts.values_mut() {
            let counts = |node: &ids::NodeId| counted.binary_search(node).is_ok();
            account.accrue(now, self.clock, capacity_share, counts);
        }
    }

    fn evict(&mut self, now: HolderTime) {
        if between(self.evicted, now) < EVICTION_INTERVAL {
            return;
        }
        self.evicted = now;
        self.accrue_all(now);
        let capacity_share = self.capacity_share();
        self.accounts
            .retain(|_, account| !account.is_idle(now, capacity_share));
    }
}
