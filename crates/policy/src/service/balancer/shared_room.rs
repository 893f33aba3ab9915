//! The share of a service's capacity that one node may use while callers have workspaces.
//!
//! The limit on one upstream alone would never make a node queue: the requests of all nodes
//! would wait at the upstreams, which serve them in order of arrival and shed the rest.

use std::time::Duration;

use tokio::time::Instant;

use super::{Admission, AttemptRequest, ServiceBalancer};
use crate::limit;
use crate::service::entry::{UpstreamEntry, UpstreamStatus};
use crate::service::balancer::permits::LimitedUse;

/// Requests in flight that the nodes of a data centre allow for each slot. Beyond one, requests
/// wait at upstreams, which keeps slots busy although the nodes know each other's load late and
/// load the upstreams unevenly.
const REQUESTS_PER_SLOT: f64 = 1.5;

impl ServiceBalancer {
    /// Counts the arrival of a request.
    pub(in crate::service) fn count_arrival(&mut self, now: Instant) {
        self.budget.deposit();
        self.late_share
            .count_request(now, f64::from(self.fleet_nodes));
        self.add_offer_credit();
    }

    /// Decides on an attempt whose arrival was counted, if this node has a share of the capacity
    /// left for it.
    pub(in crate::service) fn place_in_share(
        &mut self,
        now: Instant,
        request: &AttemptRequest,
    ) -> Admission {
        if !self.has_shared_room(now) {
            return self.wait_or_refuse(now, request, LimitedUse::WithPermit);
        }
        self.place(now, request, LimitedUse::WithPermit)
    }

    /// Whether this node may send one more request: it has fewer in flight than its part of the
    /// data centre's share, or the nodes of the data centre together have fewer than the whole
    /// share. The part needs no knowledge of other nodes, so that a node whose news of them is
    /// late or missing neither starves nor takes more.
    fn has_shared_room(&self, now: Instant) -> bool {
        let (local, all) = self.usable_slots(now);
        let share = local.max(all * self.local_node_share) * REQUESTS_PER_SLOT;
        if share <= 0.0 {
            return true;
        }
        let local_nodes = (f64::from(self.fleet_nodes) * self.local_node_share).max(1.0);
        let own = f64::from(u32::try_from(self.in_flight()).unwrap_or(u32::MAX));
        let own_part = (share / local_nodes).max(1.0);
        own + 1.0 <= own_part || self.data_centre_in_flight(now) + 1.0 <= share
    }

    /// Slots of the upstreams that take requests: of those in this data centre, and of all.
    fn usable_slots(&self, now: Instant) -> (f64, f64) {
        let is_usable = |entry: &&UpstreamEntry| {
            entry.status() == UpstreamStatus::Healthy && entry.pause_left(now).is_none()
        };
        let (mut local, mut all) = (0.0, 0.0);
        for entry in self.upstreams.values().filter(is_usable) {
            let slots = f64::from(entry.upstream.slots.get());
            all += slots;
            if entry.upstream.data_centre == self.local_data_centre {
                local += slots;
            }
        }
        (local, all)
    }

    fn data_centre_in_flight(&self, now: Instant) -> f64 {
        let counts = self.upstreams.values().map(|entry| {
            let of_others = entry.in_flight_of_other_nodes(now);
            f64::from(entry.in_flight) + f64::from(of_others)
        });
        counts.sum()
    }

    /// Requests in service from this node, by flow.
    pub const fn flows(&self) -> &limit::FlowCounter {
        &self.flows
    }

    /// Time until a waiter gets its turn that has `ahead` others before it; `None` while this
    /// node has seen no attempt end.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        let ends = ahead.saturating_add(1);
        self.service_rate.time_to_end(ends, self.in_flight())
    }
}
