//! The load by which upstreams are compared.

use std::time::Duration;

use tokio::time::Instant;

use super::entry::UpstreamEntry;

/// Weight of a node's own requests, which it knows exactly, against those of other nodes. With
/// less, all nodes select the upstream that the last totals show as idle.
const OWN_WEIGHT: f64 = 2.0;
/// Requests that a new connection counts for.
const CONNECTION_WEIGHT: f64 = 1.0;
/// Time for which a connection that completed an exchange is used again by any request.
const CONNECTION_REUSE_TIME: Duration = Duration::from_secs(1);

/// How loads are compared at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadMeasure {
    pub(super) now: Instant,
    /// The usual latency, if a lack of responses counts as load.
    pub(super) usual_latency: Option<Duration>,
    /// Of the requests in the last totals, the share that is still in flight; `None` if the
    /// totals are compared as they are.
    pub(super) kept_share: Option<f64>,
}

impl LoadMeasure {
    /// The requests of other nodes per slot, over a group of upstreams.
    pub(super) fn mean_of_others<'a>(
        &self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
    ) -> f64 {
        let (mut requests, mut slots) = (0, 0);
        for entry in entries {
            requests += entry.in_flight_of_other_nodes(self.now);
            slots += entry.upstream.slots.get();
        }
        f64::from(requests) / f64::from(slots.max(1))
    }

    /// Load per slot of an upstream in a group with this mean. The lowest value is preferred.
    ///
    /// The requests of the last totals that have ended since were replaced by others that are not
    /// known; these are taken to be spread evenly.
    pub(super) fn load(&self, entry: &UpstreamEntry, mean_of_others: f64) -> f64 {
        let own = f64::from(entry.in_flight);
        let others = f64::from(entry.in_flight_of_other_nodes(self.now));
        let requests = match self.kept_share {
            None => own + others,
            Some(kept_share) => {
                let slots = f64::from(entry.upstream.slots.get());
                let expected = others * kept_share + mean_of_others * slots * (1.0 - kept_share);
                let connection = if entry.has_idle_connection(self.now, CONNECTION_REUSE_TIME) {
                    0.0
                } else {
                    CONNECTION_WEIGHT
                };
                expected + OWN_WEIGHT * own + connection
            }
        };
        entry.load_per_slot(self.now, requests, self.usual_latency)
    }
}
