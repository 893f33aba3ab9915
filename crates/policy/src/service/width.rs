//! Width of a node's subset, from the node's own requests to the service.

use std::time::Duration;

use model::sizes;
use tokio::time::Instant;

use super::assignment::width_step;

/// Time over which requests are averaged.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Time after which the rate of a new balancer is known well enough.
const LEARNING_TIME: Duration = Duration::from_secs(10);
/// Time within which a request that may run only once uses a connection again.
const REUSE_TIME: Duration = Duration::from_secs(1);
/// Upstreams for each request in flight, so that there is a choice.
const CHOICES_PER_REQUEST: f64 = 2.0;
/// Least width. In a trial with 121 nodes, half as many local upstreams doubled the bytes
/// between data centres.
const WIDTH_MIN: f64 = 6.0;
/// Least number of nodes that have an upstream in their subsets, so that the demand of a few
/// nodes is not all that an upstream gets.
const SHARING_NODES_MIN: f64 = 4.0;
/// How long a lower width has to suffice until the subset becomes narrower. Demand comes in waves
/// of 17 s; a subset that follows them opens the same connections again and again.
const NARROWING_DELAY: Duration = Duration::from_secs(30);
/// Factor on the demand for which the lower width has to suffice.
const NARROWING_MARGIN: f64 = 1.25;

/// The rate of a node's requests to a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestDemand {
    /// Requests, each of which decays over [`DECAY_TIME`].
    requests: f64,
    updated_at: Instant,
    started_at: Instant,
}

impl RequestDemand {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            requests: 0.0,
            updated_at: now,
            started_at: now,
        }
    }

    /// Counts a request.
    pub(super) fn count(&mut self, now: Instant) {
        self.requests = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// The rate; `None` until it is known.
    pub(super) fn rate(&self, now: Instant) -> Option<sizes::Rate> {
        let age = now.saturating_duration_since(self.started_at);
        let rate = self.decayed(now) / DECAY_TIME.as_secs_f64();
        (age >= LEARNING_TIME).then_some(sizes::Rate::per_second(rate))
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.requests * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The part of the fleet that a width is for: one service in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetShape {
    /// Nodes of the data centre.
    pub nodes: usize,
    /// Upstreams of the service in the data centre.
    pub upstreams: usize,
    /// Slots of these upstreams.
    pub slots: u32,
}

/// What a node sends to a service.
#[derive(Debug, Clone, Copy)]
pub struct NodeDemand {
    /// Requests per second; `None` while it is not known.
    pub rate: Option<sizes::Rate>,
    /// The usual latency; `None` while it is not known.
    pub latency: Option<Duration>,
}

impl NodeDemand {
    /// The upstreams for this demand, as a number that is not rounded.
    #[expect(clippy::cast_precision_loss, reason = "counts of nodes are small")]
    fn width(&self, shape: SubsetShape, factor: f64) -> f64 {
        let nodes = shape.nodes.max(1) as f64;
        let for_evenness = SHARING_NODES_MIN * shape.upstreams as f64 / nodes;
        let (for_reuse, in_flight) = match self.rate {
            Some(rate) => {
                let latency = self.latency.unwrap_or_default();
                let rate = rate.get() * factor;
                (
                    rate * REUSE_TIME.as_secs_f64(),
                    rate * latency.as_secs_f64(),
                )
            }
            None => (0.0, f64::from(shape.slots) / nodes),
        };
        let for_choice = CHOICES_PER_REQUEST * in_flight;
        for_reuse.max(for_choice).max(for_evenness).max(WIDTH_MIN)
    }
}

/// The width of a subset. It grows at once and shrinks slowly, in the steps of the assignment.
#[derive(Debug, Clone, Copy, Default)]
pub struct SubsetWidth {
    step: usize,
    /// Since when a lower width suffices.
    narrower_since: Option<Instant>,
}

impl SubsetWidth {
    /// The current number of upstreams; 0 before the first update.
    pub const fn get(&self) -> usize {
        self.step
    }

    /// Adapts the width to the demand; returns whether it changed.
    pub fn update(&mut self, now: Instant, demand: &NodeDemand, shape: SubsetShape) -> bool {
        let needed = width_step(round_up(demand.width(shape, 1.0)));
        if needed > self.step {
            self.step = needed;
            self.narrower_since = None;
            return true;
        }
        let sufficient = width_step(round_up(demand.width(shape, NARROWING_MARGIN)));
        if sufficient >= self.step {
            self.narrower_since = None;
            return false;
        }
        let since = *self.narrower_since.get_or_insert(now);
        if now.saturating_duration_since(since) < NARROWING_DELAY {
            return false;
        }
        self.step = sufficient;
        self.narrower_since = None;
        true
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "widths are small and positive"
)]
fn round_up(width: f64) -> usize {
    width.ceil() as usize
}
