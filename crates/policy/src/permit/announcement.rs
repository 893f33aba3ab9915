//! When the owner announces a limit to the other nodes.

use std::time::Duration;

use tokio::time::Instant;

use super::LimitState;

/// Minimum interval between two announcements of changes of one upstream, so that a limit
/// that comes and goes does not flood the fleet.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an announcement is repeated once, since datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Factor by which a rate must change to be announced again. Nodes need it only if they
/// become the owner.
const RATE_FACTOR: f64 = 2.0;

/// The announcements of one upstream.
#[derive(Debug, Default)]
pub(super) struct LimitAnnouncement {
    last: Option<(Instant, LimitState)>,
    repeat_due: bool,
}

impl LimitAnnouncement {
    /// When `state` is to be announced next; `None` if the nodes know it.
    pub(super) fn due_at(&self, now: Instant, state: LimitState) -> Option<Instant> {
        let Some((at, announced)) = self.last else {
            return Some(now);
        };
        if differs(announced, state) {
            Some(at + CHANGE_INTERVAL)
        } else {
            self.repeat_due.then(|| at + REPEAT_DELAY)
        }
    }

    pub(super) fn record(&mut self, now: Instant, state: LimitState) {
        let is_change = self
            .last
            .is_none_or(|(_, announced)| differs(announced, state));
        self.repeat_due = is_change;
        self.last = Some((now, state));
    }
}

fn differs(announced: LimitState, state: LimitState) -> bool {
    match (announced.rate, state.rate) {
        (Some(before), Some(after)) => {
            let (low, high) = (before.min(after), before.get().max(after.get()));
            high > low.get() * RATE_FACTOR
        }
        (before, after) => before.is_some() != after.is_some(),
    }
}
