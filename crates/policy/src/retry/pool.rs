//! Repeats that the nodes of a data centre share.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::budget::PRICE;

/// Age up to which the pools of a fleet that starts for the first time begin with
/// half of what they may save up: callers come within some ten seconds of the
/// start, and a second relay in that time may then fill up once more.
const FIRST_FILL_AGE: Duration = Duration::from_secs(12);

model::record! {
    /// What a node's requests to one service paid in.
    #[derive(Eq)]
    pub struct RepeatDeposit {
        /// The service.
        pub service: ids::ServiceId,
        /// The amount, in thousandths of a repeat.
        pub millis: u32,
        /// Repeats that the whole fleet may save up, in thousandths.
        pub fleet_most_millis: u32,
    }
}

/// What one data centre has saved up, for each service, in thousandths of a repeat.
///
/// A request pays in once, at one pool, and a repeat draws a whole one. What all
/// pools hold together never exceeds what the fleet may save up, so no window sees
/// more repeats than that and what its own requests paid in.
#[derive(Debug)]
pub struct RepeatPool {
    purses: BTreeMap<ids::ServiceId, u32>,
    started: Instant,
    first_start: bool,
}

impl RepeatPool {
    /// An empty pool; `first_start` tells whether the whole fleet starts for the first time.
    pub const fn new(now: Instant, first_start: bool) -> Self {
        Self {
            purses: BTreeMap::new(),
            started: now,
            first_start,
        }
    }

    /// Takes a deposit; `share` is the data centre's part of the fleet's nodes.
    pub fn deposit(&mut self, now: Instant, deposit: &RepeatDeposit, share: f64) {
        let most = part_of(deposit.fleet_most_millis, share);
        let age = now.saturating_duration_since(self.started);
        let first = if self.first_start && age <= FIRST_FILL_AGE {
            most / 2
        } else {
            0
        };
        let purse = self.purses.entry(deposit.service.clone()).or_insert(first);
        *purse = purse.saturating_add(deposit.millis).min(most);
    }

    /// Draws one repeat; tells whether there was one.
    pub fn draw(&mut self, service: &ids::ServiceId) -> bool {
        match self.purses.get_mut(service) {
            Some(purse) if *purse >= PRICE => {
                *purse -= PRICE;
                true
            }
            _ => false,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a u32 fits"
)]
fn part_of(amount: u32, share: f64) -> u32 {
    (f64::from(amount) * share.clamp(0.0, 1.0)) as u32
}
