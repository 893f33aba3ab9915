//! The task that forwards evidence and evaluates the services for which this node collects.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{clock, ids};
use platform::PlatformClient;
use policy::detection::{
    EvidenceCount, EvidenceReport, OutlierDetector, ServiceLatency, Verdict, VerdictChange,
};
use policy::membership::{Member, MemberTable};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

use super::assignment::CollectorAssignment;
use super::proposal::EjectionProposal;
use crate::follow::{ConfigFollower, FleetSnapshot};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeRequest, VersionedRecord};

/// How often evidence is forwarded and evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which sums without a failure are sent to the collectors of other data
/// centres. Sums with a failure are sent at the next tick.
const SUCCESS_EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// How often verdicts other than clear, and latencies, are published again for nodes that
/// missed them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// How often services with ejections or candidates are checked for a proposal.
const REVIEW_INTERVAL: Duration = Duration::from_secs(2);
/// How much longer each data centre waits before it proposes an ejection than the data
/// centre before it in the order of the service.
const RANK_DELAY: Duration = Duration::from_secs(2);
/// Timeout for the acknowledgement of a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Reports queued for the task. When the queue is full, further ones are dropped, since
/// evidence is soft state that may be lost.
const COMMANDS_MAX: usize = 4096;

/// An update that a collector publishes in its data centre.
#[derive(Debug, Clone)]
pub enum CollectorUpdate {
    /// A verdict on an upstream.
    Verdict(VerdictChange),
    /// The median latency of a service.
    Latency(ServiceLatency),
}

/// Called with updates for this node's own services.
pub type UpdateSink = Arc<dyn Fn(CollectorUpdate) + Send + Sync>;

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct Collector {
    commands: mpsc::Sender<CollectorCommand>,
}

#[derive(Debug)]
enum CollectorCommand {
    /// Evidence of this node.
    Local(EvidenceReport),
    /// Evidence that other nodes sent.
    Remote(Vec<EvidenceReport>),
}

/// What the task depends on.
pub(crate) struct CollectorParts {
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerSet,
    pub(crate) members: MemberSet,
    pub(crate) follower: ConfigFollower,
    pub(crate) on_update: UpdateSink,
    pub(crate) clock: clock::WallClock,
}

impl Collector {
    pub(crate) fn start(parts: CollectorParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let snapshots = parts.follower.watch();
        let now = Instant::now();
        let assignment = CollectorAssignment::compute(
            now,
            parts.members.table(),
            &parts.follower.snapshot().config,
        );
        let task = CollectorTask {
            parts,
            assignment,
            detectors: BTreeMap::new(),
            outbox: BTreeMap::new(),
            sums: BTreeMap::new(),
            urgent: BTreeSet::new(),
            last_exchange: now,
            last_refresh: now,
            last_review: now,
            candidate_since: BTreeMap::new(),
            records: Arc::new(BTreeMap::new()),
        };
        tokio::spawn(task.run(inbox, snapshots));
        Self { commands }
    }

    /// Reports evidence of this node; drops it when the queue is full.
    pub fn report(&self, report: EvidenceReport) {
        if self
            .commands
            .try_send(CollectorCommand::Local(report))
            .is_err()
        {
            log::warn!(target: "collector", "Dropped a report: the queue is full.");
        }
    }

    /// Receives evidence that other nodes sent; drops it when the queue is full.
    pub fn receive(&self, reports: Vec<EvidenceReport>) {
        let _ = self.commands.try_send(CollectorCommand::Remote(reports));
    }
}

/// Counts of one service since the last exchange.
#[derive(Default)]
struct ServiceSum {
    counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
    latency_micros: Option<u32>,
}

struct CollectorTask {
    parts: CollectorParts,
    assignment: CollectorAssignment,
    detectors: BTreeMap<ids::ServiceId, OutlierDetector>,
    /// Reports to send to the collectors in this data centre at the next tick.
    outbox: BTreeMap<ids::NodeId, Vec<EvidenceReport>>,
    /// Counts to send to the collectors of the other data centres.
    sums: BTreeMap<ids::ServiceId, ServiceSum>,
    /// Services with a failure since the last tick.
    urgent: BTreeSet<ids::ServiceId>,
    last_exchange: Instant,
    last_refresh: Instant,
    last_review: Instant,
    /// Since when the verdict on each upstream has been to eject it.
    candidate_since: BTreeMap<ids::UpstreamId, Instant>,
    records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>>,
}

impl CollectorTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<CollectorCommand>,
        mut snapshots: watch::Receiver<FleetSnapshot>,
    ) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(CollectorCommand::Local(report)) => self.forward(report),
                    Some(CollectorCommand::Remote(reports)) => {
                        for report in reports {
                            self.collect(&report);
                        }
                    }
                    None => return,
                },
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let snapshot = snapshots.borrow_and_update().clone();
                    self.apply_snapshot(&snapshot);
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Forwards a report of this node to the collector in its data centre.
    fn forward(&mut self, report: EvidenceReport) {
        let collector = self.assignment.of(&report.service).local;
        let own = &self.parts.members.table().own().node.clone();
        match collector {
            Some(member) if member.node != *own => {
                self.outbox
                    .entry(member.node.clone())
                    .or_default()
                    .push(report);
            }
            _ => self.collect(&report),
        }
    }

    /// Adds a report as the collector of its service.
    fn collect(&mut self, report: &EvidenceReport) {
        let now = Instant::now();
        let table = self.parts.members.table();
        if report.observer == table.own().data_centre {
            self.add_to_sums(report);
        }
        let config = self.parts.follower.snapshot().config;
        let Some(service) = config.services.get(&report.service) else {
            return;
        };
        let observers = table.data_centres().len();
        let detector = self
            .detectors
            .entry(report.service.clone())
            .or_insert_with(|| OutlierDetector::new(now, Arc::clone(service), observers));
        detector.observe(now, report);
    }

    fn add_to_sums(&mut self, report: &EvidenceReport) {
        let sum = self.sums.entry(report.service.clone()).or_default();
        sum.latency_micros = report.latency_micros.or(sum.latency_micros);
        for (id, count) in &report.counts {
            sum.counts.entry(id.clone()).or_default().add(*count);
            if count.bad > 0 {
                self.urgent.insert(report.service.clone());
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.update_assignment(now);
        self.send_outbox();
        self.exchange(now);
        self.evaluate(now);
        if now.duration_since(self.last_refresh) >= REFRESH_INTERVAL {
            self.last_refresh = now;
            let active_verdicts = self
                .detectors
                .values()
                .flat_map(OutlierDetector::active_verdicts)
                .collect();
            self.publish_verdicts(active_verdicts);
            let latencies = self
                .detectors
                .values()
                .filter_map(OutlierDetector::estimate)
                .collect();
            self.publish_latencies(latencies);
        } else {
            let changed = self
                .detectors
                .values_mut()
                .filter_map(OutlierDetector::take_changed_estimate)
                .collect();
            self.publish_latencies(changed);
        }
        if now.duration_since(self.last_review) >= REVIEW_INTERVAL {
            self.last_review = now;
            self.propose(now);
        }
    }

    fn update_assignment(&mut self, now: Instant) {
        let table = self.parts.members.table();
        let config = self.parts.follower.snapshot().config;
        if !self.assignment.is_stale(now, &table, &config) {
            return;
        }
        self.assignment = CollectorAssignment::compute(now, table, &config);
        let own_services: BTreeSet<_> = self.assignment.own_services().cloned().collect();
        self.detectors
            .retain(|service, _| own_services.contains(service));
    }

    fn send_outbox(&mut self) {
        let table = self.parts.members.table();
        for (node, reports) in std::mem::take(&mut self.outbox) {
            if let Some(member) = table.find(&node) {
                self.send(Arc::clone(member), NodeRequest::Evidence(reports));
            }
        }
    }

    /// Sends the sums of this data centre to the collectors of the others.
    fn exchange(&mut self, now: Instant) {
        let all_due = now.duration_since(self.last_exchange) >= SUCCESS_EXCHANGE_INTERVAL;
        let due: Vec<_> = if all_due {
            self.last_exchange = now;
            self.sums.keys().cloned().collect()
        } else {
            self.urgent.iter().cloned().collect()
        };
        self.urgent.clear();
        let observer = self.parts.members.table().own().data_centre.clone();
        let mut messages: BTreeMap<ids::NodeId, (Arc<Member>, Vec<EvidenceReport>)> =
            BTreeMap::new();
        for service in due {
            let Some(sum) = self.sums.remove(&service) else {
                continue;
            };
            for member in self.assignment.of(&service).remote {
                let report = EvidenceReport {
                    service: service.clone(),
                    observer: observer.clone(),
                    counts: sum.counts.clone(),
                    latency_micros: sum.latency_micros,
                };
                let node = member.node.clone();
                messages
                    .entry(node)
                    .or_insert_with(|| (member, Vec::new()))
                    .1
                    .push(report);
            }
        }
        let remaining = self
            .sums
            .values_mut()
            .flat_map(|sum| sum.counts.values_mut());
        remaining.for_each(EvidenceCount::age);
        for (member, reports) in messages.into_values() {
            self.send(member, NodeRequest::Evidence(reports));
        }
    }

    fn evaluate(&mut self, now: Instant) {
        let changes: Vec<_> = self
            .detectors
            .values_mut()
            .flat_map(|detector| detector.decide(now))
            .collect();
        if changes.is_empty() {
            return;
        }
        let mut has_ejection = false;
        for change in &changes {
            log::info!(
                target: "collector",
                "Verdict on upstream {} of service {}: {}.", change.upstream, change.service, verdict_text(&change.verdict)
            );
            if change.verdict == Verdict::Eject {
                self.candidate_since.insert(change.upstream.clone(), now);
                has_ejection = true;
            } else {
                self.candidate_since.remove(&change.upstream);
            }
        }
        self.publish_verdicts(changes);
        if has_ejection {
            self.propose(now);
        }
    }

    /// Publishes verdicts to this node and the other nodes of its data centre.
    fn publish_verdicts(&self, changes: Vec<VerdictChange>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            (self.parts.on_update)(CollectorUpdate::Verdict(change.clone()));
        }
        let request = NodeRequest::Verdicts(changes);
        for member in self.parts.members.table().local_peers() {
            self.send(member, request.clone());
        }
    }

    /// Publishes the median latency of services to this node and the other nodes of its data
    /// centre.
    fn publish_latencies(&self, latencies: Vec<ServiceLatency>) {
        if latencies.is_empty() {
            return;
        }
        for latency in &latencies {
            (self.parts.on_update)(CollectorUpdate::Latency(latency.clone()));
        }
        let request = NodeRequest::Estimate(latencies);
        for member in self.parts.members.table().local_peers() {
            self.send(member, request.clone());
        }
    }

    /// Proposes changes of the ejection records of services with a candidate. The first data
    /// centre of the order also does so for services with ejections, to reinstate upstreams.
    fn propose(&self, now: Instant) {
        let snapshot = self.parts.follower.snapshot();
        for (id, detector) in &self.detectors {
            let Some(service) = snapshot.config.services.get(id) else {
                continue;
            };
            let rank = self.assignment.of(id).rank;
            let candidates: Vec<_> = service
                .upstreams
                .iter()
                .map(|up| up.id.clone())
                .filter(|upstream| self.may_propose(now, upstream, detector, rank))
                .collect();
            let record = self.records.get(id);
            let has_ejected = record.is_some_and(|record| !record.record.ejected.is_empty());
            if candidates.is_empty() && !(has_ejected && rank == 0) {
                continue;
            }
            let ids = service.upstreams.iter().map(|up| up.id.clone());
            let proposal = EjectionProposal {
                service: Arc::clone(service),
                generation: snapshot.config.generation,
                now: self.parts.clock.now(),
                candidates,
                recently_healthy: ids
                    .clone()
                    .map(|id| (id.clone(), detector.is_recently_healthy(now, &id)))
                    .collect(),
                scores: ids.map(|id| (id.clone(), detector.score(&id))).collect(),
            };
            let platform = self.parts.platform.clone();
            let follower = self.parts.follower.clone();
            tokio::spawn(async move {
                if let Some(record) = proposal.submit(platform).await {
                    follower.put_records(vec![record]).await;
                }
            });
        }
    }

    /// Whether an upstream is a candidate for ejection, and has been one for as long as this
    /// data centre must wait.
    fn may_propose(
        &self,
        now: Instant,
        upstream: &ids::UpstreamId,
        detector: &OutlierDetector,
        rank: u32,
    ) -> bool {
        let since = self.candidate_since.get(upstream);
        let waited = since.is_some_and(|at| now.duration_since(*at) >= RANK_DELAY * rank);
        waited && detector.verdict(upstream) == Verdict::Eject
    }

    /// Applies a new configuration or new records.
    fn apply_snapshot(&mut self, snapshot: &FleetSnapshot) {
        let now = Instant::now();
        let table: Arc<MemberTable> = self.parts.members.table();
        for (id, detector) in &mut self.detectors {
            if let Some(service) = snapshot.config.services.get(id) {
                detector.configure(now, Arc::clone(service), table.data_centres().len());
            }
        }
        let before = std::mem::replace(&mut self.records, Arc::clone(&snapshot.records));
        for (id, old) in before.iter() {
            let Some(detector) = self.detectors.get_mut(id) else {
                continue;
            };
            let new = snapshot.records.get(id);
            let reinstated = old.record.ejected.keys().filter(|upstream| {
                new.is_some_and(|record| !record.record.ejected.contains_key(upstream))
            });
            for upstream in reinstated {
                detector.reinstate(now, upstream);
            }
        }
    }

    fn send(&self, member: Arc<Member>, request: NodeRequest) {
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            let _ = peers.request(&member, &request, SEND_TIMEOUT).await;
        });
    }
}

fn verdict_text(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Clear => "clear",
        Verdict::Avoid(policy::detection::VerdictScope::Fleet) => "avoid everywhere",
        Verdict::Avoid(_) => "avoid from some data centres",
        Verdict::Eject => "eject",
    }
}
