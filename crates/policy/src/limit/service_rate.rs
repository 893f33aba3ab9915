//! The rates at which attempts end and waiters leave the queue, and the wait that follows.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest sample in the mean. It covers some 16 attempts: a few seconds at the
/// request rate of one node.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Mean time in service of the attempts of one node.
///
/// The rate is derived from it and from the number in service (Little's law). Counted ends per
/// second would lag behind a burst, since a node sees only a few a second.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    mean_seconds: Option<f64>,
}

impl ServiceRate {
    /// Records how long an attempt was in service.
    pub fn observe(&mut self, time_in_service: Duration) {
        let sample = time_in_service.as_secs_f64();
        let mean = self.mean_seconds.get_or_insert(sample);
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
    }

    /// The time until `ends` attempts have ended while `in_service` are in service; `None` while
    /// no attempt has ended.
    pub fn time_to_end(&self, ends: usize, in_service: usize) -> Option<Duration> {
        let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
        let seconds = self.mean_seconds? * count(ends) / count(in_service.max(1));
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Weight of the newest interval between two waiters that leave the queue.
const INTERVAL_WEIGHT: f64 = 1.0 / 8.0;

/// How often waiters leave the queue of a node while it is not empty.
///
/// Waiters that are held back for the sake of other nodes' requests leave less often than
/// attempts end.
#[derive(Debug, Default)]
pub struct DepartureRate {
    mean_seconds: Option<f64>,
    last_at: Option<Instant>,
}

impl DepartureRate {
    /// Records that the queue is no longer empty.
    pub const fn restart(&mut self, now: Instant) {
        self.last_at = Some(now);
    }

    /// Records that a waiter left the queue to be sent.
    pub fn record(&mut self, now: Instant) {
        let last_at = self.last_at.replace(now).unwrap_or(now);
        let interval = now.saturating_duration_since(last_at).as_secs_f64();
        let mean = self.mean_seconds.get_or_insert(interval);
        *mean += (interval - *mean) * INTERVAL_WEIGHT;
    }

    /// The time until a waiter with `ahead` others before it leaves; `None` while nothing is
    /// known. A stall counts from its start.
    pub fn time_to_leave(&self, now: Instant, ahead: usize) -> Option<Duration> {
        let since_last = now.saturating_duration_since(self.last_at?).as_secs_f64();
        let interval = self.mean_seconds.unwrap_or_default().max(since_last);
        let turns = f64::from(u32::try_from(ahead.saturating_add(1)).unwrap_or(u32::MAX));
        Duration::try_from_secs_f64(interval * turns).ok()
    }
}
