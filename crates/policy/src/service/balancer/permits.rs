//! Requests to upstreams with a rate limit, each of which needs a permit.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::{Admission, AttemptKey, AttemptRequest, ServiceBalancer, UpstreamKey};
use crate::permit::{
    LimitReport, LimitSignal, LimitState, LimitVersion, Permit, PermitCandidate, PermitDraw,
    PermitRequest,
};
use crate::service::entry::UpstreamEntry;

/// How long a node does not draw permits for upstreams whose owner did not reply.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(250);

/// Whether upstreams with a limit are selected for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitedUse {
    /// Those for which the owner may have a permit.
    WithPermit,
    /// None.
    Skip,
}

impl LimitedUse {
    /// Whether the limit of an upstream, and the pause that it asked for, let it be selected
    /// now.
    pub(in crate::service) fn may_select(self, now: Instant, entry: &UpstreamEntry) -> bool {
        let limit = &entry.known_limit;
        let is_within_limit =
            !limit.is_limited() || (self == Self::WithPermit && now >= limit.permits_at);
        is_within_limit && entry.pause_left(now).is_none()
    }
}

/// The limit of an upstream as this node knows it.
#[derive(Debug, Clone, Copy)]
pub(in crate::service) struct KnownLimit {
    state: LimitState,
    /// Before this time, the owner has no permit.
    permits_at: Instant,
}

impl KnownLimit {
    pub(in crate::service) fn none(now: Instant) -> Self {
        Self::new(now, LimitState::default())
    }

    /// A limit that was known before; the owner may have a permit.
    pub(in crate::service) const fn new(now: Instant, state: LimitState) -> Self {
        Self {
            state,
            permits_at: now,
        }
    }

    /// The limit.
    pub(in crate::service) const fn state(&self) -> LimitState {
        self.state
    }

    /// Whether a request needs a permit.
    pub(in crate::service) const fn is_limited(&self) -> bool {
        self.state.rate.is_some()
    }

    /// Whether a request needs a permit that the owner does not have yet.
    pub(in crate::service) fn awaits_permit(&self, now: Instant) -> bool {
        self.is_limited() && now < self.permits_at
    }
}

impl ServiceBalancer {
    /// Decides again on an attempt for which a permit was drawn.
    pub fn admit_with_draw(
        &mut self,
        now: Instant,
        request: &AttemptRequest,
        draw: &PermitDraw,
    ) -> Admission {
        self.apply_draw(now, draw);
        let permitted = draw
            .valid_permit(now)
            .and_then(|permit| self.find_permitted(now, request, permit));
        match permitted {
            Some((key, version)) => self.grant_funded(now, key, request, Some(version)),
            None if draw.is_last => self.place(now, request, LimitedUse::Skip),
            None => self.place(now, request, LimitedUse::WithPermit),
        }
    }

    fn apply_draw(&mut self, now: Instant, draw: &PermitDraw) {
        for (index, candidate) in draw.request.candidates.iter().enumerate() {
            let Some(key) = self.by_id.get(&candidate.upstream) else {
                continue;
            };
            let known = &mut self.upstreams[*key].known_limit;
            let outlook = draw
                .reply
                .as_ref()
                .and_then(|reply| reply.outlooks.get(index));
            match outlook {
                Some(outlook) => {
                    known.state.update(outlook.state);
                    known.permits_at = now + outlook.wait();
                }
                None => known.permits_at = now + NO_REPLY_PAUSE,
            }
        }
    }

    /// The upstream of a permit, if the request may still be sent there.
    fn find_permitted(
        &self,
        now: Instant,
        request: &AttemptRequest,
        permit: &Permit,
    ) -> Option<(UpstreamKey, LimitVersion)> {
        let key = self.by_id.get(&permit.upstream).copied()?;
        let entry = &self.upstreams[key];
        let may_send = entry.is_eligible()
            && entry.pause_left(now).is_none()
            && (entry.has_room() || entry.has_free_slot())
            && !request.exclude.contains(&entry.upstream.id);
        may_send.then_some((key, permit.version))
    }

    /// The draw of a permit for an upstream, or for another one like it.
    pub(super) fn permit_request(
        &self,
        now: Instant,
        key: UpstreamKey,
        request: &AttemptRequest,
    ) -> PermitRequest {
        let selected = &self.upstreams[key];
        let is_like_selected = |entry: &UpstreamEntry| {
            entry.known_limit.is_limited()
                && !entry.known_limit.awaits_permit(now)
                && entry.upstream.data_centre == selected.upstream.data_centre
                && entry.status() == selected.status()
                && entry.has_room()
                && entry.pause_left(now).is_none()
                && !request.exclude.contains(&entry.upstream.id)
        };
        let upstreams = self.upstreams.iter();
        let alike = upstreams
            .filter(|(other, entry)| *other == key || is_like_selected(entry))
            .map(|(_, entry)| entry);
        PermitRequest {
            service: self.service.id.clone(),
            data_centre: selected.upstream.data_centre.clone(),
            candidates: alike
                .map(|entry| PermitCandidate {
                    upstream: entry.upstream.id.clone(),
                    state: entry.known_limit.state,
                })
                .collect(),
        }
    }

    /// Whether all upstreams that could serve asked for a pause, and there is one.
    pub(super) fn all_pause(&self, now: Instant) -> bool {
        let eligible = self.upstreams.values().filter(|entry| entry.is_eligible());
        let mut pauses = eligible.map(|entry| entry.pause_left(now)).peekable();
        pauses.peek().is_some() && pauses.all(|pause| pause.is_some())
    }

    /// Time until a permit may be available or a pause ends. Upstreams that were tried count,
    /// too, since a caller that comes back sends a new request.
    pub(super) fn selection_wait(&self, now: Instant, request: &AttemptRequest) -> Duration {
        let eligible = self.upstreams.values().filter(|entry| entry.is_eligible());
        let waits = eligible.filter_map(|entry| {
            let permit_wait = entry
                .known_limit
                .awaits_permit(now)
                .then(|| entry.known_limit.permits_at.saturating_duration_since(now));
            let was_tried = request.exclude.contains(&entry.upstream.id);
            let wait = permit_wait.max(entry.pause_left(now));
            wait.or(was_tried.then_some(Duration::ZERO))
        });
        waits.min().unwrap_or_default()
    }

    /// Applies the limit that the owner announced.
    pub fn apply_limit(&mut self, upstream: &ids::UpstreamId, state: LimitState) {
        if let Some(key) = self.by_id.get(upstream) {
            self.upstreams[*key].known_limit.state.update(state);
        }
    }

    /// Records what the head of a response states about the limit of its upstream; returns
    /// the report for the owner if that differs from what this node knows.
    pub fn record_limit_signal(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        signal: LimitSignal,
    ) -> Option<LimitReport> {
        let attempt = self.attempts.get(attempt)?;
        let entry = self.upstreams.get_mut(attempt.upstream)?;
        let known = &mut entry.known_limit;
        let is_news = match signal {
            LimitSignal::Unknown => false,
            LimitSignal::Absent => known.is_limited() && attempt.permit.is_some(),
            LimitSignal::Named(rate) => known.state.rate != Some(rate),
        };
        if !is_news {
            return None;
        }
        if let (LimitSignal::Named(rate), None) = (signal, known.state.rate) {
            known.state.rate = Some(rate);
            known.permits_at = now;
        }
        Some(LimitReport {
            service: self.service.id.clone(),
            data_centre: entry.upstream.data_centre.clone(),
            upstream: entry.upstream.id.clone(),
            signal,
            permit: attempt.permit,
            known: known.state.version,
        })
    }
}
