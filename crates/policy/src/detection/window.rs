//! A sliding window of outcome counts.

use std::time::Duration;

use tokio::time::Instant;

/// Time covered by one bucket.
const BUCKET_DURATION: Duration = Duration::from_millis(250);
/// Number of buckets in the ring.
const BUCKETS: usize = 40;

/// Counts of good and bad outcomes in a ring of time buckets.
#[derive(Debug, Clone)]
pub struct OutcomeWindow {
    started: Instant,
    newest: u64,
    buckets: [(u32, u32); BUCKETS],
}

impl OutcomeWindow {
    /// The length of the window.
    pub const SPAN: Duration = BUCKET_DURATION.saturating_mul(40);

    /// An empty window whose first bucket starts now.
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            newest: 0,
            buckets: [(0, 0); BUCKETS],
        }
    }

    /// Adds outcomes that happened now.
    pub fn add(&mut self, now: Instant, good: u32, bad: u32) {
        self.advance(now);
        let (good_sum, bad_sum) = &mut self.buckets[slot(self.newest)];
        *good_sum += good;
        *bad_sum += bad;
    }

    /// Adds good outcomes that happened `age` before now.
    pub fn add_earlier(&mut self, now: Instant, age: Duration, good: u32) {
        self.advance(now);
        let at = now.checked_sub(age).unwrap_or(now);
        self.buckets[slot(self.index(at))].0 += good;
    }

    /// Numbers of good and bad outcomes since `from`, rounded down to a bucket's start.
    pub fn since(&self, now: Instant, from: Instant) -> (u32, u32) {
        let last = self.index(now);
        let first = self
            .index(from)
            .max(last.saturating_sub(BUCKETS as u64 - 1));
        let indices = first..=self.newest.min(last);
        let retained = indices.filter(|index| index + BUCKETS as u64 > self.newest);
        retained
            .map(|index| self.buckets[slot(index)])
            .fold((0, 0), |(good_sum, bad_sum), (good, bad)| {
                (good_sum + good, bad_sum + bad)
            })
    }

    fn index(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        u64::try_from(elapsed / BUCKET_DURATION.as_millis()).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Instant) {
        let index = self.index(now);
        let first_stale = (self.newest + 1).max(index.saturating_sub(BUCKETS as u64 - 1));
        for stale in first_stale..=index {
            self.buckets[slot(stale)] = (0, 0);
        }
        self.newest = self.newest.max(index);
    }
}

fn slot(index: u64) -> usize {
    usize::try_from(index % BUCKETS as u64).unwrap_or(0)
}
