//! The fleet itself as a subject: the production balancers, the detectors of the collectors
//! and the ejection record, with simulated messages between them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::clock::UnixMillis;
use model::config::Service;
use model::{ids, sizes};
use policy::detection::{
    EvidenceCount, EvidenceReport, OutlierDetector, ServiceLatency, Verdict, VerdictChange,
};
use policy::ejection::{EjectionPlan, EjectionRecord, PlanInput};
use policy::retry::{AttemptEnd, RetryCharge};
use policy::service::{
    Admission, AttemptKey, AttemptPurpose, AttemptRequest, ServiceBalancer, UpstreamStatus,
};
use tokio::time::Instant;

use super::simulation::RunPlan;
use super::subject::{InFlightRequest, Subject, SubjectActions};

/// One-way network latency within a data centre.
const LOCAL_LATENCY: Duration = Duration::from_millis(1);
/// Interval at which balancers report evidence and collectors evaluate it.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a proposal until the ejection record is written and published.
const RECORD_DELAY: Duration = Duration::from_millis(60);
/// How often verdicts other than clear are published again, and ejections reviewed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which sums without a failure are sent to the collectors of other data
/// centres. Sums with a failure are sent at the next tick.
const SUCCESS_EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// A message in transit; the index is that of the data centre concerned.
enum FleetMessage {
    /// Evidence for the collector of a data centre.
    Evidence(usize, EvidenceReport),
    /// A verdict for the nodes of a data centre.
    Verdict(usize, VerdictChange),
    /// A latency estimate for the nodes of a data centre.
    Estimate(usize, ServiceLatency),
    /// The collector of a data centre proposes ejections.
    Propose(usize),
    /// The new ejection record, for every node.
    Record(EjectionRecord),
}

/// All nodes and collectors of the fleet. Data centres are numbered, and node `n` is in
/// data centre `n % 3`.
struct SimulatedFleet {
    service: Arc<Service>,
    balancers: Vec<ServiceBalancer>,
    /// One for the collector of each data centre.
    detectors: Vec<OutlierDetector>,
    /// Evidence of each data centre that waits for the exchange with the others.
    sums: Vec<Option<EvidenceReport>>,
    /// Whether the waiting sum of each data centre contains a failure.
    urgent: Vec<bool>,
    /// Messages in transit, with their time of arrival.
    messages: Vec<(Instant, FleetMessage)>,
    record: EjectionRecord,
    attempts: HashMap<u64, AttemptKey>,
    attempt_count: u64,
    /// One-way network latency between two data centres.
    remote_latency: Duration,
    start: Instant,
    last_tick: Instant,
    last_refresh: Instant,
    last_exchange: Instant,
    actions: SubjectActions,
    /// Index of each upstream in the service.
    upstream_indexes: BTreeMap<ids::UpstreamId, usize>,
}

/// Builds a fleet and wraps it as a subject.
pub(super) fn build(plan: &RunPlan) -> Subject {
    let fleet = Rc::new(RefCell::new(SimulatedFleet::new(plan)));
    let (select, finish, tick) = (Rc::clone(&fleet), Rc::clone(&fleet), Rc::clone(&fleet));
    let (is_avoided, actions) = (Rc::clone(&fleet), fleet);
    Subject {
        select: Box::new(move |now, node, repeatable| {
            select.borrow_mut().select(now, node, repeatable)
        }),
        finish: Box::new(move |now, node, request, end| {
            finish.borrow_mut().finish(now, node, request, end);
        }),
        probe: Box::new(|_, _| {}),
        tick: Box::new(move |now| tick.borrow_mut().tick(now)),
        is_avoided: Box::new(move |node, upstream| is_avoided.borrow().is_avoided(node, upstream)),
        actions: Box::new(move || actions.borrow().actions.clone()),
    }
}

impl SimulatedFleet {
    fn new(plan: &RunPlan) -> Self {
        let now = Instant::now();
        let service = plan.service();
        let nodes = plan.deployment.nodes;
        let balancers = (0..nodes).map(|node| {
            let seed = plan.seed ^ (node as u64) << 16;
            let data_centre = plan.data_centre_of(node);
            let mut balancer = ServiceBalancer::new(now, Arc::clone(&service), data_centre, seed);
            balancer.set_fleet_size(u32::try_from(nodes).unwrap_or(u32::MAX));
            balancer
        });
        let detectors = (0..3).map(|_| OutlierDetector::new(now, Arc::clone(&service), 3));
        let total_slots: u32 = service.upstreams.iter().map(|up| up.slots.get()).sum();
        let upstream_indexes = service
            .upstreams
            .iter()
            .enumerate()
            .map(|(i, up)| (up.id.clone(), i));
        Self {
            balancers: balancers.collect(),
            detectors: detectors.collect(),
            sums: vec![None, None, None],
            urgent: vec![false; 3],
            messages: Vec::new(),
            record: EjectionRecord::empty(service.id.clone()),
            attempts: HashMap::new(),
            attempt_count: 0,
            remote_latency: plan.deployment.remote_latency,
            start: now,
            last_tick: now,
            last_refresh: now,
            last_exchange: now,
            actions: SubjectActions {
                slots_min: total_slots,
                ..SubjectActions::default()
            },
            upstream_indexes: upstream_indexes.collect(),
            service,
        }
    }

    fn select(&mut self, now: Instant, node: usize, repeatable: bool) -> Option<InFlightRequest> {
        let request = AttemptRequest {
            request_id: crate::control::parse_id("request"),
            target_latency: None,
            class: None,
            repeatable,
            exclude: Vec::new(),
            purpose: AttemptPurpose::First,
            charge: RetryCharge::Budget,
        };
        let Admission::Grant(grant) = self.balancers[node].admit(now, &request) else {
            return None;
        };
        self.attempt_count += 1;
        self.attempts.insert(self.attempt_count, grant.attempt);
        Some(InFlightRequest {
            upstream: self.upstream_indexes[&grant.upstream.id],
            request_number: self.attempt_count,
        })
    }

    fn finish(&mut self, now: Instant, node: usize, request: InFlightRequest, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.remove(&request.request_number) {
            self.balancers[node].finish(now, attempt, end);
        }
    }

    fn is_avoided(&self, node: usize, upstream: usize) -> bool {
        let views = self.balancers[node].views(Instant::now());
        views[&self.service.upstreams[upstream].id].status != UpstreamStatus::Healthy
    }

    fn tick(&mut self, now: Instant) {
        self.deliver(now);
        if now.duration_since(self.last_tick) < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        for node in 0..self.balancers.len() {
            if let Some(report) = self.balancers[node].tick(now) {
                self.messages.push((
                    now + LOCAL_LATENCY,
                    FleetMessage::Evidence(node % 3, report),
                ));
            }
        }
        self.exchange(now);
        for data_centre in 0..self.detectors.len() {
            let mut changes = self.detectors[data_centre].decide(now);
            if let Some(estimate) = self.detectors[data_centre].take_changed_estimate() {
                self.messages.push((
                    now + LOCAL_LATENCY,
                    FleetMessage::Estimate(data_centre, estimate),
                ));
            }
            let avoid_changes = changes
                .iter()
                .filter(|change| data_centre == 0 && change.verdict != Verdict::Clear);
            let avoided = avoid_changes.map(|change| self.upstream_indexes[&change.upstream]);
            self.actions.avoided.extend(avoided);
            if changes
                .iter()
                .any(|change| change.verdict == Verdict::Eject)
            {
                self.messages
                    .push((now + RECORD_DELAY, FleetMessage::Propose(data_centre)));
            }
            if now.duration_since(self.last_refresh) >= REFRESH_INTERVAL {
                changes.extend(self.detectors[data_centre].active_verdicts());
            }
            for change in changes {
                self.messages.push((
                    now + LOCAL_LATENCY,
                    FleetMessage::Verdict(data_centre, change),
                ));
            }
        }
        if now.duration_since(self.last_refresh) >= REFRESH_INTERVAL {
            self.last_refresh = now;
            self.messages
                .push((now + RECORD_DELAY, FleetMessage::Propose(0)));
        }
    }

    /// Sends the sums that are due to the collectors of the other data centres.
    fn exchange(&mut self, now: Instant) {
        let all_due = now.duration_since(self.last_exchange) >= SUCCESS_EXCHANGE_INTERVAL;
        if all_due {
            self.last_exchange = now;
        }
        for data_centre in 0..3 {
            if !(all_due || self.urgent[data_centre]) {
                let waiting = self.sums[data_centre]
                    .iter_mut()
                    .flat_map(|sum| sum.counts.values_mut());
                waiting.for_each(EvidenceCount::age);
                continue;
            }
            self.urgent[data_centre] = false;
            let Some(report) = self.sums[data_centre].take() else {
                continue;
            };
            for other in (0..3).filter(|other| *other != data_centre) {
                let message = FleetMessage::Evidence(other, report.clone());
                self.messages.push((now + self.remote_latency, message));
            }
        }
    }

    /// Handles the messages whose time of arrival has come.
    fn deliver(&mut self, now: Instant) {
        let (due, in_transit): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = in_transit;
        for (_, message) in due {
            self.handle_message(now, message);
        }
    }

    fn handle_message(&mut self, now: Instant, message: FleetMessage) {
        match message {
            FleetMessage::Evidence(data_centre, report) => {
                self.collect_evidence(now, data_centre, &report);
            }
            FleetMessage::Verdict(data_centre, change) => {
                for node in (data_centre..self.balancers.len()).step_by(3) {
                    self.balancers[node].apply_verdict(now, &change.upstream, &change.verdict);
                }
            }
            FleetMessage::Estimate(data_centre, estimate) => {
                for node in (data_centre..self.balancers.len()).step_by(3) {
                    self.balancers[node].apply_estimate(&estimate);
                }
            }
            FleetMessage::Propose(data_centre) => self.propose(now, data_centre),
            FleetMessage::Record(record) => {
                for balancer in &mut self.balancers {
                    balancer.apply_ejection_record(now, &record);
                }
            }
        }
    }

    fn collect_evidence(&mut self, now: Instant, data_centre: usize, report: &EvidenceReport) {
        let reporting_centre = self
            .service
            .upstreams
            .iter()
            .enumerate()
            .find_map(|(number, up)| (up.data_centre == report.observer).then_some(number % 3));
        if reporting_centre == Some(data_centre) {
            self.urgent[data_centre] |= report.counts.values().any(|count| count.bad > 0);
            let sum = self.sums[data_centre].get_or_insert_with(|| EvidenceReport {
                counts: BTreeMap::new(),
                ..report.clone()
            });
            sum.latency_micros = report.latency_micros.or(sum.latency_micros);
            for (id, count) in &report.counts {
                sum.counts.entry(id.clone()).or_default().add(*count);
            }
        }
        self.detectors[data_centre].observe(now, report);
    }

    /// Computes and writes the next ejection record. Unlike on the real platform, the write
    /// never conflicts with another one.
    fn propose(&mut self, now: Instant, data_centre: usize) {
        let detector = &self.detectors[data_centre];
        let upstream_ids: Vec<_> = self
            .service
            .upstreams
            .iter()
            .map(|up| up.id.clone())
            .collect();
        let candidates: Vec<_> = upstream_ids
            .iter()
            .filter(|id| detector.verdict(id) == Verdict::Eject)
            .cloned()
            .collect();
        let millis = u64::try_from((now - self.start).as_millis()).unwrap_or(u64::MAX);
        let plan = EjectionPlan::compute(
            &self.record,
            &PlanInput {
                service: &self.service,
                generation: sizes::Generation::new(1),
                now: UnixMillis::new(millis + 1),
                candidates: &candidates,
                recently_healthy: &|id| detector.is_recently_healthy(now, id),
                score: &|id| detector.score(id),
            },
        );
        if !plan.needs_write() {
            return;
        }
        for id in &plan.reinstated {
            for detector in &mut self.detectors {
                detector.reinstate(now, id);
            }
        }
        self.actions
            .ejected
            .extend(plan.ejected.iter().map(|id| self.upstream_indexes[id]));
        self.record = plan.record;
        let ejected: BTreeSet<_> = self.record.ejected.keys().collect();
        let in_service = self
            .service
            .upstreams
            .iter()
            .filter(|up| !ejected.contains(&up.id));
        let slots = in_service.map(|up| up.slots.get()).sum();
        self.actions.slots_min = self.actions.slots_min.min(slots);
        self.messages.push((
            now + LOCAL_LATENCY,
            FleetMessage::Record(self.record.clone()),
        ));
    }
}
