//! Counts of outcomes over the recent past.

use std::time::Duration;

use tokio::time::Instant;

/// Length of one bucket.
const BUCKET_SPAN: Duration = Duration::from_millis(250);
/// Buckets that are kept.
const BUCKETS: usize = 40;

/// Good and bad outcomes in a ring of short buckets.
#[derive(Debug, Clone)]
pub struct OutcomeWindow {
    started: Instant,
    newest: u64,
    buckets: [(u32, u32); BUCKETS],
}

impl OutcomeWindow {
    /// The longest past that the window covers.
    pub const SPAN: Duration = BUCKET_SPAN.saturating_mul(40);

    /// An empty window.
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            newest: 0,
            buckets: [(0, 0); BUCKETS],
        }
    }

    /// Adds outcomes at an instant.
    pub fn add(&mut self, now: Instant, good: u32, bad: u32) {
        self.advance(now);
        let (goods, bads) = &mut self.buckets[slot(self.newest)];
        *goods += good;
        *bads += bad;
    }

    /// Adds good outcomes that lie a span before an instant.
    pub fn add_earlier(&mut self, now: Instant, age: Duration, good: u32) {
        self.advance(now);
        let at = now.checked_sub(age).unwrap_or(now);
        self.buckets[slot(self.index(at))].0 += good;
    }

    /// Good and bad outcomes since an instant, to the width of a bucket.
    pub fn since(&self, now: Instant, from: Instant) -> (u32, u32) {
        let last = self.index(now);
        let first = self
            .index(from)
            .max(last.saturating_sub(BUCKETS as u64 - 1));
        let wanted = first..=self.newest.min(last);
        let kept = wanted.filter(|index| index + BUCKETS as u64 > self.newest);
        kept.map(|index| self.buckets[slot(index)])
            .fold((0, 0), |(goods, bads), (good, bad)| {
                (goods + good, bads + bad)
            })
    }

    fn index(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        u64::try_from(elapsed / BUCKET_SPAN.as_millis()).unwrap_or(u64::MAX)
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
