//! The tokens of one workspace at a holder, and what it reserved for nodes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::ids;

use super::budget::QuotaBudget;
use super::ledger::MOVING_PART;
use super::message::{RESERVATION_TTL, saved_max};
use super::recent::RecentCount;
use crate::office::HolderTime;

/// Memory of the rate at which a node is granted tokens.
const GRANT_MEMORY: Duration = Duration::from_secs(4);
/// How much more than that rate is reserved, since demand varies.
const RESERVED_FACTOR: f64 = 1.1;
/// Least rate worth reserving. Below it a node would save up for a token for longer than a
/// request waits.
const RESERVED_MIN: f64 = 0.2;
/// How much longer a holder withholds a reserved rate than the node may use it, for clocks that
/// differ.
const RESERVATION_MARGIN: Duration = Duration::from_millis(200);
/// Distance of the lower rates that are kept one after the other.
const STATED_SPACING: Duration = Duration::from_secs(1);
/// Time for which a node that waited for its turn is served, in seconds.
const SLOT_SECONDS: f64 = 0.1;
/// Distance of the turns of refused nodes, in parts of the time that mints their tokens. Not all
/// of them come, and tokens that nobody fetches may be lost.
const SLOT_SPACING: f64 = 0.5;
/// Rounding errors of sums that should make a whole token.
const ROUNDING: f64 = 1e-9;

/// Seconds of full power since the pool began, for the moving and the staying part.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct MintClock {
    pub(super) moving: f64,
    pub(super) staying: f64,
}

#[derive(Debug, Clone, Copy)]
struct StatedRate {
    withheld: f64,
    /// When it was first stated, and last if lower ones soon after it count as the same.
    first: HolderTime,
    stated: HolderTime,
}

impl StatedRate {
    fn is_in_use(&self, now: HolderTime) -> bool {
        let ends = self
            .stated
            .saturating_add(RESERVATION_TTL + RESERVATION_MARGIN);
        ends > now
    }
}

/// What is reserved for a node.
#[derive(Debug, Clone)]
struct Reservation {
    /// The rates that may still be in use, from the highest and oldest to the last one. A later
    /// statement may not have reached the node.
    stated: VecDeque<StatedRate>,
    granted: RecentCount,
    granted_at: HolderTime,
}

impl Reservation {
    fn new(now: HolderTime) -> Self {
        Self {
            stated: VecDeque::new(),
            granted: RecentCount::default(),
            granted_at: now,
        }
    }

    fn withheld(&self, now: HolderTime) -> f64 {
        let in_use = self.stated.iter().find(|rate| rate.is_in_use(now));
        in_use.map_or(0.0, |rate| rate.withheld)
    }

    fn state(&mut self, now: HolderTime, withheld: f64) {
        self.stated.retain(|rate| rate.is_in_use(now));
        while self
            .stated
            .back()
            .is_some_and(|rate| rate.withheld <= withheld)
        {
            self.stated.pop_back();
        }
        if withheld <= 0.0 {
            return;
        }
        let rate = StatedRate {
            withheld,
            first: now,
            stated: now,
        };
        let last = self.stated.back_mut();
        if let Some(last) = last.filter(|last| between(last.first, now) < STATED_SPACING) {
            // Counts for as long as the new one, so that few are kept.
            last.stated = now;
        } else {
            self.stated.push_back(rate);
        }
    }
}

/// The tokens of one workspace.
#[derive(Debug)]
pub(super) struct QuotaAccount {
    budget: QuotaBudget,
    balance: f64,
    /// What was handed out of the amount that a new holder may hand out.
    initial_spent: f64,
    /// That amount.
    initial: f64,
    clock: MintClock,
    updated: HolderTime,
    reservations: BTreeMap<ids::NodeId, Reservation>,
    /// When a node that is refused now should come, in seconds; refused nodes are spread so that
    /// each one finds a token.
    next_slot: f64,
}

impl QuotaAccount {
    /// An account that is minted into since `clock`.
    pub(super) fn new(now: HolderTime, budget: QuotaBudget, clock: MintClock) -> Self {
        Self {
            budget,
            balance: 0.0,
            initial_spent: 0.0,
            initial: 0.0,
            clock,
            updated: now,
            reservations: BTreeMap::new(),
            next_slot: 0.0,
        }
    }

    /// Mints what is due. A changed quota applies from now on.
    pub(super) fn accrue(
        &mut self,
        now: HolderTime,
        clock: MintClock,
        capacity_share: f64,
        counts: impl Fn(&ids::NodeId) -> bool,
    ) {
        let rate = self.budget.rate;
        let elapsed = seconds(now) - seconds(self.updated);
        let moving = rate * MOVING_PART * (clock.moving - self.clock.moving);
        let staying = rate * (1.0 - MOVING_PART) * (clock.staying - self.clock.staying);
        let withheld = self.withheld_missing(now, counts) * elapsed;
        self.balance += moving + (staying - withheld).max(0.0);
        self.clock = clock;
        self.updated = now;
        self.limit(capacity_share);
    }

    /// Adds what a node saved at the rate that a former holder reserved for it.
    pub(super) fn deposit(&mut self, millitokens: u32, capacity_share: f64) {
        self.balance += f64::from(millitokens) / 1_000.0;
        self.limit(capacity_share);
    }

    /// Applies another budget.
    pub(super) fn set_budget(&mut self, budget: QuotaBudget, capacity_share: f64) {
        self.budget = budget;
        self.limit(capacity_share);
    }

    fn limit(&mut self, capacity_share: f64) {
        self.balance = self.balance.min(self.capacity(capacity_share));
    }

    fn capacity(&self, capacity_share: f64) -> f64 {
        self.budget.capacity * capacity_share + ROUNDING
    }

    /// Sets the amount that a new holder may hand out before it mints, in all.
    pub(super) const fn set_initial(&mut self, initial: f64) {
        self.initial = initial;
    }

    /// Takes up to `count` tokens.
    pub(super) fn take(&mut self, count: u32) -> u32 {
        let initial = (self.initial - self.initial_spent).max(0.0);
        let available = self.balance + initial + ROUNDING;
        let tokens = whole(available).min(count);
        let amount = f64::from(tokens);
        let from_initial = amount.min(initial);
        self.initial_spent += from_initial;
        self.balance = (self.balance - (amount - from_initial)).max(0.0);
        tokens
    }

    /// Time until a token for a node that lacks `lacking` is due, at a minting rate.
    pub(super) fn wait(
        &mut self,
        now: HolderTime,
        rate: f64,
        lacking: u32,
        limit: Duration,
    ) -> Duration {
        let now = seconds(now);
        let limit = limit.as_secs_f64();
        if rate <= 0.0 {
            return Duration::from_secs_f64(limit);
        }
        let due = now + ((1.0 - self.balance) / rate).max(0.0);
        let slot = self.next_slot.max(due).min(now + limit);
        // A busy node gets tokens for its next requests at once.
        let batch = f64::from(lacking).min(rate * SLOT_SECONDS).max(1.0);
        self.next_slot = slot + SLOT_SPACING * batch / rate;
        Duration::from_secs_f64(slot - now)
    }

    /// The rate that is withheld for nodes whose vote does not count.
    pub(super) fn withheld_missing(
        &self,
        now: HolderTime,
        counts: impl Fn(&ids::NodeId) -> bool,
    ) -> f64 {
        let missing = self.reservations.iter().filter(|(node, _)| !counts(node));
        missing
            .map(|(_, reservation)| reservation.withheld(now))
            .sum()
    }

    /// Reserves a rate for a node that was granted tokens, and returns it. `reservable` is the
    /// rate that the holder may reserve for all nodes together.
    pub(super) fn reserve(
        &mut self,
        now: HolderTime,
        node: &ids::NodeId,
        tokens: u32,
        reservable: f64,
    ) -> f64 {
        self.reservations.retain(|_, reservation| {
            reservation.withheld(now) > 0.0
                || reservation.granted_at.saturating_add(GRANT_MEMORY) > now
        });
        let others = self.reservations.iter().filter(|(other, _)| *other != node);
        let others: f64 = others
            .map(|(_, reservation)| reservation.withheld(now))
            .sum();
        let reservation = self
            .reservations
            .entry(node.clone())
            .or_insert_with(|| Reservation::new(now));
        let elapsed = between(reservation.granted_at, now);
        reservation.granted.decay(elapsed, GRANT_MEMORY);
        reservation.granted.add(tokens);
        reservation.granted_at = now;
        // A detached node may spend in any window what it saved before.
        let with_saved = |rate: f64| rate + saved_max(rate) / self.budget.window;
        let wanted = reservation.granted.rate(GRANT_MEMORY) * RESERVED_FACTOR;
        let saved = with_saved(wanted) - wanted;
        let rate = wanted.min(reservable - others - saved);
        let rate = if rate < RESERVED_MIN { 0.0 } else { rate };
        let withheld = if rate > 0.0 { with_saved(rate) } else { 0.0 };
        reservation.state(now, withheld);
        rate
    }

    /// Whether a new account would be the same.
    pub(super) fn is_idle(&self, now: HolderTime, capacity_share: f64) -> bool {
        let is_full = self.balance >= self.capacity(capacity_share) - 2.0 * ROUNDING;
        let mut reservations = self.reservations.values();
        is_full && reservations.all(|reservation| reservation.withheld(now) <= 0.0)
    }
}

pub(super) fn between(earlier: HolderTime, later: HolderTime) -> Duration {
    Duration::from_millis(later.get().saturating_sub(earlier.get()))
}

fn seconds(time: HolderTime) -> f64 {
    Duration::from_millis(time.get()).as_secs_f64()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range first"
)]
fn whole(amount: f64) -> u32 {
    amount.clamp(0.0, f64::from(u32::MAX)) as u32
}
