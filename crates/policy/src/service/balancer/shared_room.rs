//! Room in the capacity of a service that the nodes of a data centre share.
//!
//! The limit on one upstream alone would never make a node queue: the requests of all nodes
//! would wait at the upstreams, which serve them in order of arrival and shed the rest. The
//! load totals of the data centre tell each node how much is in flight. The lower the claim of a
//! request, the lower the total up to which it is sent, so that a node needs no news of the
//! requests that wait elsewhere to leave room for them.

use std::time::Duration;

use tokio::time::Instant;

use super::{Admission, AttemptRequest, ServiceBalancer};
use crate::limit;
use crate::service::balancer::permits::LimitedUse;
use crate::service::entry::{UpstreamEntry, UpstreamStatus};

/// Requests in flight of a data centre, for each slot, up to which flows with excessive use get
/// room. With 1.5, one hot workspace took more from the others; with less, more slots idle while
/// it waits, since the totals are late and the nodes load the upstreams unevenly.
const EXCESS_REQUESTS_PER_SLOT: f64 = 1.3;
/// The same for other flows at the highest priority. What exceeds one waits at the upstreams.
/// With 2, a hot flow got a third less in simulation, and the others gained hardly anything.
const REQUESTS_PER_SLOT: f64 = 3.0;

/// The capacity that the nodes of a data centre share, and the requests that they have in flight
/// there.
#[derive(Debug, Clone, Copy)]
struct SharedLoad {
    /// Slots in the data centre, or its share of all slots if that is more.
    slots: f64,
    in_flight: f64,
}

impl ServiceBalancer {
    /// Counts the arrival of a request.
    pub(in crate::service) fn count_arrival(&mut self, now: Instant, request: &AttemptRequest) {
        if let Some(class) = &request.class {
            self.flows.arrive(now, &class.flow);
        }
        self.budget.deposit();
        self.demand.count(now);
        self.late_share
            .count_request(now, f64::from(self.fleet_nodes));
        self.add_offer_credit();
    }

    /// Decides on an attempt whose arrival was counted; it waits if it finds no room in the
    /// capacity that the nodes share.
    pub(in crate::service) fn place_in_share(
        &mut self,
        now: Instant,
        request: &AttemptRequest,
    ) -> Admission {
        if !self.has_shared_room(now, request) {
            return self.wait_or_refuse(now, request, LimitedUse::WithPermit);
        }
        self.place(now, request, LimitedUse::WithPermit)
    }

    /// Whether the capacity of the data centre has room for one more request of this flow and
    /// priority.
    pub(super) fn has_shared_room(&self, now: Instant, request: &AttemptRequest) -> bool {
        let Some(class) = &request.class else {
            return true;
        };
        let is_excessive = self.flows.is_excessive(now, &class.flow);
        let load = self.shared_load(now);
        // A node with nothing in flight has no other way to learn that there is room again.
        if load.slots <= 0.0 || (self.attempts.is_empty() && !is_excessive) {
            return true;
        }
        let per_slot = if is_excessive {
            EXCESS_REQUESTS_PER_SLOT
        } else {
            let span = REQUESTS_PER_SLOT - EXCESS_REQUESTS_PER_SLOT;
            EXCESS_REQUESTS_PER_SLOT + span / (f64::from(class.priority) + 1.0)
        };
        // The share of a small data centre in remote slots may be less than one.
        load.in_flight + 1.0 <= f64::max(load.slots * per_slot, 1.0)
    }

    /// Sums up the upstreams that take requests.
    fn shared_load(&self, now: Instant) -> SharedLoad {
        let is_usable = |entry: &&UpstreamEntry| {
            entry.status() == UpstreamStatus::Healthy && entry.pause_left(now).is_none()
        };
        let (mut local_slots, mut slots, mut in_flight) = (0.0, 0.0, 0.0);
        for entry in self.upstreams.values().filter(is_usable) {
            let own_slots = f64::from(entry.upstream.slots.get());
            slots += own_slots;
            if entry.upstream.data_centre == self.local_data_centre {
                local_slots += own_slots;
            }
            let there = entry.in_flight + entry.in_flight_of_other_nodes(now);
            // Requests that an upstream holds beyond this number say that it hangs, and nothing
            // of the others.
            in_flight += f64::from(there).min(own_slots * REQUESTS_PER_SLOT);
        }
        SharedLoad {
            slots: f64::max(local_slots, slots * self.local_node_share),
            in_flight,
        }
    }

    /// What each flow uses.
    pub const fn flows(&self) -> &limit::FlowTable {
        &self.flows
    }

    /// Time until a waiter gets its turn that has `ahead` others before it; `None` while this
    /// node has seen no attempt end.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        let ends = ahead.saturating_add(1);
        self.service_rate.time_to_end(ends, self.in_flight())
    }
}
