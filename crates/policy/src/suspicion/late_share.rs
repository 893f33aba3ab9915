//! Share of requests that are overdue although their upstream is healthy.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the decay of older counts.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Share without any counts. Attempts are overdue beyond the 0.9 quantile of the usual
/// latency, which is one request in ten.
const SHARE_PRIOR: f64 = 0.1;
/// Weight of the prior in requests, for each node.
const PRIOR_REQUESTS_PER_NODE: f64 = 2.0;
/// Bounds on the share. At the upper one, an overdue request is hardly evidence.
const SHARE_MIN: f64 = 0.05;
const SHARE_MAX: f64 = 0.6;

/// Ratio of the late responses of all nodes to the requests of the fleet, estimated as
/// this node's requests times the number of nodes.
///
/// When a whole service slows down under load, most requests are overdue, and no upstream
/// should lose its share of the load for them.
#[derive(Debug, Clone, Copy)]
pub struct LateShare {
    late_responses: f64,
    requests: f64,
    updated_at: Instant,
}

impl LateShare {
    /// Creates an estimate without counts.
    pub const fn new(now: Instant) -> Self {
        Self {
            late_responses: 0.0,
            requests: 0.0,
            updated_at: now,
        }
    }

    /// Counts a request of this node, which stands for one request of each node.
    pub fn count_request(&mut self, now: Instant, nodes: f64) {
        self.decay(now);
        self.requests += nodes;
    }

    /// Counts a late response at any node.
    pub fn count_late(&mut self, now: Instant) {
        self.decay(now);
        self.late_responses += 1.0;
    }

    /// The current share.
    pub fn get(&self, nodes: f64) -> f64 {
        let prior = PRIOR_REQUESTS_PER_NODE * nodes;
        let share = (self.late_responses + SHARE_PRIOR * prior) / (self.requests + prior);
        share.clamp(SHARE_MIN, SHARE_MAX)
    }

    /// Requests of the fleet per second, from those of the last few seconds.
    pub fn requests_per_second(&self, now: Instant) -> f64 {
        let mut current = *self;
        current.decay(now);
        current.requests / DECAY_TIME.as_secs_f64()
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let remaining = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.late_responses *= remaining;
        self.requests *= remaining;
        self.updated_at = now;
    }
}
