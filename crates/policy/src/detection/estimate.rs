//! The usual latency of a service as one node sees it.

use std::time::Duration;

/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Buckets in all: from a tenth of a millisecond to some hours.
const BUCKETS: usize = 112;
/// Latency of the lowest bucket, in seconds.
const LOWEST_SECONDS: f64 = 0.000_1;
/// Samples before the estimate is used.
const SAMPLES_MIN: f64 = 20.0;
/// Weight at which all samples are halved, so that old ones fade.
const FADE_WEIGHT: f64 = 512.0;
/// How many times the median a request may take before it counts as bad.
const OVERDUE_FACTOR: f64 = 4.0;

/// A fading histogram of latencies on a logarithmic scale.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    weights: Box<[f64; BUCKETS]>,
    total: f64,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            weights: Box::new([0.0; BUCKETS]),
            total: 0.0,
        }
    }
}

impl LatencyEstimate {
    /// Adds the latency of one finished request.
    pub fn observe(&mut self, latency: Duration) {
        self.weights[bucket(latency)] += 1.0;
        self.total += 1.0;
        if self.total >= FADE_WEIGHT {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
    }

    /// The median, once there are enough samples.
    pub fn median(&self) -> Option<Duration> {
        self.quantile(0.5)
    }

    /// A quantile, once there are enough samples.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        self.rough_quantile(share)
    }

    /// A quantile of however few samples there are.
    pub fn rough_quantile(&self, share: f64) -> Option<Duration> {
        if self.total <= 0.0 {
            return None;
        }
        let mut sum = 0.0;
        let index = self.weights.iter().position(|weight| {
            sum += weight;
            sum >= self.total * share
        })?;
        Some(upper_edge(index))
    }
}

/// The latency beyond which a request is evidence, for a service with this median.
pub fn overdue_bound(median: Duration) -> Duration {
    median.mul_f64(OVERDUE_FACTOR)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the index is clamped to the range of buckets before the cast"
)]
fn bucket(latency: Duration) -> usize {
    let ratio = (latency.as_secs_f64() / LOWEST_SECONDS).max(1.0);
    (ratio.log2() * BUCKETS_PER_DOUBLING).clamp(0.0, (BUCKETS - 1) as f64) as usize
}

#[expect(clippy::cast_precision_loss, reason = "bucket indices are small")]
fn upper_edge(index: usize) -> Duration {
    let doublings = (index + 1) as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(LOWEST_SECONDS * doublings.exp2())
}
