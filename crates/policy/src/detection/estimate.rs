//! A running estimate of the latency of a service.

use std::time::Duration;

/// Histogram resolution: buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets; they span from 0.1 ms to several hours.
const BUCKETS: usize = 112;
/// Lower edge of the first bucket, in seconds.
const LOWEST_EDGE_SECONDS: f64 = 0.000_1;
/// Samples needed before the estimate is used.
const SAMPLES_MIN: f64 = 20.0;
/// Total weight at which all buckets are halved, so that old samples decay.
const DECAY_WEIGHT: f64 = 512.0;
/// Multiple of the median latency beyond which a request counts as bad.
const OVERDUE_FACTOR: f64 = 4.0;

/// A decaying histogram of latencies with logarithmic buckets.
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
    /// Records the latency of one finished request.
    pub fn observe(&mut self, latency: Duration) {
        self.weights[bucket_index(latency)] += 1.0;
        self.total += 1.0;
        if self.total >= DECAY_WEIGHT {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
    }

    /// The median; `None` until there are enough samples.
    pub fn median(&self) -> Option<Duration> {
        self.quantile(0.5)
    }

    /// The quantile at `share`, from 0 to 1; `None` until there are enough samples.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        self.rough_quantile(share)
    }

    /// A quantile from any number of samples; `None` without samples.
    pub fn rough_quantile(&self, share: f64) -> Option<Duration> {
        if self.total <= 0.0 {
            return None;
        }
        let mut sum = 0.0;
        let index = self.weights.iter().position(|weight| {
            sum += weight;
            sum >= self.total * share
        })?;
        Some(bucket_upper_edge(index))
    }
}

/// The latency beyond which a request counts as bad, for a service with this median.
pub fn overdue_bound(median: Duration) -> Duration {
    median.mul_f64(OVERDUE_FACTOR)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the index is clamped to the range of buckets before the cast"
)]
fn bucket_index(latency: Duration) -> usize {
    let ratio = (latency.as_secs_f64() / LOWEST_EDGE_SECONDS).max(1.0);
    (ratio.log2() * BUCKETS_PER_DOUBLING).clamp(0.0, (BUCKETS - 1) as f64) as usize
}

#[expect(clippy::cast_precision_loss, reason = "bucket indices are small")]
fn bucket_upper_edge(index: usize) -> Duration {
    let doublings = (index + 1) as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(LOWEST_EDGE_SECONDS * doublings.exp2())
}
