//! Our own way: the balancers, the detectors and the ejection record, with the messages between them.

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

use super::subject::{Actions, Flight, Subject};
use super::world::RunPlan;

/// Time of a message within a data centre.
const NEAR: Duration = Duration::from_millis(1);
/// How often balancers and collectors look at the time.
const WORK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a proposal until the record is written and told to every node.
const RECORD_DELAY: Duration = Duration::from_millis(60);
/// How often standing verdicts are told again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// How often quiet sums are exchanged.
const QUIET_EXCHANGE: Duration = Duration::from_secs(2);

enum Message {
    ToCollector(usize, EvidenceReport),
    ToNodes(usize, VerdictChange),
    Estimate(usize, ServiceLatency),
    Propose(usize),
    Record(EjectionRecord),
}

struct Fleet {
    service: Arc<Service>,
    balancers: Vec<ServiceBalancer>,
    detectors: Vec<OutlierDetector>,
    sums: Vec<Option<EvidenceReport>>,
    urgent: Vec<bool>,
    mail: Vec<(Instant, Message)>,
    record: EjectionRecord,
    attempts: HashMap<u64, AttemptKey>,
    count: u64,
    apart: Duration,
    start: Instant,
    worked: Instant,
    refreshed: Instant,
    exchanged: Instant,
    actions: Actions,
    index: BTreeMap<ids::UpstreamId, usize>,
}

/// Builds the subject.
pub(super) fn build(plan: &RunPlan) -> Subject {
    let fleet = Rc::new(RefCell::new(Fleet::new(plan)));
    let (choose, finish, tick) = (Rc::clone(&fleet), Rc::clone(&fleet), Rc::clone(&fleet));
    let (avoids, actions) = (Rc::clone(&fleet), fleet);
    Subject {
        choose: Box::new(move |now, node, repeatable| {
            choose.borrow_mut().choose(now, node, repeatable)
        }),
        finish: Box::new(move |now, node, flight, end| {
            finish.borrow_mut().finish(now, node, flight, end);
        }),
        probe: Box::new(|_, _| {}),
        tick: Box::new(move |now| tick.borrow_mut().tick(now)),
        avoids: Box::new(move |node, upstream| avoids.borrow().avoids(node, upstream)),
        actions: Box::new(move || actions.borrow().actions.clone()),
    }
}

impl Fleet {
    fn new(plan: &RunPlan) -> Self {
        let now = Instant::now();
        let service = plan.service();
        let nodes = plan.deployment.nodes;
        let balancers = (0..nodes).map(|node| {
            let seed = plan.seed ^ (node as u64) << 16;
            let centre = plan.centre_of_node(node);
            let mut balancer = ServiceBalancer::new(now, Arc::clone(&service), centre, seed);
            balancer.set_fleet_size(u32::try_from(nodes).unwrap_or(u32::MAX));
            balancer
        });
        let detectors = (0..3).map(|_| OutlierDetector::new(now, Arc::clone(&service), 3));
        let total: u32 = service.upstreams.iter().map(|up| up.slots.get()).sum();
        let index = service
            .upstreams
            .iter()
            .enumerate()
            .map(|(i, up)| (up.id.clone(), i));
        Self {
            balancers: balancers.collect(),
            detectors: detectors.collect(),
            sums: vec![None, None, None],
            urgent: vec![false; 3],
            mail: Vec::new(),
            record: EjectionRecord::empty(service.id.clone()),
            attempts: HashMap::new(),
            count: 0,
            apart: plan.deployment.apart,
            start: now,
            worked: now,
            refreshed: now,
            exchanged: now,
            actions: Actions {
                least_slots: total,
                ..Actions::default()
            },
            index: index.collect(),
            service,
        }
    }

    fn choose(&mut self, now: Instant, node: usize, repeatable: bool) -> Option<Flight> {
        let request = AttemptRequest {
            request_id: crate::control::parse("request"),
            target_latency: None,
            repeatable,
            exclude: Vec::new(),
            purpose: AttemptPurpose::First,
            charge: RetryCharge::Budget,
        };
        let Admission::Grant(grant) = self.balancers[node].admit(now, &request) else {
            return None;
        };
        self.count += 1;
        self.attempts.insert(self.count, grant.attempt);
        Some(Flight {
            upstream: self.index[&grant.upstream.id],
            ticket: self.count,
        })
    }

    fn finish(&mut self, now: Instant, node: usize, flight: Flight, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.remove(&flight.ticket) {
            self.balancers[node].finish(now, attempt, end);
        }
    }

    fn avoids(&self, node: usize, upstream: usize) -> bool {
        let views = self.balancers[node].views();
        views[&self.service.upstreams[upstream].id].status != UpstreamStatus::Healthy
    }

    fn tick(&mut self, now: Instant) {
        self.deliver(now);
        if now.duration_since(self.worked) < WORK_INTERVAL {
            return;
        }
        self.worked = now;
        for node in 0..self.balancers.len() {
            if let Some(report) = self.balancers[node].tick(now) {
                self.mail
                    .push((now + NEAR, Message::ToCollector(node % 3, report)));
            }
        }
        self.exchange(now);
        for centre in 0..self.detectors.len() {
            let mut changes = self.detectors[centre].decide(now);
            if let Some(estimate) = self.detectors[centre].take_changed_estimate() {
                self.mail
                    .push((now + NEAR, Message::Estimate(centre, estimate)));
            }
            let avoids = changes
                .iter()
                .filter(|change| centre == 0 && change.verdict != Verdict::Clear);
            let avoided = avoids.map(|change| self.index[&change.upstream]);
            self.actions.avoided.extend(avoided);
            if changes
                .iter()
                .any(|change| change.verdict == Verdict::Eject)
            {
                self.mail
                    .push((now + RECORD_DELAY, Message::Propose(centre)));
            }
            if now.duration_since(self.refreshed) >= REFRESH_INTERVAL {
                changes.extend(self.detectors[centre].active_verdicts());
            }
            for change in changes {
                self.mail
                    .push((now + NEAR, Message::ToNodes(centre, change)));
            }
        }
        if now.duration_since(self.refreshed) >= REFRESH_INTERVAL {
            self.refreshed = now;
            self.mail.push((now + RECORD_DELAY, Message::Propose(0)));
        }
    }

    fn exchange(&mut self, now: Instant) {
        let quiet = now.duration_since(self.exchanged) >= QUIET_EXCHANGE;
        if quiet {
            self.exchanged = now;
        }
        for centre in 0..3 {
            if !(quiet || self.urgent[centre]) {
                let waiting = self.sums[centre]
                    .iter_mut()
                    .flat_map(|sum| sum.counts.values_mut());
                waiting.for_each(EvidenceCount::age);
                continue;
            }
            self.urgent[centre] = false;
            let Some(report) = self.sums[centre].take() else {
                continue;
            };
            for other in (0..3).filter(|other| *other != centre) {
                let message = Message::ToCollector(other, report.clone());
                self.mail.push((now + self.apart, message));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.mail = later;
        for (_, message) in due {
            self.take(now, message);
        }
    }

    fn take(&mut self, now: Instant, message: Message) {
        match message {
            Message::ToCollector(centre, report) => self.collect(now, centre, &report),
            Message::ToNodes(centre, change) => {
                for node in (centre..self.balancers.len()).step_by(3) {
                    self.balancers[node].apply_verdict(now, &change.upstream, &change.verdict);
                }
            }
            Message::Estimate(centre, estimate) => {
                for node in (centre..self.balancers.len()).step_by(3) {
                    self.balancers[node].apply_estimate(&estimate);
                }
            }
            Message::Propose(centre) => self.propose(now, centre),
            Message::Record(record) => {
                for balancer in &mut self.balancers {
                    balancer.apply_ejection_record(now, &record);
                }
            }
        }
    }

    fn collect(&mut self, now: Instant, centre: usize, report: &EvidenceReport) {
        let own = self
            .service
            .upstreams
            .iter()
            .enumerate()
            .find_map(|(number, up)| (up.data_centre == report.observer).then_some(number % 3));
        if own == Some(centre) {
            self.urgent[centre] |= report.counts.values().any(|count| count.bad > 0);
            let sum = self.sums[centre].get_or_insert_with(|| EvidenceReport {
                counts: BTreeMap::new(),
                ..report.clone()
            });
            sum.latency_micros = report.latency_micros.or(sum.latency_micros);
            for (id, count) in &report.counts {
                sum.counts.entry(id.clone()).or_default().add(*count);
            }
        }
        self.detectors[centre].observe(now, report);
    }

    /// Works out the next record; here the update always meets the newest version.
    fn propose(&mut self, now: Instant, centre: usize) {
        let detector = &self.detectors[centre];
        let ids: Vec<_> = self
            .service
            .upstreams
            .iter()
            .map(|up| up.id.clone())
            .collect();
        let candidates: Vec<_> = ids
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
            .extend(plan.ejected.iter().map(|id| self.index[id]));
        self.record = plan.record;
        let gone: BTreeSet<_> = self.record.ejected.keys().collect();
        let left = self
            .service
            .upstreams
            .iter()
            .filter(|up| !gone.contains(&up.id));
        let slots = left.map(|up| up.slots.get()).sum();
        self.actions.least_slots = self.actions.least_slots.min(slots);
        self.mail
            .push((now + NEAR, Message::Record(self.record.clone())));
    }
}
