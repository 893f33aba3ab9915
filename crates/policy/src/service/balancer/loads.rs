//! Requests in flight from the other nodes of the data centre.
//!
//! One node has few requests in flight at an upstream. Knowing those of its
//! whole data centre it keeps clear of upstreams that are full, and of those that hang
//! before any request there is overdue.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::ServiceBalancer;
use crate::retry;

/// How long a count holds; while requests are in flight it is told again before.
const LOAD_SPAN: Duration = Duration::from_secs(3);

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
    /// What a node tells its data centre's relay of one service.
    #[derive(Eq)]
    pub struct LoadReport {
        /// Requests in flight, where they changed.
        pub loads: Vec<UpstreamLoad>,
        /// What its requests paid in for repeats.
        pub deposit: Option<retry::RepeatDeposit>,
    }
}

/// What a data centre has in flight at one upstream, this node's own included.
#[derive(Debug, Clone, Copy)]
pub(in crate::service) struct CentreLoad {
    in_flight: u32,
    at: Instant,
}

impl CentreLoad {
    /// Requests in flight besides this node's own, as far as they are known.
    pub(in crate::service) fn elsewhere(self, now: Instant, own: u32) -> u32 {
        if now.saturating_duration_since(self.at) >= LOAD_SPAN {
            return 0;
        }
        self.in_flight.saturating_sub(own)
    }
}

impl ServiceBalancer {
    /// Takes what the data centre has in flight at an upstream.
    pub fn take_centre_load(&mut self, now: Instant, load: &UpstreamLoad) {
        if let Some(key) = self.by_id.get(&load.upstream) {
            self.members[*key].centre_load = Some(CentreLoad {
                in_flight: load.in_flight,
                at: now,
            });
        }
    }

    /// Whether the relay was told another count than the present one, or lacks a deposit.
    pub fn has_untold_load(&self) -> bool {
        let mut members = self.members.values();
        self.shares_doubts()
            && (self.budget.has_untold()
                || members.any(|member| member.in_flight != member.told_in_flight))
    }

    /// What the relay does not know.
    pub fn take_loads(&mut self) -> LoadReport {
        let mut loads = Vec::new();
        for member in self.members.values_mut() {
            if member.in_flight == member.told_in_flight {
                continue;
            }
            member.told_in_flight = member.in_flight;
            loads.push(UpstreamLoad {
                service: self.service.id.clone(),
                upstream: member.upstream.id.clone(),
                in_flight: member.in_flight,
            });
        }
        LoadReport {
            loads,
            deposit: self.take_deposit(),
        }
    }
}
