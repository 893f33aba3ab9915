//! Where a request would go now, and why, without any effect.

use model::{error, ids};
use tokio::time::Instant;

use super::admission::{Selection, SelectionReason};
use super::permits::LimitedUse;
use super::{Admission, AttemptRequest, ServiceBalancer};
use crate::service::choose::{self, CandidateGroup};
use crate::service::entry::UpstreamView;

/// What the balancer would decide on a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreviewDecision {
    /// It would be sent to this upstream; with a permit, if the upstream has a rate limit.
    Send {
        /// The upstream.
        upstream: ids::UpstreamId,
        /// Why it would be selected.
        reason: SelectionReason,
    },
    /// It would wait for room.
    Wait,
    /// Every upstream has reached its rate limit or asked for a pause.
    RateLimited,
    /// It would be rejected.
    Reject(error::ErrorKind),
}

/// An upstream as a candidate for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateView {
    /// Its state at this node.
    pub view: UpstreamView,
    /// Requests in flight from the other nodes of the data centre.
    pub in_flight_of_other_nodes: u32,
    /// Whether this node may send it one more request.
    pub has_room: bool,
    /// The first group that it belongs to; `None` if it gets no requests.
    pub group: Option<CandidateGroup>,
}

/// A decision with what it rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPreview {
    /// The decision. Upstreams are compared at random, so it may differ once another request
    /// was decided on.
    pub decision: PreviewDecision,
    /// All upstreams, in order of preference.
    pub candidates: Vec<CandidateView>,
}

impl ServiceBalancer {
    /// What the balancer would decide on a request now. The decision is made on a copy.
    pub fn preview(&self, now: Instant, request: &AttemptRequest) -> RequestPreview {
        let mut copy = self.clone();
        copy.count_arrival(now, request);
        if copy.shares_signals() {
            copy.mark_avoided(now);
        }
        RequestPreview {
            decision: copy.preview_decision(now, request),
            candidates: copy.candidates(now),
        }
    }

    fn preview_decision(&self, now: Instant, request: &AttemptRequest) -> PreviewDecision {
        let limited_use = LimitedUse::WithPermit;
        let selection = if self.has_shared_room(now, request) {
            self.select(now, request, limited_use, &mut self.rng.clone())
        } else {
            None
        };
        if let Some(Selection { key, reason }) = selection {
            let upstream = self.upstreams[key].upstream.id.clone();
            return PreviewDecision::Send { upstream, reason };
        }
        match self.wait_or_refuse(now, request, limited_use) {
            Admission::Refuse(kind) => PreviewDecision::Reject(kind),
            Admission::RateLimited(_) => PreviewDecision::RateLimited,
            _ => PreviewDecision::Wait,
        }
    }

    fn candidates(&self, now: Instant) -> Vec<CandidateView> {
        let tiers = choose::tiers(self.placement, false);
        let candidates = self.upstreams.values().map(|entry| {
            let mut ranked = tiers.clone().enumerate();
            let tier =
                ranked.find(|(_, group)| group.contains(entry, &self.local_data_centre, now));
            let is_local = entry.upstream.data_centre == self.local_data_centre;
            let candidate = CandidateView {
                view: entry.view(now, is_local),
                in_flight_of_other_nodes: entry.in_flight_of_other_nodes(now),
                has_room: entry.has_room(),
                group: tier.map(|(_, group)| group),
            };
            (tier.map_or(usize::MAX, |(place, _)| place), candidate)
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|(a_place, a), (b_place, b)| {
            (a_place, &a.view.upstream).cmp(&(b_place, &b.view.upstream))
        });
        candidates.into_iter().map(|(_, view)| view).collect()
    }
}
