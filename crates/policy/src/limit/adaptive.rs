//! Adaptive limit on the requests that one node keeps in flight at one upstream.

use std::time::Duration;

use model::sizes;
use tokio::time::Instant;

/// Minimum of the limit.
const LIMIT_MIN: f64 = 1.0;
/// Maximum of the limit, as a multiple of the upstream's slots.
const SLOTS_FACTOR_MAX: f64 = 4.0;
/// Factor on the limit after a sign of overload.
const BACKOFF_FACTOR: f64 = 0.8;
/// Minimum interval between two reductions.
const BACKOFF_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Additive increase by one per round of successes at the limit, multiplicative decrease
/// on overload.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    limit_max: f64,
    reduced_at: Option<Instant>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the upstream's slots.
    pub fn new(slots: sizes::SlotCount) -> Self {
        let slots = f64::from(slots.get()).max(LIMIT_MIN);
        Self {
            limit: slots,
            limit_max: slots * SLOTS_FACTOR_MAX,
            reduced_at: None,
        }
    }

    /// Whether one more request fits under the limit.
    pub fn has_room(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit
    }

    /// Records a success; `in_flight` is the number of requests when it started. The limit
    /// rises only if it was used up.
    pub fn on_success(&mut self, in_flight: u32) {
        let is_used_up = f64::from(in_flight) + 1.0 >= self.limit;
        if is_used_up {
            self.limit = (self.limit + 1.0 / self.limit).min(self.limit_max);
        }
    }

    /// Records a shed response, a refused connection or a time-out.
    pub fn on_overload(&mut self, now: Instant) {
        let recent = self
            .reduced_at
            .is_some_and(|at| now.duration_since(at) < BACKOFF_INTERVAL_MIN);
        if !recent {
            self.limit = (self.limit * BACKOFF_FACTOR).max(LIMIT_MIN);
            self.reduced_at = Some(now);
        }
    }

    /// The current limit, in requests in flight.
    pub const fn get(&self) -> f64 {
        self.limit
    }
}
