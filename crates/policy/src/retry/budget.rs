//! Retry budget: bounds the retries by the number of requests.

use std::time::Duration;

use model::config::{self, RetryAllowance};
use tokio::time::Instant;

use crate::office::OfficeGrant;

/// Cost of one retry: a whole token, in thousandths.
pub(super) const RETRY_COST_MILLITOKENS: u32 = 1_000;
/// How long the pool counts as empty after it denied a token. A data centre's requests
/// deposit a few tokens in that time.
const DENIED_TTL: Duration = Duration::from_millis(500);

/// Retry tokens of one service at one node, in thousandths of a token.
///
/// If the whole fleet shares a limit, requests deposit into the data centre's pool
/// instead, and the node holds only the tokens that it drew from there, each for a short time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    allowance: config::RetryAllowance,
    balance: u32,
    /// Tokens drawn from the pool and not spent.
    drawn: Vec<OfficeGrant>,
    /// Deposits not yet reported to the pool.
    unreported: u32,
    /// Time at which the pool last denied a token.
    denied_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(config::RetryAllowance::default())
    }
}

impl RetryBudget {
    /// Creates a budget with its initial balance.
    pub const fn new(allowance: config::RetryAllowance) -> Self {
        let balance = if allowance.fleet_max_millitokens > 0 {
            0
        } else {
            allowance.initial_millitokens
        };
        Self {
            allowance,
            balance,
            drawn: Vec::new(),
            unreported: 0,
            denied_at: None,
        }
    }

    /// Applies a new allowance; the balance is reduced to its maximum.
    pub fn set_allowance(&mut self, allowance: config::RetryAllowance) {
        self.allowance = allowance;
        if !self.is_pooled() {
            self.balance = self.balance.min(allowance.max_millitokens);
        }
    }

    /// Whether the nodes of a data centre share their retry tokens.
    pub const fn is_pooled(&self) -> bool {
        self.allowance.fleet_max_millitokens > 0
    }

    /// Deposits the allowance of one request.
    pub fn deposit(&mut self) {
        let RetryAllowance {
            ratio_permille,
            max_millitokens,
            ..
        } = self.allowance;
        if self.is_pooled() {
            self.unreported = self.unreported.saturating_add(ratio_permille);
        } else {
            self.balance = (self.balance + ratio_permille).min(max_millitokens);
        }
    }

    /// Whether there are deposits not yet reported to the pool.
    pub const fn has_unreported(&self) -> bool {
        self.unreported > 0
    }

    /// Returns the deposits to report to the pool and the limit of the whole fleet, both in
    /// thousandths of a token.
    pub fn take_unreported(&mut self) -> Option<(u32, u32)> {
        let unreported = std::mem::take(&mut self.unreported);
        (unreported > 0).then_some((unreported, self.allowance.fleet_max_millitokens))
    }

    /// Records whether the pool granted a token. Tokens of another holder or term are lost: they
    /// may have been granted once more since.
    pub fn record_token_draw(&mut self, now: Instant, granted: Option<OfficeGrant>) {
        let Some(grant) = granted else {
            self.denied_at = Some(now);
            return;
        };
        self.drawn
            .retain(|token| token.is_valid(now) && token.given_by() == grant.given_by());
        self.drawn.push(grant);
        self.denied_at = None;
    }

    /// Spends a token on a retry; returns false if there is none.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.drawn.retain(|token| token.is_valid(now));
        if self.drawn.pop().is_some() {
            return true;
        }
        let sufficient = self.balance >= RETRY_COST_MILLITOKENS;
        if sufficient {
            self.balance -= RETRY_COST_MILLITOKENS;
        }
        sufficient
    }

    /// Whether one more retry is probably within the budget: the balance covers it, or the
    /// pool has not denied a token recently.
    pub fn can_spend(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < DENIED_TTL;
        self.covers_retry(now) || (self.is_pooled() && !self.denied_at.is_some_and(is_recent))
    }

    /// Whether this node has a token for a retry.
    pub fn covers_retry(&self, now: Instant) -> bool {
        let has_drawn = self.drawn.iter().any(|token| token.is_valid(now));
        has_drawn || self.balance >= RETRY_COST_MILLITOKENS
    }

    /// Current balance without drawn tokens, in thousandths of a token.
    pub const fn balance(&self) -> u32 {
        self.balance
    }
}
