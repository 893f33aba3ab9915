//! Rate limit on the log lines of each target.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Sustained rate of lines per target.
const LINES_PER_SECOND: f64 = 50.0;
/// Lines that a target may write in a burst.
const BURST_LINES_MAX: f64 = 200.0;

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    /// Lines rejected since the last report.
    suppressed: u64,
}

#[derive(Debug, Default)]
struct LimitState {
    buckets: HashMap<String, TokenBucket>,
    reported_at: Option<Instant>,
}

/// A token bucket of lines for each target.
///
/// It is called on any thread and holds its lock for a few instructions only. A task with
/// its own queue would cost a second transfer between threads for each line.
#[derive(Debug, Default)]
pub struct LineLimiter {
    state: Mutex<LimitState>,
}

impl LineLimiter {
    /// Whether a target may write one more line now; if not, the line is counted as
    /// suppressed.
    pub fn admit(&self, target: &str) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.buckets.contains_key(target) {
            let bucket = TokenBucket {
                tokens: BURST_LINES_MAX,
                refilled_at: now,
                suppressed: 0,
            };
            state.buckets.insert(target.to_owned(), bucket);
        }
        let Some(bucket) = state.buckets.get_mut(target) else {
            return true;
        };
        let refill = now.duration_since(bucket.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(BURST_LINES_MAX);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the targets with suppressed lines and their counts since the last report, or
    /// nothing if that report is less than `interval` ago.
    pub fn take_suppressed(&self, interval: Duration) -> Vec<(String, u64)> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = state
            .reported_at
            .is_some_and(|reported_at| now.duration_since(reported_at) < interval);
        if is_recent {
            return Vec::new();
        }
        state.reported_at = Some(now);
        let buckets = state.buckets.iter_mut();
        buckets
            .filter(|(_, bucket)| bucket.suppressed > 0)
            .map(|(target, bucket)| (target.clone(), std::mem::take(&mut bucket.suppressed)))
            .collect()
    }
}
