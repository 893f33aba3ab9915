//! Planned stops: which requests a stopping node still takes, and when it answers the rest.

use std::time::Duration;

use tokio::time::Instant;

/// Time between the last responses and the end of a stop, so that callers receive them.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time from the start of a stop in which requests that usually end in time are taken. By then
/// load balancers have noticed that the node is not ready: they check once a second and skip a
/// node after two failed checks.
const LENIENT_TIME: Duration = Duration::from_millis(2_500);

/// The schedule of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until when requests that usually end in time are taken.
    lenient_until: Instant,
    /// When the node stops accepting connections.
    pub accept_until: Instant,
    /// When requests in flight are answered, whatever became of them.
    pub answer_by: Instant,
    /// When connections that are still open are cut.
    pub end: Instant,
}

impl StopSchedule {
    /// A stop that begins now, accepts connections for `delay` and then waits for requests
    /// in flight until `timeout`.
    pub fn new(now: Instant, delay: Duration, timeout: Duration) -> Self {
        let accept_until = now + delay;
        let end = accept_until + timeout;
        Self {
            lenient_until: accept_until.min(now + LENIENT_TIME),
            accept_until,
            answer_by: end.checked_sub(ANSWER_MARGIN).unwrap_or(now).max(now),
            end,
        }
    }

    /// Whether a request that arrives during the stop may be sent to an upstream: its
    /// deadline passes before the node has to answer it. Otherwise its response could be
    /// lost, while another node can still wait for it.
    ///
    /// Callers may not come back. As long as load balancers may not have noticed the stop, a
    /// request is also taken if one of its service, of which `slow_latency` is known, usually
    /// ends in time.
    pub fn admits(&self, now: Instant, deadline: Instant, slow_latency: Option<Duration>) -> bool {
        let usually_ends = slow_latency.is_some_and(|latency| now + latency <= self.answer_by);
        deadline <= self.answer_by || (now < self.lenient_until && usually_ends)
    }
}
