//! Retry tokens shared by the nodes of a data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::budget::RETRY_COST_MILLITOKENS;

/// Maximum age of a pool whose balances start half full when the whole fleet starts for
/// the first time. The first requests arrive within about ten seconds of the start. Only
/// half, because the pool of a second relay that takes over within that time is filled
/// as well.
const INITIAL_FILL_AGE_MAX: Duration = Duration::from_secs(12);

model::record! {
    /// Deposit of a node's requests to one service.
    #[derive(Eq)]
    pub struct RetryDeposit {
        /// The service.
        pub service: ids::ServiceId,
        /// The amount, in thousandths of a retry token.
        #[serde(rename = "millis")]
        pub millitokens: u32,
        /// Limit on the balance of the whole fleet, in thousandths of a retry token.
        #[serde(rename = "fleet_most_millis")]
        pub fleet_max_millitokens: u32,
    }
}

/// The balance of one service, and the limit of the whole fleet, in thousandths of a token.
#[derive(Debug)]
struct RetryBalance {
    millitokens: u32,
    fleet_max_millitokens: u32,
}

/// Retry tokens of one data centre, by service, in thousandths of a token.
///
/// A request deposits once, into one pool, and a retry draws a whole token. All pools
/// together never hold more than the fleet's limit, so the retries in any time window are
/// at most that limit plus the deposits of the window's own requests.
#[derive(Debug)]
pub struct RetryPool {
    balances: BTreeMap<ids::ServiceId, RetryBalance>,
    /// Services whose first token was drawn before their first deposit, which tells how
    /// many there are.
    advanced: BTreeSet<ids::ServiceId>,
    started_at: Instant,
    first_start: bool,
}

impl RetryPool {
    /// Creates a pool without balances; `first_start` is true when the whole fleet starts
    /// for the first time.
    pub const fn new(now: Instant, first_start: bool) -> Self {
        Self {
            balances: BTreeMap::new(),
            advanced: BTreeSet::new(),
            started_at: now,
            first_start,
        }
    }

    /// Reduces balances to what a relay with `share` of the fleet's limit may hold. While balances
    /// start filled, the relay holds `full_share`: not every node has had a request yet.
    pub fn limit_balances(&mut self, now: Instant, share: f64, full_share: f64) {
        let share = if self.starts_filled(now) {
            full_share
        } else {
            share
        };
        for balance in self.balances.values_mut() {
            let limit = fraction_of(balance.fleet_max_millitokens, share);
            balance.millitokens = balance.millitokens.min(limit);
        }
    }

    /// Adds a deposit; `share` is the data centre's share of the fleet's nodes.
    pub fn deposit(&mut self, now: Instant, deposit: &RetryDeposit, share: f64) {
        let limit_millitokens = fraction_of(deposit.fleet_max_millitokens, share);
        let initial = if self.starts_filled(now) {
            limit_millitokens / 2
        } else {
            0
        };
        let advance = if self.advanced.remove(&deposit.service) {
            RETRY_COST_MILLITOKENS
        } else {
            0
        };
        let balance = self
            .balances
            .entry(deposit.service.clone())
            .or_insert(RetryBalance {
                millitokens: initial.saturating_sub(advance),
                fleet_max_millitokens: 0,
            });
        balance.fleet_max_millitokens = deposit.fleet_max_millitokens;
        balance.millitokens = balance
            .millitokens
            .saturating_add(deposit.millitokens)
            .min(limit_millitokens);
    }

    /// Draws a retry token; returns false if the balance is too low.
    ///
    /// A draw may overtake the deposit of the same request. If the balance starts filled, the
    /// first token is therefore advanced.
    pub fn draw(&mut self, now: Instant, service: &ids::ServiceId) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if balance.millitokens >= RETRY_COST_MILLITOKENS => {
                balance.millitokens -= RETRY_COST_MILLITOKENS;
                true
            }
            Some(_) => false,
            None => self.starts_filled(now) && self.advanced.insert(service.clone()),
        }
    }

    /// Whether the balance of a service without deposits starts half full.
    fn starts_filled(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        self.first_start && age <= INITIAL_FILL_AGE_MAX
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a u32 fits"
)]
fn fraction_of(amount: u32, share: f64) -> u32 {
    (f64::from(amount) * share.clamp(0.0, 1.0)) as u32
}
