//! Offers: requests that are sent to an upstream because it has had none for a while.
//!
//! Avoiding an upstream takes its capacity away. The data centre of an upstream therefore
//! keeps it in service: the node that sent it the last request sends the next one when it
//! is due, and the other nodes of the data centre take over if that node does not.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use tokio::time::Instant;

use super::permits::LimitedUse;
use super::{AttemptPurpose, AttemptRequest, ServiceBalancer, UpstreamKey};
use crate::service::choose::ChoiceWidth;
use crate::service::entry::UpstreamEntry;
use crate::service::placement::Placement;

/// An upstream is in service if it gets a request within this time.
pub(in crate::service) const OFFER_WINDOW: Duration = Duration::from_secs(2);
/// Share of the upstreams that the capacity floor allows to be out of service.
const UNOFFERED_SHARE_MAX: f64 = 0.3;
/// Interval between two offers to an upstream: the window less the time until the request
/// arrives.
const OFFER_INTERVAL: Duration = Duration::from_millis(1_800);
/// Interval between two offers by requests that a hedge serves if the offer fails.
const HEDGED_OFFER_INTERVAL: Duration = Duration::from_millis(1_400);
/// Minimum head start of the node that made the last offer.
const TAKEOVER_DELAY_MIN: Duration = Duration::from_millis(300);
/// Usual and longest time until a request of another node is known, for each node of the
/// data centre: the more report their loads, the less often each does.
const LOAD_DELAY_PER_NODE: Duration = Duration::from_millis(4);
const LOAD_DELAY_MAX_PER_NODE: Duration = Duration::from_millis(9);
/// Age of the data centre's load up to which all upstreams are compared by it: less than most
/// requests take. Of older loads, what looks idle is what all nodes have selected meanwhile.
const LOAD_AGE_MAX: Duration = Duration::from_millis(250);
/// How fast the due nodes grow in number, as the requests per second that they have
/// together after one second. About 0.3 s pass until one of them sends a request, whatever
/// their number.
const TAKEOVER_RAMP: f64 = 15.0;
/// How much later nodes of other data centres take over. They learn of an offer from the
/// signal that its attempt gives.
const REMOTE_DELAY: Duration = Duration::from_secs(2);
/// Time between the start of an attempt and its signal.
const SIGNAL_AGE: Duration = Duration::from_secs(1);
/// Maximum share of a node's requests that are offers to suspect upstreams.
const OFFER_SHARE_MAX: f64 = 0.25;
/// Offers to suspect upstreams that a node may make in a row.
const OFFER_CREDIT_MAX: f64 = 3.0;

/// The last request that is known to have been sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub(in crate::service) struct LastOffer {
    at: Instant,
    /// Whether this node sent it.
    by_own_node: bool,
    /// This node's place in the order in which nodes take over, from 0 to 1.
    turn: f64,
}

impl LastOffer {
    /// The start of a new upstream, which has not had a request yet.
    pub(in crate::service) const fn none(now: Instant) -> Self {
        Self {
            at: now,
            by_own_node: false,
            turn: 0.5,
        }
    }

    /// What the nodes go by after a pause: the next offer is due when it ends, and at one node
    /// after the other in the order of their turns, since all of them may have been asked for it.
    pub(in crate::service) fn after_pause(self, until: Instant, turn: f64) -> Self {
        let Some(at) = until.checked_sub(OFFER_INTERVAL) else {
            return self;
        };
        if at <= self.at {
            return self;
        }
        Self {
            at,
            by_own_node: false,
            turn,
        }
    }

    pub(in crate::service) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// The times after which offers are due, for one request.
#[derive(Debug, Clone, Copy)]
struct OfferSchedule {
    /// Interval between two offers to a suspect upstream. That of the others is
    /// `OFFER_INTERVAL`.
    suspect_interval: Duration,
    /// Mean time until this node's next request.
    request_gap: Duration,
    /// Head start of the node that made the last offer.
    takeover_delay: Duration,
    /// Time over which the nodes of this data centre, and of the fleet, take over.
    local_spread: Duration,
    fleet_spread: Duration,
}

impl OfferSchedule {
    /// Time since the last offer after which this node makes the next one; `None` if it
    /// makes none.
    fn due_after(&self, entry: &UpstreamEntry, is_local: bool) -> Option<Duration> {
        let is_suspect = entry.suspicion.is_some();
        let offer = entry.last_offer;
        if !is_local {
            let takeover = self.fleet_spread.mul_f64(offer.turn);
            return is_suspect.then(|| self.suspect_interval + REMOTE_DELAY + takeover);
        }
        let interval = if is_suspect {
            self.suspect_interval
        } else {
            OFFER_INTERVAL
        };
        let due = if offer.by_own_node {
            interval.saturating_sub(self.request_gap.min(interval / 2))
        } else {
            interval + self.takeover_delay + self.local_spread.mul_f64(offer.turn)
        };
        Some(due)
    }
}

impl ServiceBalancer {
    /// Picks an upstream whose offer is due, if this request may be one.
    pub(super) fn pick_due_offer(
        &self,
        now: Instant,
        request: &AttemptRequest,
        limited_use: LimitedUse,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        if request.purpose != AttemptPurpose::First {
            return None;
        }
        let may_try_suspects = self.offer_credit >= 1.0;
        let schedule = self.offer_schedule(now, request);
        let due = self.upstreams.iter().filter(|(_, entry)| {
            let is_local = entry.upstream.data_centre == self.local_data_centre;
            let is_due = || {
                let due_after = schedule.due_after(entry, is_local);
                due_after.is_some_and(|due_after| entry.last_offer.age(now) >= due_after)
            };
            entry.is_eligible()
                && entry.has_free_slot()
                && limited_use.may_select(now, entry)
                && (may_try_suspects || entry.suspicion.is_none())
                && !request.exclude.contains(&entry.upstream.id)
                && is_due()
        });
        // A random one, since after a pause all are due at every node.
        due.choose(rng).map(|(key, _)| key)
    }

    /// Charges an offer, if it is one to a suspect.
    pub(super) fn charge_offer(&mut self, key: UpstreamKey) {
        if self.upstreams[key].suspicion.is_some() {
            self.offer_credit -= 1.0;
        }
    }

    /// Counts a request of this node, a share of which may be offers to suspects.
    pub(super) fn add_offer_credit(&mut self) {
        self.offer_credit = (self.offer_credit + OFFER_SHARE_MAX).min(OFFER_CREDIT_MAX);
    }

    fn offer_schedule(&self, now: Instant, request: &AttemptRequest) -> OfferSchedule {
        let nodes = f64::from(self.fleet_nodes.max(1));
        let fleet_rate = self.late_share.requests_per_second(now);
        let spread = |rate: f64| Duration::from_secs_f64(rate / TAKEOVER_RAMP);
        let gap_seconds =
            (nodes / fleet_rate.max(f64::MIN_POSITIVE)).min(OFFER_INTERVAL.as_secs_f64());
        let is_hedged = request.repeatable && self.budget.can_spend(now);
        OfferSchedule {
            suspect_interval: if is_hedged {
                HEDGED_OFFER_INTERVAL
            } else {
                OFFER_INTERVAL
            },
            request_gap: Duration::from_secs_f64(gap_seconds),
            takeover_delay: TAKEOVER_DELAY_MIN.max(self.load_delay(LOAD_DELAY_MAX_PER_NODE)),
            local_spread: spread(fleet_rate * self.local_node_share),
            fleet_spread: spread(fleet_rate),
        }
    }

    /// How many upstreams to compare by the load of the data centre.
    pub(super) fn shared_load_width(&self) -> ChoiceWidth {
        if self.load_delay(LOAD_DELAY_PER_NODE) <= LOAD_AGE_MAX {
            ChoiceWidth::All
        } else {
            ChoiceWidth::Two
        }
    }

    /// The share of the requests in the last totals that are still in flight; `None` if the totals
    /// are compared as they are.
    pub(super) fn kept_load_share(&self, now: Instant) -> Option<f64> {
        if self.placement == Placement::Hashed || !self.shares_signals() {
            return None;
        }
        let age =
            now.saturating_duration_since(self.loads_at) + self.load_delay(LOAD_DELAY_PER_NODE);
        let latency = self.estimate.median().unwrap_or(LOAD_AGE_MAX);
        let usual_ends = age.as_secs_f64() / latency.as_secs_f64().max(f64::MIN_POSITIVE);
        Some((-usual_ends).exp())
    }

    /// A delay that grows with the nodes of this data centre.
    fn load_delay(&self, per_node: Duration) -> Duration {
        per_node.mul_f64(f64::from(self.fleet_nodes) * self.local_node_share)
    }

    /// Draws this node's place in the order in which the nodes of the data centre return to an
    /// upstream after a pause. A node without others is the first.
    pub(super) fn draw_return_turn(&mut self) -> f64 {
        let nodes = f64::from(self.fleet_nodes) * self.local_node_share;
        self.rng.random::<f64>() * (1.0 - nodes.max(1.0).recip())
    }

    /// Records that this node sends a request to an upstream.
    pub(super) fn record_own_offer(&mut self, now: Instant, key: UpstreamKey) {
        self.upstreams[key].last_offer = LastOffer {
            at: now,
            by_own_node: true,
            turn: 0.0,
        };
    }

    /// Records that an attempt of this node did not reach the upstream, so that another
    /// node makes the next offer.
    pub(super) fn record_missed_offer(&mut self, key: UpstreamKey) {
        let offer = &mut self.upstreams[key].last_offer;
        offer.by_own_node = false;
        offer.turn = 1.0;
    }

    /// Records that another node sent a request to an upstream at `at`.
    pub(super) fn record_other_offer(&mut self, at: Instant, key: UpstreamKey) {
        let turn = self.rng.random();
        let usual_delay = self.load_delay(LOAD_DELAY_PER_NODE);
        let max_delay = self.load_delay(LOAD_DELAY_MAX_PER_NODE);
        let offer = &mut self.upstreams[key].last_offer;
        if at <= offer.at {
            return;
        }
        // Of two nodes that sent requests at the same time, the earlier one learns of the
        // other's later. It makes the next offer, too.
        let was_earlier = (usual_delay..max_delay).contains(&offer.age(at));
        let yields = !(offer.by_own_node && was_earlier);
        if yields {
            *offer = LastOffer {
                at,
                by_own_node: false,
                turn,
            };
        }
    }

    /// Records the offer that a signal from another node results from.
    pub(super) fn record_signalled_offer(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(at) = now.checked_sub(SIGNAL_AGE) {
            self.record_other_offer(at, key);
        }
    }

    /// The eligible upstreams of this node's data centre, and those of them that got no
    /// request within the offer window.
    pub fn count_unoffered(&self, now: Instant) -> OfferCount {
        let mut count = OfferCount::default();
        let local = self
            .upstreams
            .values()
            .filter(|entry| entry.upstream.data_centre == self.local_data_centre);
        for entry in local {
            count.eligible += u32::from(entry.is_eligible());
            count.unoffered += u32::from(entry.is_unoffered(now));
        }
        count
    }
}

/// Upstreams of one service in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OfferCount {
    /// Those that may get requests.
    pub eligible: u32,
    /// Those of them without a request within the offer window.
    pub unoffered: u32,
}

impl OfferCount {
    /// Whether more upstreams are without requests than the capacity floor allows.
    pub fn is_under_floor(self) -> bool {
        f64::from(self.unoffered) > f64::from(self.eligible) * UNOFFERED_SHARE_MAX
    }
}
