//! The detector of one service: which upstreams to avoid and which to eject.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{config, ids};
use tokio::time::Instant;

use super::estimate::LatencyEstimate;
use super::evidence::{EvidenceReport, ServiceLatency};
use super::sequential::TestCosts;
use super::upstream_evidence::{UpstreamEvidence, earlier};
use super::window::OutcomeWindow;

/// Failure share of the other upstreams at which a service fails as a whole.
const SERVICE_FAILING_SHARE: f64 = 0.3;
/// Outcomes of the other upstreams that a comparison wants.
const COMPARE_OUTCOMES: u32 = 3;
/// The most outcomes of one upstream that a comparison counts, since an upstream
/// that fails at once gets more requests than the others.
const COMPARE_WEIGHT_MAX: u32 = 4;
/// The newest past, in which a service that fails as a whole shows at once.
const COMPARE_NEWEST: Duration = Duration::from_millis(1500);
/// How long a comparison waits for them.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// The part of the median by which it must change to be told again.
const ESTIMATE_CHANGE_DIVISOR: u32 = 5;
/// How long an upstream is avoided before its ejection is proposed: avoiding is
/// enough for the moment, and the others may turn out to fail as well.
const EJECT_DWELL: Duration = Duration::from_secs(2);
/// How long an upstream is avoided at least.
const AVOID_SPAN_MIN: Duration = Duration::from_secs(2);
/// The longest time that flapping adds to.
const AVOID_SPAN_MAX: Duration = Duration::from_mins(5);
/// Quiet time after which earlier flapping is forgotten.
const FLAP_MEMORY: Duration = Duration::from_mins(10);
/// The most doublings that flapping can cause.
const FLAP_DOUBLINGS_MAX: u32 = 8;

model::record! {
    /// Who is to avoid an upstream.
    #[derive(Eq)]
    pub enum VerdictScope {
        /// Every node.
        Fleet,
        /// Only nodes of these data centres: their link is at fault.
        DataCentres(BTreeSet<ids::DataCentreId>),
    }

    /// What the evidence says of an upstream.
    #[derive(Eq)]
    pub enum Verdict {
        /// It is sound.
        Clear,
        /// It goes last in the choice.
        Avoid(VerdictScope),
        /// Its ejection is proposed; until it is accepted every node avoids it.
        Eject,
    }

    /// A verdict that differs from the one before.
    #[derive(Eq)]
    pub struct VerdictChange {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// The new verdict.
        pub verdict: Verdict,
    }
}

#[derive(Debug)]
struct UpstreamRecord {
    evidence: UpstreamEvidence,
    home: ids::DataCentreId,
    verdict: Verdict,
    since: Instant,
    avoided: Option<Instant>,
    flaps: u32,
}

/// Compares the upstreams of one service with each other.
#[derive(Debug)]
pub struct OutlierDetector {
    service: Arc<config::Service>,
    costs: TestCosts,
    observers: usize,
    records: BTreeMap<ids::UpstreamId, UpstreamRecord>,
    estimate: LatencyEstimate,
    /// The median last told, in microseconds.
    told_micros: u32,
}

impl OutlierDetector {
    /// A detector without evidence; `observers` data centres hold nodes.
    pub fn new(now: Instant, service: Arc<config::Service>, observers: usize) -> Self {
        let costs = TestCosts::of(service.profile);
        let mut detector = Self {
            service,
            costs,
            observers,
            records: BTreeMap::new(),
            estimate: LatencyEstimate::default(),
            told_micros: 0,
        };
        detector.sync_records(now);
        detector
    }

    /// Takes new settings of the service; what is known of its upstreams stays.
    pub fn configure(&mut self, now: Instant, service: Arc<config::Service>, observers: usize) {
        self.costs = TestCosts::of(service.profile);
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
                    evidence: UpstreamEvidence::new(now, self.costs),
                    home: up.data_centre.clone(),
                    verdict: Verdict::Clear,
                    since: now,
                    avoided: None,
                    flaps: 0,
                });
        }
    }

    /// Takes the counts of one data centre.
    pub fn observe(&mut self, now: Instant, report: &EvidenceReport) {
        if let Some(micros) = report.latency_micros {
            self.estimate
                .observe(Duration::from_micros(u64::from(micros)));
        }
        for (id, count) in &report.counts {
            let base = self.failure_share(now, id, earlier(now, OutcomeWindow::SPAN));
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

    /// The usual latency, when it differs much from what was told last.
    pub fn take_estimate(&mut self) -> Option<ServiceLatency> {
        let median = self.estimate.median()?;
        let micros = u32::try_from(median.as_micros()).unwrap_or(u32::MAX);
        let near = micros.abs_diff(self.told_micros) <= self.told_micros / ESTIMATE_CHANGE_DIVISOR;
        if near {
            return None;
        }
        self.told_micros = micros;
        self.estimate()
    }

    /// The usual latency as told last.
    pub fn estimate(&self) -> Option<ServiceLatency> {
        let service = self.service.id.clone();
        let told = ServiceLatency {
            service,
            median_micros: self.told_micros,
        };
        (self.told_micros > 0).then_some(told)
    }

    /// Starts the probation of an upstream that was ejected: it must prove itself in trials.
    pub fn reinstate(&mut self, now: Instant, upstream: &ids::UpstreamId) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.evidence.set_scores(self.costs.avoid);
            record.verdict = Verdict::Avoid(VerdictScope::Fleet);
            record.since = now;
        }
    }

    /// The verdict in force.
    pub fn verdict(&self, upstream: &ids::UpstreamId) -> Verdict {
        self.records
            .get(upstream)
            .map_or(Verdict::Clear, |record| record.verdict.clone())
    }

    /// Every verdict other than clear, to be told again to nodes that missed it.
    pub fn standing(&self) -> Vec<VerdictChange> {
        let failing = self
            .records
            .iter()
            .filter(|(_, record)| record.verdict != Verdict::Clear);
        let told = failing.map(|(id, record)| VerdictChange {
            service: self.service.id.clone(),
            upstream: id.clone(),
            verdict: record.verdict.clone(),
        });
        told.collect()
    }

    /// Whether an upstream answered well of late.
    pub fn is_proven(&self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let from = earlier(now, OutcomeWindow::SPAN);
        let record = self.records.get(upstream);
        record.is_some_and(|record| {
            let (good, bad) = record.evidence.window.since(now, from);
            good > bad
        })
    }

    /// How bad an upstream looks, to compare ejected upstreams with each other.
    pub fn score(&self, upstream: &ids::UpstreamId) -> f64 {
        self.records
            .get(upstream)
            .map_or(0.0, |record| record.evidence.pooled.score())
    }

    fn evaluate(&self, now: Instant, id: &ids::UpstreamId) -> Option<Verdict> {
        let record = self.records.get(id)?;
        let verdict = match record.verdict {
            Verdict::Clear => self.check_clear(now, id, record),
            Verdict::Avoid(_) | Verdict::Eject => self.review(now, id, record),
        };
        (verdict != record.verdict).then_some(verdict)
    }

    fn check_clear(&self, now: Instant, id: &ids::UpstreamId, record: &UpstreamRecord) -> Verdict {
        let Some(scope) = self.scope(now, record) else {
            return Verdict::Clear;
        };
        if self.service_failing(now, id, record) {
            return Verdict::Clear;
        }
        Verdict::Avoid(scope)
    }

    fn review(&self, now: Instant, id: &ids::UpstreamId, record: &UpstreamRecord) -> Verdict {
        let held = now.saturating_duration_since(record.since) >= record.hold();
        let quiet = record.evidence.pooled.score() <= 0.0
            && record
                .evidence
                .failing_observers(f64::MIN_POSITIVE)
                .is_empty();
        if held && quiet {
            return Verdict::Clear;
        }
        let stands = record.verdict == Verdict::Eject || self.service_failing(now, id, record);
        if stands {
            return record.verdict.clone();
        }
        let Some(scope) = self.scope(now, record) else {
            return record.verdict.clone();
        };
        if scope == VerdictScope::Fleet && self.ejectable(now, record) {
            return Verdict::Eject;
        }
        Verdict::Avoid(scope)
    }

    /// Who should avoid the upstream, decided by who sees it fail and who sees it work.
    fn scope(&self, now: Instant, record: &UpstreamRecord) -> Option<VerdictScope> {
        let failing_observers = record.evidence.failing_observers(self.costs.avoid);
        let reachable_elsewhere = record.evidence.reachable_elsewhere(now, &failing_observers);
        if failing_observers.is_empty() {
            let pooled = record.evidence.pooled.score() >= self.costs.avoid;
            return (pooled && !reachable_elsewhere).then_some(VerdictScope::Fleet);
        }
        let near_home = failing_observers.contains(&record.home) || failing_observers.len() > 1;
        if near_home && !reachable_elsewhere {
            return Some(VerdictScope::Fleet);
        }
        Some(VerdictScope::DataCentres(
            failing_observers.into_iter().collect(),
        ))
    }

    fn ejectable(&self, now: Instant, record: &UpstreamRecord) -> bool {
        if now.saturating_duration_since(record.since) < EJECT_DWELL {
            return false;
        }
        let sure = record.evidence.pooled.score() >= self.costs.eject;
        let wanted = self.observers.clamp(1, 2);
        sure && record.evidence.confirming_observers(now) >= wanted
    }

    /// Whether the other upstreams fail as well, since this one began to.
    fn service_failing(&self, now: Instant, id: &ids::UpstreamId, record: &UpstreamRecord) -> bool {
        let from = record.evidence.onset;
        let seen = self
            .others(id)
            .map(|other| other.evidence.window.since(now, from));
        let outcomes: u32 = seen.map(|(good, bad)| good + bad).sum();
        let early = now.saturating_duration_since(from) < COMPARE_TIMEOUT;
        if outcomes < COMPARE_OUTCOMES && early && self.others(id).next().is_some() {
            return true;
        }
        // A lone failure long before may have been the onset, so the newest past counts too.
        let newest = from.max(earlier(now, COMPARE_NEWEST));
        [from, newest].into_iter().any(|from| {
            let share = self.failure_share(now, id, from);
            share.unwrap_or(0.0) >= SERVICE_FAILING_SHARE
        })
    }

    fn others<'a>(&'a self, id: &'a ids::UpstreamId) -> impl Iterator<Item = &'a UpstreamRecord> {
        let others = self
            .records
            .iter()
            .filter(move |(other, record)| *other != id && record.in_service());
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
                (share, (good + bad).min(COMPARE_WEIGHT_MAX))
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
    fn in_service(&self) -> bool {
        !matches!(self.verdict, Verdict::Eject)
    }

    fn hold(&self) -> Duration {
        let doublings = self.flaps.min(FLAP_DOUBLINGS_MAX);
        AVOID_SPAN_MIN
            .saturating_mul(1 << doublings)
            .min(AVOID_SPAN_MAX)
    }

    fn change(&mut self, now: Instant, verdict: &Verdict) {
        let leaves_clear = self.verdict == Verdict::Clear;
        if leaves_clear {
            let again = self
                .avoided
                .is_some_and(|at| now.duration_since(at) < FLAP_MEMORY);
            self.flaps = if again { self.flaps + 1 } else { 0 };
            self.avoided = Some(now);
        }
        if leaves_clear || *verdict == Verdict::Clear {
            self.since = now;
        }
        self.verdict = verdict.clone();
    }
}
