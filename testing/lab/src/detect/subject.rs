//! The subjects of the comparison: upstream-selection strategies, as closures over their
//! own state.

use policy::retry::AttemptEnd;
use tokio::time::Instant;

/// A request that a subject has assigned to an upstream and that has not ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightRequest {
    /// Index of the upstream in the service.
    pub(super) upstream: usize,
    /// Number by which the subject finds the request again when it ends.
    pub(super) request_number: u64,
}

/// The result of one health probe by one node.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeResult {
    pub(super) node: usize,
    pub(super) upstream: usize,
    pub(super) healthy: bool,
}

/// The decisions that a subject has taken so far.
#[derive(Debug, Clone, Default)]
pub(super) struct SubjectActions {
    /// Upstreams in the order of their ejections, one entry for each ejection.
    pub(super) ejected: Vec<usize>,
    /// Upstreams in the order in which the collector of the first data centre decided to
    /// avoid them.
    pub(super) avoided: Vec<usize>,
    /// Minimum over time and nodes of the slots left in service.
    pub(super) slots_min: u32,
}

/// An upstream-selection strategy, with the state of all nodes.
pub(super) struct Subject {
    /// Selects an upstream at a node: time, node, whether the request may be retried.
    pub(super) select: Box<dyn FnMut(Instant, usize, bool) -> Option<InFlightRequest>>,
    /// Records how a request ended at a node.
    pub(super) finish: Box<dyn FnMut(Instant, usize, InFlightRequest, AttemptEnd)>,
    /// Records the result of a probe.
    pub(super) probe: Box<dyn FnMut(Instant, ProbeResult)>,
    /// Runs the periodic work that is due.
    pub(super) tick: Box<dyn FnMut(Instant)>,
    /// Whether a node (first index) sends an upstream (second index) less than its normal share.
    pub(super) is_avoided: Box<dyn Fn(usize, usize) -> bool>,
    /// Returns the decisions taken so far.
    pub(super) actions: Box<dyn Fn() -> SubjectActions>,
}
