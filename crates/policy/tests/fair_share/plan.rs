//! What a fleet is made of and how its callers load it.

use std::time::Duration;

use gooseberrydyke_policy::limit::FlowKey;
use rand::Rng as _;
use rand::rngs::SmallRng;

use super::node::QueueKind;

/// What callers do after a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerHabit {
    /// Follow `Retry-After` up to a third of the remaining time.
    Follows,
    /// Send the request again at once.
    RetriesAtOnce,
    /// As `Follows`, and leave after this time without a response.
    Leaves(Duration),
}

/// The callers of one flow.
#[derive(Debug, Clone)]
pub(crate) struct FlowPlan {
    pub(crate) flow: FlowKey,
    pub(crate) group: usize,
    pub(crate) priority: u32,
    pub(crate) rate: f64,
    /// Factor on the rate while the load lasts.
    pub(crate) factor: f64,
    pub(crate) callers: usize,
    pub(crate) habit: CallerHabit,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) flows: Vec<FlowPlan>,
    pub(crate) groups: usize,
    /// How long callers wait, and within which time they want the response.
    pub(crate) timeout: Duration,
    pub(crate) wanted: Duration,
    pub(crate) queue: QueueKind,
    pub(crate) seed: u64,
}

/// Draws the number of events in a span in which `expected` are expected.
pub(crate) fn poisson(rng: &mut SmallRng, expected: f64) -> usize {
    let limit = (-expected).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
