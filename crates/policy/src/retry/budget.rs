//! A budget that ties repeated attempts to requests.

use std::time::Duration;

use model::config::{self, RetryAllowance};
use tokio::time::Instant;

/// What one repeated attempt takes.
pub(super) const PRICE: u32 = 1_000;
/// How long an empty pool is taken to stay empty; a data centre's requests pay in
/// a few repeats in that time.
const DENIED_SPAN: Duration = Duration::from_millis(500);

/// Tokens of one service at one node, in thousandths of an attempt.
///
/// Where the whole fleet shares a bound, requests pay into the data centre's pool
/// instead, and a node holds what it has drawn from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    allowance: config::RetryAllowance,
    balance: u32,
    /// What requests paid in that the pool was not told of.
    untold: u32,
    /// When the pool last had nothing.
    denied: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(config::RetryAllowance::default())
    }
}

impl RetryBudget {
    /// A budget at its starting balance.
    pub const fn new(allowance: config::RetryAllowance) -> Self {
        let balance = if allowance.fleet_most_millis > 0 {
            0
        } else {
            allowance.start_millis
        };
        Self {
            allowance,
            balance,
            untold: 0,
            denied: None,
        }
    }

    /// Takes new terms; the balance stays within them.
    pub fn set_allowance(&mut self, allowance: config::RetryAllowance) {
        self.allowance = allowance;
        if !self.is_pooled() {
            self.balance = self.balance.min(allowance.most_millis);
        }
    }

    /// Whether the nodes of a data centre share their repeats.
    pub const fn is_pooled(&self) -> bool {
        self.allowance.fleet_most_millis > 0
    }

    /// Adds what a request is worth.
    pub fn deposit(&mut self) {
        let RetryAllowance {
            permille,
            most_millis,
            ..
        } = self.allowance;
        if self.is_pooled() {
            self.untold = self.untold.saturating_add(permille);
        } else {
            self.balance = (self.balance + permille).min(most_millis);
        }
    }

    /// Whether requests paid in what the pool was not told of.
    pub const fn has_untold(&self) -> bool {
        self.untold > 0
    }

    /// What the pool has to be told of: an amount, and the most of the whole fleet.
    pub fn take_untold(&mut self) -> Option<(u32, u32)> {
        let untold = std::mem::take(&mut self.untold);
        (untold > 0).then_some((untold, self.allowance.fleet_most_millis))
    }

    /// Takes the pool's reply: one repeat, or none.
    pub fn take_drawn(&mut self, now: Instant, drawn: bool) {
        if drawn {
            self.balance = self.balance.saturating_add(PRICE);
            self.denied = None;
        } else {
            self.denied = Some(now);
        }
    }

    /// Pays for one attempt when the balance allows it.
    pub fn pay(&mut self) -> bool {
        let covered = self.balance >= PRICE;
        if covered {
            self.balance -= PRICE;
        }
        covered
    }

    /// Whether one more attempt could probably be paid for.
    pub fn can_pay(&self, now: Instant) -> bool {
        let denied = |at| now.saturating_duration_since(at) < DENIED_SPAN;
        self.balance >= PRICE || (self.is_pooled() && !self.denied.is_some_and(denied))
    }

    /// What is left, in thousandths of an attempt.
    pub const fn balance(&self) -> u32 {
        self.balance
    }
}
