//! The task that routes evidence and evaluates the services that this node collects for.

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
use super::eject::Proposal;
use crate::follow::{FleetSnapshot, Follower};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeRequest, VersionedRecord};

/// How often evidence is sent on and evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long sums without a failure may wait for the exchange.
const QUIET_EXCHANGE: Duration = Duration::from_secs(2);
/// How often standing verdicts are told again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// How often records with ejections are looked at again.
const REVIEW_INTERVAL: Duration = Duration::from_secs(2);
/// How long each further data centre waits before it proposes an ejection.
const RANK_PAUSE: Duration = Duration::from_secs(2);
/// How long a message to another node may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Reports that wait for the task; further ones are dropped, since evidence is soft.
const COMMANDS_MAX: usize = 4096;

/// What a collector tells the services of its data centre.
#[derive(Debug, Clone)]
pub enum CollectorUpdate {
    /// A verdict on an upstream.
    Verdict(VerdictChange),
    /// The usual latency of a service.
    Estimate(ServiceLatency),
}

/// Takes updates for this node's own services.
pub type UpdateSink = Arc<dyn Fn(CollectorUpdate) + Send + Sync>;

/// A handle to the collector's task.
#[derive(Debug, Clone)]
pub struct Collector {
    commands: mpsc::Sender<CollectCommand>,
}

#[derive(Debug)]
enum CollectCommand {
    Own(EvidenceReport),
    Sent(Vec<EvidenceReport>),
}

/// What the task needs of its node.
pub(crate) struct CollectorParts {
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerSet,
    pub(crate) members: MemberSet,
    pub(crate) follower: Follower,
    pub(crate) update: UpdateSink,
    pub(crate) clock: clock::WallClock,
}

impl Collector {
    pub(crate) fn start(parts: CollectorParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let snapshots = parts.follower.watch();
        let now = Instant::now();
        let assignment = CollectorAssignment::draw(
            now,
            parts.members.table(),
            &parts.follower.snapshot().config,
        );
        let task = CollectTask {
            parts,
            assignment,
            detectors: BTreeMap::new(),
            outbox: BTreeMap::new(),
            sums: BTreeMap::new(),
            urgent: BTreeSet::new(),
            exchanged: now,
            refreshed: now,
            reviewed: now,
            candidate_since: BTreeMap::new(),
            records: Arc::new(BTreeMap::new()),
        };
        tokio::spawn(task.run(inbox, snapshots));
        Self { commands }
    }

    /// Takes evidence of this node's own services; drops it when too much waits.
    pub fn report(&self, report: EvidenceReport) {
        if self.commands.try_send(CollectCommand::Own(report)).is_err() {
            log::warn!(target: "collector", "Dropped a report, too many wait.");
        }
    }

    /// Takes evidence that other nodes sent.
    pub fn take(&self, reports: Vec<EvidenceReport>) {
        let _ = self.commands.try_send(CollectCommand::Sent(reports));
    }
}

/// Counts of one service that wait for the exchange.
#[derive(Default)]
struct ServiceSum {
    counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
    latency_micros: Option<u32>,
}

struct CollectTask {
    parts: CollectorParts,
    assignment: CollectorAssignment,
    detectors: BTreeMap<ids::ServiceId, OutlierDetector>,
    outbox: BTreeMap<ids::NodeId, Vec<EvidenceReport>>,
    sums: BTreeMap<ids::ServiceId, ServiceSum>,
    urgent: BTreeSet<ids::ServiceId>,
    exchanged: Instant,
    refreshed: Instant,
    reviewed: Instant,
    candidate_since: BTreeMap<ids::UpstreamId, Instant>,
    records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>>,
}

impl CollectTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<CollectCommand>,
        mut snapshots: watch::Receiver<FleetSnapshot>,
    ) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(CollectCommand::Own(report)) => self.route(report),
                    Some(CollectCommand::Sent(reports)) => {
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
                    self.follow(&snapshot);
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Sends a report of this node to the collector in its data centre.
    fn route(&mut self, report: EvidenceReport) {
        let near = self.assignment.of(&report.service).near;
        let own = &self.parts.members.table().own().node.clone();
        match near {
            Some(member) if member.node != *own => {
                self.outbox
                    .entry(member.node.clone())
                    .or_default()
                    .push(report);
            }
            _ => self.collect(&report),
        }
    }

    /// Takes a report as a collector.
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
        self.redraw(now);
        self.send_outbox();
        self.exchange(now);
        self.decide(now);
        if now.duration_since(self.refreshed) >= REFRESH_INTERVAL {
            self.refreshed = now;
            let standing = self
                .detectors
                .values()
                .flat_map(OutlierDetector::active_verdicts)
                .collect();
            self.tell(standing);
            let estimates = self
                .detectors
                .values()
                .filter_map(OutlierDetector::estimate)
                .collect();
            self.tell_estimates(estimates);
        } else {
            let changed = self
                .detectors
                .values_mut()
                .filter_map(OutlierDetector::take_changed_estimate)
                .collect();
            self.tell_estimates(changed);
        }
        if now.duration_since(self.reviewed) >= REVIEW_INTERVAL {
            self.reviewed = now;
            self.propose(now);
        }
    }

    fn redraw(&mut self, now: Instant) {
        let table = self.parts.members.table();
        let config = self.parts.follower.snapshot().config;
        if !self.assignment.is_stale(now, &table, &config) {
            return;
        }
        self.assignment = CollectorAssignment::draw(now, table, &config);
        let own: BTreeSet<_> = self.assignment.own().cloned().collect();
        self.detectors.retain(|service, _| own.contains(service));
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
        let quiet_due = now.duration_since(self.exchanged) >= QUIET_EXCHANGE;
        let due: Vec<_> = if quiet_due {
            self.exchanged = now;
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
            for member in self.assignment.of(&service).far {
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
        let waiting = self
            .sums
            .values_mut()
            .flat_map(|sum| sum.counts.values_mut());
        waiting.for_each(EvidenceCount::age);
        for (member, reports) in messages.into_values() {
            self.send(member, NodeRequest::Evidence(reports));
        }
    }

    fn decide(&mut self, now: Instant) {
        let changes: Vec<_> = self
            .detectors
            .values_mut()
            .flat_map(|detector| detector.decide(now))
            .collect();
        if changes.is_empty() {
            return;
        }
        let mut ejects = false;
        for change in &changes {
            log::info!(
                target: "collector",
                "Verdict on {} of {}: {}.", change.upstream, change.service, describe(&change.verdict)
            );
            if change.verdict == Verdict::Eject {
                self.candidate_since.insert(change.upstream.clone(), now);
                ejects = true;
            } else {
                self.candidate_since.remove(&change.upstream);
            }
        }
        self.tell(changes);
        if ejects {
            self.propose(now);
        }
    }

    /// Tells verdicts to this node and to its neighbours.
    fn tell(&self, changes: Vec<VerdictChange>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            (self.parts.update)(CollectorUpdate::Verdict(change.clone()));
        }
        let request = NodeRequest::Verdicts(changes);
        for member in self.parts.members.table().local_peers() {
            self.send(member, request.clone());
        }
    }

    /// Tells the usual latency of services to this node and to its neighbours.
    fn tell_estimates(&self, estimates: Vec<ServiceLatency>) {
        if estimates.is_empty() {
            return;
        }
        for estimate in &estimates {
            (self.parts.update)(CollectorUpdate::Estimate(estimate.clone()));
        }
        let request = NodeRequest::Estimate(estimates);
        for member in self.parts.members.table().local_peers() {
            self.send(member, request.clone());
        }
    }

    /// Proposes changes to the records of services that need one.
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
                .filter(|upstream| self.is_ripe(now, upstream, detector, rank))
                .collect();
            let record = self.records.get(id);
            let ejected = record.is_some_and(|record| !record.record.ejected.is_empty());
            if candidates.is_empty() && !(ejected && rank == 0) {
                continue;
            }
            let ids = service.upstreams.iter().map(|up| up.id.clone());
            let proposal = Proposal {
                service: Arc::clone(service),
                generation: snapshot.config.generation,
                now: self.parts.clock.now(),
                candidates,
                proven: ids
                    .clone()
                    .map(|id| (id.clone(), detector.is_recently_healthy(now, &id)))
                    .collect(),
                scores: ids.map(|id| (id.clone(), detector.score(&id))).collect(),
            };
            let platform = self.parts.platform.clone();
            let follower = self.parts.follower.clone();
            tokio::spawn(async move {
                if let Some(record) = proposal.make(platform).await {
                    follower.put_records(vec![record]).await;
                }
            });
        }
    }

    /// Whether this data centre's turn to propose an ejection has come.
    fn is_ripe(
        &self,
        now: Instant,
        upstream: &ids::UpstreamId,
        detector: &OutlierDetector,
        rank: u32,
    ) -> bool {
        let since = self.candidate_since.get(upstream);
        let waited = since.is_some_and(|at| now.duration_since(*at) >= RANK_PAUSE * rank);
        waited && detector.verdict(upstream) == Verdict::Eject
    }

    /// Takes a new configuration or new records.
    fn follow(&mut self, snapshot: &FleetSnapshot) {
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
            let back = old.record.ejected.keys().filter(|upstream| {
                new.is_some_and(|record| !record.record.ejected.contains_key(upstream))
            });
            for upstream in back {
                detector.reinstate(now, upstream);
            }
        }
    }

    fn send(&self, member: Arc<Member>, request: NodeRequest) {
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            let _ = peers.ask(&member, &request, SEND_TIMEOUT).await;
        });
    }
}

fn describe(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Clear => "clear",
        Verdict::Avoid(policy::detection::VerdictScope::Fleet) => "avoid everywhere",
        Verdict::Avoid(_) => "avoid from some data centres",
        Verdict::Eject => "eject",
    }
}
