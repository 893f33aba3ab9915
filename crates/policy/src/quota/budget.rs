//! How the bound of a quota is divided among what can be spent at once.

use model::config::{QuotaBound, WorkspaceQuota};

use super::message::TOKEN_TTL;

/// Part of what the bound allows beyond the rate that pools may hold.
const CAPACITY_PART: f64 = 0.75;
/// Part of it that new holders may hand out once. The remaining 0.1 covers requests that wait for
/// different times between their token and their run, and nodes that know
/// different members for a moment.
const INITIAL_PART: f64 = 0.15;

/// The division of one quota's bound over the whole fleet.
///
/// In a window, nodes spend at most what is minted in it and in the lifetime of a token before
/// it, the balances at its start, and initial amounts:
/// `rate` x (window + [`TOKEN_TTL`]) + `capacity` + `initial`, which is at most the bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBudget {
    /// Tokens minted per second.
    pub rate: f64,
    /// Tokens that all pools together may hold.
    pub capacity: f64,
    /// Tokens that new holders may hand out before they have votes.
    pub initial: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

impl QuotaBudget {
    /// Divides a quota's bound among the holders of `data_centres`.
    ///
    /// A pool that holds less than one token hands out nothing, so there is one for each data
    /// centre. If the bound is too narrow for that, less is minted.
    pub fn new(bound: &QuotaBound, quota: &WorkspaceQuota, data_centres: usize) -> Self {
        let rate = quota.rate.get();
        let window = bound.window.as_secs_f64();
        let total = rate.mul_add(window, f64::from(quota.burst.get()))
            * (1.0 + bound.overshoot.get())
            + f64::from(bound.slack.get());
        let minting = window + TOKEN_TTL.as_secs_f64();
        let spare = rate.mul_add(-minting, total);
        let holders = f64::from(u32::try_from(data_centres).unwrap_or(u32::MAX));
        let capacity = (CAPACITY_PART * spare).max(holders).min(total);
        let initial = (INITIAL_PART * spare).clamp(0.0, total - capacity);
        Self {
            rate: rate.min((total - capacity - initial) / minting).max(0.0),
            capacity,
            initial,
            window,
        }
    }
}
