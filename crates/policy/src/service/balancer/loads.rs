//! Requests in flight from the other nodes of the data centre.
//!
//! One node has few requests in flight at an upstream. With the counts of its whole
//! data centre it avoids upstreams that are full, and upstreams that hang, before any
//! request there is overdue.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::ServiceBalancer;
use crate::retry;
use crate::service::entry::UpstreamEntry;

/// Reports that contain a changed number, since reports may be lost.
const REPORTS_PER_CHANGE: u32 = 2;
/// How long a count is valid.
const LOAD_TTL: Duration = Duration::from_secs(3);

model::record! {
    /// Requests of one node in flight at an upstream.
    #[derive(Eq)]
    pub struct UpstreamLoad {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

model::record! {
    /// What a node reports to its data centre's snapshot relay about one service.
    #[derive(Eq)]
    pub struct LoadReport {
        /// Requests in flight, for the upstreams where the number changed.
        pub loads: Vec<UpstreamLoad>,
        /// The deposit of the node's requests into the retry pool.
        pub deposit: Option<retry::RetryDeposit>,
    }
}

/// Requests of the other nodes of a data centre in flight at one upstream.
#[derive(Debug, Clone, Copy)]
pub(in crate::service) struct DataCentreLoad {
    in_flight: u32,
    at: Instant,
}

impl DataCentreLoad {
    /// Requests in flight from the other nodes; an expired count is zero.
    pub(in crate::service) fn of_other_nodes(self, now: Instant) -> u32 {
        if now.saturating_duration_since(self.at) >= LOAD_TTL {
            return 0;
        }
        self.in_flight
    }
}

impl ServiceBalancer {
    /// Applies the number of requests of the data centre in flight at an upstream.
    pub fn apply_data_centre_load(&mut self, now: Instant, load: &UpstreamLoad) {
        let Some(key) = self.by_id.get(&load.upstream).copied() else {
            return;
        };
        let entry = &mut self.upstreams[key];
        let before = entry.in_flight_of_other_nodes(now);
        // The sum contains what this node had reported by now. A later report is not in it.
        entry.data_centre_load = Some(DataCentreLoad {
            in_flight: load.in_flight.saturating_sub(entry.reported_in_flight),
            at: now,
        });
        self.loads_at = now;
        let after = entry.in_flight_of_other_nodes(now);
        if after < before || (before == 0 && entry.in_flight == 0) {
            entry.progress_at = now;
        }
        if after > before {
            self.record_other_offer(now, key);
        }
    }

    /// Whether a count or a deposit changed since the last report to the snapshot relay.
    pub fn has_unreported_load(&self) -> bool {
        let mut upstreams = self.upstreams.values();
        self.shares_signals()
            && (self.budget.has_unreported() || upstreams.any(UpstreamEntry::has_unreported_load))
    }

    /// Returns the report of all changes since the last one, and repeats those of the last
    /// one.
    pub fn take_load_report(&mut self) -> LoadReport {
        let mut loads = Vec::new();
        for entry in self.upstreams.values_mut() {
            if !entry.has_unreported_load() {
                continue;
            }
            if entry.in_flight != entry.reported_in_flight {
                entry.reports_due = REPORTS_PER_CHANGE;
            }
            entry.reports_due -= 1;
            entry.reported_in_flight = entry.in_flight;
            loads.push(UpstreamLoad {
                service: self.service.id.clone(),
                upstream: entry.upstream.id.clone(),
                in_flight: entry.in_flight,
            });
        }
        LoadReport {
            loads,
            deposit: self.take_deposit(),
        }
    }
}
