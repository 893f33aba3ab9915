//! How many requests one node keeps in flight at one upstream.

use std::time::Duration;

use model::sizes;
use tokio::time::Instant;

/// The lowest limit.
const LIMIT_MIN: f64 = 1.0;
/// How far the limit may rise above the upstream's slots.
const SLOTS_FACTOR_MAX: f64 = 4.0;
/// What remains of the limit after a sign of overload.
const BACKOFF: f64 = 0.8;
/// The shortest time between two reductions.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(100);

/// Rises by one for each round of successes and falls by a share when work is shed.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    ceiling: f64,
    reduced: Option<Instant>,
}

impl AdaptiveLimit {
    /// A limit that starts at the upstream's slots.
    pub fn new(slots: sizes::SlotCount) -> Self {
        let slots = f64::from(slots.get()).max(LIMIT_MIN);
        Self {
            limit: slots,
            ceiling: slots * SLOTS_FACTOR_MAX,
            reduced: None,
        }
    }

    /// Whether one more request fits.
    pub fn has_room(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit
    }

    /// Takes a success that was made with `in_flight` requests.
    pub fn on_success(&mut self, in_flight: u32) {
        let used = f64::from(in_flight) + 1.0 >= self.limit;
        if used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Takes a shed answer, a refused connection or a time-out.
    pub fn on_overload(&mut self, now: Instant) {
        let recent = self
            .reduced
            .is_some_and(|at| now.duration_since(at) < BACKOFF_INTERVAL);
        if !recent {
            self.limit = (self.limit * BACKOFF).max(LIMIT_MIN);
            self.reduced = Some(now);
        }
    }

    /// The limit.
    pub const fn get(&self) -> f64 {
        self.limit
    }
}
