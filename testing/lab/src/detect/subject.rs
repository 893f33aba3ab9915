//! What is compared: ways to choose an upstream, as closures over their own state.

use policy::retry::AttemptEnd;
use tokio::time::Instant;

/// A request in flight at a subject.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    /// The upstream's place in the service.
    pub(super) upstream: usize,
    /// The subject's own name for the request.
    pub(super) ticket: u64,
}

/// A probe's result.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeOutcome {
    pub(super) node: usize,
    pub(super) upstream: usize,
    pub(super) healthy: bool,
}

/// What a subject did so far.
#[derive(Debug, Clone, Default)]
pub(super) struct Actions {
    /// Upstreams in the order in which they were taken out of service.
    pub(super) ejected: Vec<usize>,
    /// Upstreams in the order in which the first data centre was told to avoid them.
    pub(super) avoided: Vec<usize>,
    /// The least slots that stayed in service at any node.
    pub(super) least_slots: u32,
}

/// One way to choose upstreams over all nodes.
pub(super) struct Subject {
    /// Picks an upstream at a node.
    pub(super) choose: Box<dyn FnMut(Instant, usize, bool) -> Option<Flight>>,
    /// Takes the head of an answer or the end of a request.
    pub(super) finish: Box<dyn FnMut(Instant, usize, Flight, AttemptEnd)>,
    /// Takes a probe's result.
    pub(super) probe: Box<dyn FnMut(Instant, ProbeOutcome)>,
    /// Lets time pass.
    pub(super) tick: Box<dyn FnMut(Instant)>,
    /// Whether a node gives an upstream less than its ordinary share.
    pub(super) avoids: Box<dyn Fn(usize, usize) -> bool>,
    /// Tells what it did.
    pub(super) actions: Box<dyn Fn() -> Actions>,
}
