//! Rates of the last seconds.

use std::time::Duration;

/// Counts events and forgets them with time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCount {
    level: f64,
}

impl RecentCount {
    /// Forgets a part of the events after more time.
    pub(super) fn decay(&mut self, elapsed: Duration, memory: Duration) {
        self.level *= (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp();
    }

    /// Adds events.
    pub(super) fn add(&mut self, events: u32) {
        self.level += f64::from(events);
    }

    /// Events per second.
    pub(super) fn rate(self, memory: Duration) -> f64 {
        self.level / memory.as_secs_f64()
    }
}
