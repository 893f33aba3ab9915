//! Outlier detection for one service: which upstreams to avoid and which to eject.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{config, ids};
use tokio::time::Instant;

use super::estimate::LatencyEstimate;
use super::evidence::{EvidenceReport, ServiceLatency};
use super::sequential::DetectionThresholds;
use super::upstream_evidence::{UpstreamEvidence, before};
use super::window::OutcomeWindow;

/// Failure share of the other upstreams from which the service counts as failing as a whole.
const SERVICE_FAILURE_SHARE: f64 = 0.3;
/// Outcomes of the other upstreams needed to compare an upstream with them.
const COMPARISON_OUTCOMES_MIN: u32 = 3;
/// Limit on the outcomes of one upstream that count in a comparison, since an
/// upstream that fails immediately receives more requests than the others.
const COMPARISON_WEIGHT_MAX: u32 = 4;
/// Length of the recent window that is compared in addition to the time since the
/// onset: a service that fails as a whole shows in it immediately.
const COMPARISON_RECENT_WINDOW: Duration = Duration::from_millis(1500);
/// How long a comparison waits for [`COMPARISON_OUTCOMES_MIN`].
const COMPARISON_TIMEOUT: Duration = Duration::from_secs(2);
/// A median is published again once it differs from the published one by more
/// than the published one divided by this.
const ESTIMATE_CHANGE_DIVISOR: u32 = 5;
/// How long an upstream is avoided before its ejection is proposed: avoiding it
/// suffices at first, and the other upstreams may turn out to fail as well.
const EJECTION_DELAY: Duration = Duration::from_secs(2);
/// How long an upstream is avoided at least; doubles with each flap.
const AVOID_DURATION_MIN: Duration = Duration::from_secs(2);
/// Limit on the avoidance time of a flapping upstream.
const AVOID_DURATION_MAX: Duration = Duration::from_mins(5);
/// Time since the start of the previous avoidance after which the flap count restarts.
const FLAP_RESET_AFTER: Duration = Duration::from_mins(10);
/// Limit on the doublings caused by flapping.
const FLAP_DOUBLINGS_MAX: u32 = 8;

model::record! {
    /// Which nodes avoid an upstream.
    #[derive(Eq)]
    pub enum VerdictScope {
        /// Every node.
        Fleet,
        /// Only the nodes of these data centres, since the fault is in their link to it.
        DataCentres(BTreeSet<ids::DataCentreId>),
    }

    /// The detector's conclusion about an upstream.
    #[derive(Eq)]
    pub enum Verdict {
        /// Healthy.
        Clear,
        /// The nodes in the scope select it last.
        Avoid(VerdictScope),
        /// Ejection is proposed; every node avoids the upstream until it is accepted.
        Eject,
    }

    /// A verdict that differs from the previous one.
    #[derive(Eq)]
    pub struct VerdictChange {
        /// The service of the upstream.
        pub service: ids::ServiceId,
        /// The upstream that was evaluated.
        pub upstream: ids::UpstreamId,
        /// The new verdict.
        pub verdict: Verdict,
    }
}

#[derive(Debug)]
struct UpstreamRecord {
    evidence: UpstreamEvidence,
    data_centre: ids::DataCentreId,
    verdict: Verdict,
    /// When the verdict last changed from or to `Clear`, or probation started.
    verdict_since: Instant,
    /// When the verdict last changed from `Clear` to another one.
    last_avoided: Option<Instant>,
    /// Number of avoidances in a row that each started within [`FLAP_RESET_AFTER`] of the
    /// start of the previous one.
    flaps: u32,
}

/// Compares the upstreams of one service with each other and keeps a verdict on each.
#[derive(Debug)]
pub struct OutlierDetector {
    service: Arc<config::Service>,
    thresholds: DetectionThresholds,
    observers: usize,
    records: BTreeMap<ids::UpstreamId, UpstreamRecord>,
    estimate: LatencyEstimate,
    /// The median latency last published, in microseconds; 0 before the first.
    published_micros: u32,
}

impl OutlierDetector {
    /// A detector without evidence; `observers` is the number of data centres with nodes.
    pub fn new(now: Instant, service: Arc<config::Service>, observers: usize) -> Self {
        let thresholds = DetectionThresholds::for_profile(service.profile);
        let mut detector = Self {
            service,
            thresholds,
            observers,
            records: BTreeMap::new(),
            estimate: LatencyEstimate::default(),
            published_micros: 0,
        };
        detector.sync_records(now);
        detector
    }

    /// Applies new settings of the service; evidence on its remaining upstreams is kept.
    pub fn configure(&mut self, now: Instant, service: Arc<config::Service>, observers: usize) {
        self.thresholds = DetectionThresholds::for_profile(service.profile);
        self.service = service;
        self.observers = observers;
        self.sync_records(now);
    }

    fn sync_records(&mut self, now: Instant) {
        let upstreams = &self.service.upstreams;
        self.records
            .retain(|id, _| upstreams.iter().any(|up| up.id == *id));
        for up in upstreams {
            self.records
                .entry(up.id.clone())
                .or_insert_with(|| UpstreamRecord {
                    evidence: UpstreamEvidence::new(now, self.thresholds),
                    data_centre: up.data_centre.clone(),
                    verdict: Verdict::Clear,
                    verdict_since: now,
                    last_avoided: None,
                    flaps: 0,
                });
        }
    }

    /// Adds the counts reported by one data centre.
    pub fn observe(&mut self, now: Instant, report: &EvidenceReport) {
        if let Some(micros) = report.latency_micros {
            self.estimate
                .observe(Duration::from_micros(u64::from(micros)));
        }
        for (id, count) in &report.counts {
            let base = self.failure_share(now, id, before(now, OutcomeWindow::SPAN));
            let Some(record) = self.records.get_mut(id) else {
                continue;
            };
            record
                .evidence
                .observe(now, &report.observer, *count, base.unwrap_or(0.0));
        }
    }

    /// Evaluates every upstream and returns the verdicts that changed.
    pub fn decide(&mut self, now: Instant) -> Vec<VerdictChange> {
        let ids: Vec<_> = self.records.keys().cloned().collect();
        let mut changes = Vec::new();
        for id in ids {
            let Some(verdict) = self.evaluate(now, &id) else {
                continue;
            };
            if let Some(record) = self.records.get_mut(&id) {
                record.change(now, &verdict);
            }
            let service = self.service.id.clone();
            changes.push(VerdictChange {
                service,
                upstream: id,
                verdict,
            });
        }
        changes
    }

    /// The median latency, if it differs enough from the published one; marks it as published.
    pub fn take_changed_estimate(&mut self) -> Option<ServiceLatency> {
        let median = self.estimate.median()?;
        let micros = u32::try_from(median.as_micros()).unwrap_or(u32::MAX);
        let change_max = self.published_micros / ESTIMATE_CHANGE_DIVISOR;
        if micros.abs_diff(self.published_micros) <= change_max {
            return None;
        }
        self.published_micros = micros;
        self.estimate()
    }

    /// The median latency last published; `None` before the first.
    pub fn estimate(&self) -> Option<ServiceLatency> {
        let service = self.service.id.clone();
        let latency = ServiceLatency {
            service,
            median_micros: self.published_micros,
        };
        (self.published_micros > 0).then_some(latency)
    }

    /// Puts an upstream whose ejection ended on probation: it stays avoided until
    /// trial requests succeed.
    pub fn reinstate(&mut self, now: Instant, upstream: &ids::UpstreamId) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.evidence.set_scores(self.thresholds.avoid);
            record.verdict = Verdict::Avoid(VerdictScope::Fleet);
            record.verdict_since = now;
        }
    }

    /// The current verdict; `Clear` for an unknown upstream.
    pub fn verdict(&self, upstream: &ids::UpstreamId) -> Verdict {
        self.records
            .get(upstream)
            .map_or(Verdict::Clear, |record| record.verdict.clone())
    }

    /// Every verdict other than `Clear`, sent again for nodes that missed it.
    pub fn active_verdicts(&self) -> Vec<VerdictChange> {
        let failing = self
            .records
            .iter()
            .filter(|(_, record)| record.verdict != Verdict::Clear);
        let verdicts = failing.map(|(id, record)| VerdictChange {
            service: self.service.id.clone(),
            upstream: id.clone(),
            verdict: record.verdict.clone(),
        });
        verdicts.collect()
    }

    /// Whether an upstream had more good than bad outcomes within [`OutcomeWindow::SPAN`].
    pub fn is_recently_healthy(&self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let from = before(now, OutcomeWindow::SPAN);
        let record = self.records.get(upstream);
        record.is_some_and(|record| {
            let (good, bad) = record.evidence.window.since(now, from);
            good > bad
        })
    }

    /// The pooled failure score, by which upstreams are ranked; higher is worse.
    pub fn score(&self, upstream: &ids::UpstreamId) -> f64 {
        self.records
            .get(upstream)
            .map_or(0.0, |record| record.evidence.pooled.score())
    }

    fn evaluate(&self, now: Instant, id: &ids::UpstreamId) -> Option<Verdict> {
        let record = self.records.get(id)?;
        let verdict = match record.verdict {
            Verdict::Clear => self.evaluate_clear(now, id, record),
            Verdict::Avoid(_) | Verdict::Eject => self.evaluate_failing(now, id, record),
        };
        (verdict != record.verdict).then_some(verdict)
    }

    fn evaluate_clear(
        &self,
        now: Instant,
        id: &ids::UpstreamId,
        record: &UpstreamRecord,
    ) -> Verdict {
        let Some(scope) = self.avoid_scope(now, record) else {
            return Verdict::Clear;
        };
        if self.is_service_failing(now, id, record) {
            return Verdict::Clear;
        }
        Verdict::Avoid(scope)
    }

    fn evaluate_failing(
        &self,
        now: Instant,
        id: &ids::UpstreamId,
        record: &UpstreamRecord,
    ) -> Verdict {
        let avoided_long_enough =
            now.saturating_duration_since(record.verdict_since) >= record.avoid_duration();
        let recovered = record.evidence.pooled.score() <= 0.0
            && record
                .evidence
                .failing_observers(f64::MIN_POSITIVE)
                .is_empty();
        if avoided_long_enough && recovered {
            return Verdict::Clear;
        }
        let keeps_verdict =
            record.verdict == Verdict::Eject || self.is_service_failing(now, id, record);
        if keeps_verdict {
            return record.verdict.clone();
        }
        let Some(scope) = self.avoid_scope(now, record) else {
            return record.verdict.clone();
        };
        if scope == VerdictScope::Fleet && self.is_ejectable(now, record) {
            return Verdict::Eject;
        }
        Verdict::Avoid(scope)
    }

    /// Which nodes should avoid the upstream, by the data centres that see it fail and
    /// those that still reach it.
    fn avoid_scope(&self, now: Instant, record: &UpstreamRecord) -> Option<VerdictScope> {
        let failing_observers = record.evidence.failing_observers(self.thresholds.avoid);
        let reachable_elsewhere = record.evidence.reachable_elsewhere(now, &failing_observers);
        if failing_observers.is_empty() {
            let pooled = record.evidence.pooled.score() >= self.thresholds.avoid;
            return (pooled && !reachable_elsewhere).then_some(VerdictScope::Fleet);
        }
        let beyond_one_link =
            failing_observers.contains(&record.data_centre) || failing_observers.len() > 1;
        if beyond_one_link && !reachable_elsewhere {
            return Some(VerdictScope::Fleet);
        }
        Some(VerdictScope::DataCentres(
            failing_observers.into_iter().collect(),
        ))
    }

    fn is_ejectable(&self, now: Instant, record: &UpstreamRecord) -> bool {
        if now.saturating_duration_since(record.verdict_since) < EJECTION_DELAY {
            return false;
        }
        let over_threshold = record.evidence.pooled.score() >= self.thresholds.eject;
        let required = self.observers.clamp(1, 2);
        over_threshold && record.evidence.confirming_observers(now) >= required
    }

    /// Whether the other upstreams fail as well since this one's onset.
    ///
    /// Also true while too few of their outcomes are known, up to [`COMPARISON_TIMEOUT`].
    fn is_service_failing(
        &self,
        now: Instant,
        id: &ids::UpstreamId,
        record: &UpstreamRecord,
    ) -> bool {
        let from = record.evidence.onset;
        let counts = self
            .others(id)
            .map(|other| other.evidence.window.since(now, from));
        let outcomes: u32 = counts.map(|(good, bad)| good + bad).sum();
        let waiting = now.saturating_duration_since(from) < COMPARISON_TIMEOUT;
        if outcomes < COMPARISON_OUTCOMES_MIN && waiting && self.others(id).next().is_some() {
            return true;
        }
        // An isolated failure long ago may have set the onset, so a recent window is
        // compared as well.
        let recent = from.max(before(now, COMPARISON_RECENT_WINDOW));
        [from, recent].into_iter().any(|from| {
            let share = self.failure_share(now, id, from);
            share.unwrap_or(0.0) >= SERVICE_FAILURE_SHARE
        })
    }

    /// The other upstreams that take part in comparisons: those not proposed for ejection.
    fn others<'a>(&'a self, id: &'a ids::UpstreamId) -> impl Iterator<Item = &'a UpstreamRecord> {
        let others = self
            .records
            .iter()
            .filter(move |(other, record)| *other != id && record.is_comparable());
        others.map(|(_, record)| record)
    }

    /// The median failure share of the other upstreams, weighted by their outcomes.
    fn failure_share(&self, now: Instant, id: &ids::UpstreamId, from: Instant) -> Option<f64> {
        let mut shares: Vec<(f64, u32)> = self
            .others(id)
            .map(|record| record.evidence.window.since(now, from))
            .filter(|(good, bad)| good + bad > 0)
            .map(|(good, bad)| {
                let share = f64::from(bad) / f64::from(good + bad);
                (share, (good + bad).min(COMPARISON_WEIGHT_MAX))
            })
            .collect();
        shares.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: u32 = shares.iter().map(|(_, weight)| weight).sum();
        let mut sum = 0;
        shares.into_iter().find_map(|(share, weight)| {
            sum += weight;
            (sum * 2 >= total).then_some(share)
        })
    }
}

impl UpstreamRecord {
    fn is_comparable(&self) -> bool {
        !matches!(self.verdict, Verdict::Eject)
    }

    fn avoid_duration(&self) -> Duration {
        let doublings = self.flaps.min(FLAP_DOUBLINGS_MAX);
        AVOID_DURATION_MIN
            .saturating_mul(1 << doublings)
            .min(AVOID_DURATION_MAX)
    }

    fn change(&mut self, now: Instant, verdict: &Verdict) {
        let leaves_clear = self.verdict == Verdict::Clear;
        if leaves_clear {
            let flapped = self
                .last_avoided
                .is_some_and(|at| now.duration_since(at) < FLAP_RESET_AFTER);
            self.flaps = if flapped { self.flaps + 1 } else { 0 };
            self.last_avoided = Some(now);
        }
        if leaves_clear || *verdict == Verdict::Clear {
            self.verdict_since = now;
        }
        self.verdict = verdict.clone();
    }
}
