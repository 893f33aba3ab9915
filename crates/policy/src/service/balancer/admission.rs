//! Admission: whether an attempt may be sent now, and to which upstream.

use std::sync::Arc;

use model::error;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::permits::LimitedUse;
use super::{
    Admission, AttemptGrant, AttemptPurpose, AttemptRequest, InFlightAttempt, ServiceBalancer,
    UpstreamKey,
};
use crate::invariant;
use crate::permit::LimitVersion;
use crate::retry;
use crate::service::choose::{self, CandidateGroup, ChoiceWidth};
use crate::service::entry::UpstreamStatus;
use crate::service::measure::LoadMeasure;
use crate::service::placement::Placement;

/// Why an upstream is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionReason {
    /// It had no request for a while.
    OfferDue,
    /// It is avoided, and a trial of it is due.
    TrialDue,
    /// It has the least load of those compared in the first group that has room.
    Load(CandidateGroup),
}

/// A selected upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Selection {
    pub(super) key: UpstreamKey,
    pub(super) reason: SelectionReason,
}

impl ServiceBalancer {
    /// Decides whether an attempt may be sent now, and to which upstream.
    pub fn admit(&mut self, now: Instant, request: &AttemptRequest) -> Admission {
        if request.purpose == AttemptPurpose::First {
            self.count_arrival(now, request);
        }
        self.place(now, request, LimitedUse::WithPermit)
    }

    /// Decides again on an attempt that had to wait; it is not counted again.
    pub fn readmit(&mut self, now: Instant, request: &AttemptRequest) -> Admission {
        self.place(now, request, LimitedUse::WithPermit)
    }

    /// Selects an upstream for an attempt that was counted before.
    pub(super) fn place(
        &mut self,
        now: Instant,
        request: &AttemptRequest,
        limited_use: LimitedUse,
    ) -> Admission {
        let Some(key) = self.choose(now, request, limited_use) else {
            return self.wait_or_refuse(now, request, limited_use);
        };
        if self.upstreams[key].known_limit.is_limited() {
            if !(self.is_free(request) || self.budget.covers_retry(now)) {
                return Admission::NoBudget;
            }
            return Admission::PermitNeeded(self.permit_request(now, key, request));
        }
        self.grant_funded(now, key, request, None)
    }

    /// Whether an attempt is not charged to the retry budget when it is admitted.
    fn is_free(&self, request: &AttemptRequest) -> bool {
        request.purpose != AttemptPurpose::Hedge
            || (request.charge == retry::RetryCharge::Trial && !self.shares_signals())
    }

    pub(super) fn grant_funded(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        request: &AttemptRequest,
        permit: Option<LimitVersion>,
    ) -> Admission {
        if !(self.is_free(request) || self.budget.spend(now)) {
            return Admission::NoBudget;
        }
        Admission::Grant(self.grant(now, key, request, permit))
    }

    fn choose(
        &mut self,
        now: Instant,
        request: &AttemptRequest,
        limited_use: LimitedUse,
    ) -> Option<UpstreamKey> {
        if self.shares_signals() {
            self.mark_avoided(now);
        }
        let mut rng = self.rng.clone();
        let selection = self.select(now, request, limited_use, &mut rng);
        self.rng = rng;
        let Selection { key, reason } = selection?;
        match reason {
            SelectionReason::OfferDue => self.charge_offer(key),
            SelectionReason::TrialDue => {
                self.upstreams[key].next_trial_at = now + self.trial_interval;
            }
            SelectionReason::Load(_) => {}
        }
        Some(key)
    }

    /// Selects an upstream, and states why, without any effect but on `rng`.
    pub(super) fn select(
        &self,
        now: Instant,
        request: &AttemptRequest,
        limited_use: LimitedUse,
        rng: &mut SmallRng,
    ) -> Option<Selection> {
        if self.shares_signals()
            && let Some(key) = self.pick_due_offer(now, request, limited_use, rng)
        {
            let reason = SelectionReason::OfferDue;
            return Some(Selection { key, reason });
        }
        let upstreams = self.upstreams.iter();
        let untried = upstreams.filter(|(_, entry)| {
            !request.exclude.contains(&entry.upstream.id) && limited_use.may_select(now, entry)
        });
        let may_be_trial = request.repeatable
            && request.purpose == AttemptPurpose::First
            && !self.shares_signals();
        let trial = may_be_trial
            .then(|| choose::pick_trial(untried.clone(), now))
            .flatten();
        if let Some(key) = trial {
            let reason = SelectionReason::TrialDue;
            return Some(Selection { key, reason });
        }
        // With an assigned subset, requests leave the data centre when it is full. A fixed share of
        // them would leave at any load: 3% in a model in which they then waited 4 ms less.
        let local_share = match self.placement {
            Placement::Hashed => self.local_share,
            Placement::Assigned => 1.0,
        };
        let skips_local = !rand::Rng::random_bool(rng, local_share);
        let explores = skips_local || choose::draw_exploration(request.repeatable, rng);
        let kept_share = self.kept_load_share(now);
        let width = if kept_share.is_some() {
            ChoiceWidth::All
        } else if self.shares_signals() {
            self.shared_load_width()
        } else {
            ChoiceWidth::Two
        };
        // Only with the requests of the whole data centre does a lack of responses say much.
        let usual_latency = self.estimate.median().filter(|_| self.shares_signals());
        let (key, group) = choose::pick(
            &untried,
            &self.local_data_centre,
            explores,
            self.placement,
            width,
            &LoadMeasure {
                now,
                usual_latency,
                kept_share,
            },
            rng,
        )?;
        let reason = SelectionReason::Load(group);
        Some(Selection { key, reason })
    }

    pub(super) fn wait_or_refuse(
        &self,
        now: Instant,
        request: &AttemptRequest,
        limited_use: LimitedUse,
    ) -> Admission {
        let eligible = self.upstreams.values().filter(|entry| entry.is_eligible());
        let untried = || {
            let upstreams = eligible.clone();
            upstreams.filter(|entry| !request.exclude.contains(&entry.upstream.id))
        };
        let may_return = untried().next().is_some() || self.all_pause(now);
        if request.purpose == AttemptPurpose::Hedge || !may_return {
            return Admission::Refuse(error::ErrorKind::NoUpstream);
        }
        if untried().all(|entry| !limited_use.may_select(now, entry)) {
            return Admission::RateLimited(self.selection_wait(now, request));
        }
        Admission::Wait
    }

    fn grant(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        request: &AttemptRequest,
        permit: Option<LimitVersion>,
    ) -> AttemptGrant {
        let overdue_after = self.overdue_after(request);
        self.record_own_offer(now, key);
        let entry = &mut self.upstreams[key];
        let status = entry.status();
        invariant::check(
            invariant::Invariant::DrainRespected,
            status != UpstreamStatus::Draining,
            || format!("upstream {} was selected while draining", entry.upstream.id),
        );
        let in_flight_before = entry.in_flight;
        if entry.in_flight + entry.in_flight_of_other_nodes(now) == 0 {
            entry.progress_at = now;
        }
        entry.in_flight += 1;
        let upstream = Arc::clone(&entry.upstream);
        let attempt = InFlightAttempt {
            upstream: key,
            started: now,
            latency: None,
            counted_overdue: false,
            connection_suspect: false,
            in_flight_before,
            overdue_after,
            permit,
            flow: request.class.as_ref().map(|class| class.flow.clone()),
        };
        if let Some(flow) = &attempt.flow {
            self.flows.enter(now, flow);
        }
        let trial = status == UpstreamStatus::Avoided;
        AttemptGrant {
            attempt: self.attempts.insert(attempt),
            upstream,
            trial,
            overdue_after,
            permit,
        }
    }
}
