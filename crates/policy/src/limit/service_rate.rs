//! The rate at which a service ends this node's requests, and the wait that follows from it.

use std::time::Duration;

/// Weight of the newest sample in the mean. It covers some 16 attempts: a few seconds at the
/// request rate of one node.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Mean time in service of the attempts of one node.
///
/// The rate is derived from it and from the number in service (Little's law). Counted ends per
/// second would lag behind a burst, since a node sees only a few a second.
#[derive(Debug, Default)]
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
