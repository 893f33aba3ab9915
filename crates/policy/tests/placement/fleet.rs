//! A model of the nodes and upstreams of one data centre: what each node decides, with load
//! totals that arrive late. No network and no processes; time is only counted.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use gooseberrydyke_policy::retry::AttemptEnd;
use gooseberrydyke_policy::service::{
    AssignedUpstream, NodeDemand, SubsetShape, SubsetWidth, assign,
};
use model::ids::{NodeId, UpstreamId};
use model::sizes::Rate;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use tokio::time::Instant;

use super::chooser::{Choice, Chooser, Knowledge, SentAttempt};
use super::common::name;

/// Time after which a connection is not used again by a request that may run only once.
const REUSE_TIME: Duration = Duration::from_secs(1);
/// Time from the start that is not measured.
const WARM_UP: Duration = Duration::from_secs(15);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Requests that wait at a node are given up after this time.
const NODE_WAIT_MAX: Duration = Duration::from_secs(2);

/// What the model is made of and how it is loaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) queue: usize,
    /// Mean time that an upstream works on a request.
    pub(crate) work: Duration,
    /// Share of all slots that the requests take on average.
    pub(crate) utilisation: f64,
    /// Interval between two reports of a node, and between two totals; so old is a total on
    /// average.
    pub(crate) delay: Duration,
    /// Requests that arrive together at a node.
    pub(crate) clump: usize,
    /// Swing of the rate over 17 s, as a share of the mean.
    pub(crate) swing: f64,
    /// Width of each node's subset; 0 if it comes from the node's demand.
    pub(crate) width: usize,
    /// Data centres; the nodes are spread evenly over them, the upstreams unevenly.
    pub(crate) centres: usize,
    pub(crate) seed: u64,
}

impl FleetPlan {
    pub(crate) fn centre_of_node(&self, node: usize) -> usize {
        node % self.centres
    }

    /// The first data centre has the fewest upstreams.
    pub(crate) fn centre_of_upstream(&self, upstream: usize) -> usize {
        let shares = 2 * self.centres + self.centres * (self.centres - 1) / 2;
        let mut place = upstream % shares;
        for centre in 0..self.centres {
            let share = centre + 2;
            if place < share {
                return centre;
            }
            place -= share;
        }
        0
    }

    /// Requests per second of all nodes.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn fleet_rate(&self) -> f64 {
        let slots = self.upstreams as f64 * f64::from(self.slots);
        self.utilisation * slots / self.work.as_secs_f64()
    }

    /// The width of a node with a share of the requests.
    fn adapted_width(&self, share: f64) -> usize {
        let subset = SubsetShape {
            nodes: self.nodes,
            upstreams: self.upstreams,
            slots: u32::try_from(self.upstreams).unwrap() * self.slots,
        };
        let demand = NodeDemand {
            rate: Some(Rate::per_second(self.fleet_rate() * share)),
            latency: Some(self.work),
        };
        let mut width = SubsetWidth::default();
        width.update(Instant::now(), &demand, subset);
        width.get()
    }
}

/// What a run gave.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FleetOutcome {
    /// Requests of the busiest upstream over the mean.
    pub(crate) busiest: f64,
    /// The same of the requests in flight at a moment, averaged over the moments.
    pub(crate) peak: f64,
    /// Mean time in the queues of upstreams and nodes, and the highest of 99 in 100.
    pub(crate) wait: Duration,
    pub(crate) wait_99: Duration,
    /// Share of the requests that were shed or given up.
    pub(crate) shed: f64,
    /// Share of the requests that opened a connection.
    pub(crate) opened: f64,
    /// Share of the requests that went to another data centre.
    pub(crate) remote: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrive(usize),
    Finish(usize, usize),
    Report(usize),
    Publish,
    Sample,
}

#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    node: usize,
    sent: SentAttempt,
    arrived: Duration,
}

struct ModelUpstream {
    running: u32,
    waiting: VecDeque<usize>,
    requests: usize,
}

pub(crate) struct Fleet {
    plan: FleetPlan,
    rng: SmallRng,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, FleetEvent)>>,
    choosers: Vec<Chooser>,
    /// Relative demand of each node.
    demand: Vec<f64>,
    node_queues: Vec<VecDeque<Duration>>,
    upstreams: Vec<ModelUpstream>,
    attempts: Vec<RunningAttempt>,
    /// The requests in flight of each node as the relay knows them.
    reported: BTreeMap<(usize, usize), u32>,
    published: Vec<Vec<u32>>,
    connections: BTreeMap<(usize, usize), Vec<Duration>>,
    waits: Vec<Duration>,
    requests: usize,
    shed: usize,
    opened: usize,
    remote: usize,
    peaks: Vec<f64>,
}

impl Fleet {
    /// Plays one run; `chooser` makes each node's decisions from its subset.
    pub(crate) fn play(plan: FleetPlan, chooser: impl Fn(&Knowledge) -> Chooser) -> FleetOutcome {
        let mut fleet = Self::new(plan, chooser);
        fleet.run();
        fleet.outcome()
    }

    fn new(plan: FleetPlan, chooser: impl Fn(&Knowledge) -> Chooser) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let nodes: Vec<NodeId> = (0..plan.nodes)
            .map(|node| name(&format!("node-{node}-{}", plan.seed)))
            .collect();
        let ids: Vec<UpstreamId> = (0..plan.upstreams)
            .map(|number| name(&format!("up-{number}")))
            .collect();
        let upstreams: Vec<_> = ids
            .iter()
            .map(|id| AssignedUpstream {
                id,
                slots: plan.slots,
            })
            .collect();
        // Callers are hashed to the nodes, a few of them large.
        let demand: Vec<f64> = (0..plan.nodes)
            .map(|_| 0.4 + 1.8 * rng.random::<f64>().powi(2))
            .collect();
        let assigned = assign(&nodes, &upstreams, plan.upstreams);
        let choosers = assigned.into_iter().enumerate().map(|(node, mut subset)| {
            let share = demand[node] / demand.iter().sum::<f64>();
            subset.truncate(match plan.width {
                0 => plan.adapted_width(share),
                width => width,
            });
            chooser(&Knowledge { node, plan, subset })
        });
        let choosers = choosers.collect();
        let mut fleet = Self {
            choosers,
            demand,
            rng,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            node_queues: vec![VecDeque::new(); plan.nodes],
            upstreams: (0..plan.upstreams)
                .map(|_| ModelUpstream {
                    running: 0,
                    waiting: VecDeque::new(),
                    requests: 0,
                })
                .collect(),
            attempts: Vec::new(),
            reported: BTreeMap::new(),
            published: vec![vec![0; plan.upstreams]; plan.centres],
            connections: BTreeMap::new(),
            waits: Vec::new(),
            requests: 0,
            shed: 0,
            opened: 0,
            remote: 0,
            peaks: Vec::new(),
            plan,
        };
        for node in 0..plan.nodes {
            let offset = plan.delay.mul_f64(fleet.rng.random());
            fleet.schedule(offset, FleetEvent::Report(node));
            fleet.schedule_arrival(node);
        }
        fleet.schedule(plan.delay, FleetEvent::Publish);
        fleet.schedule(WARM_UP, FleetEvent::Sample);
        fleet
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn schedule_arrival(&mut self, node: usize) {
        let plan = self.plan;
        let centre = plan.centre_of_node(node) as f64 / plan.centres as f64;
        let phase = (self.now.as_secs_f64() / 17.0 + centre) * std::f64::consts::TAU;
        let share = self.demand[node] / self.demand.iter().sum::<f64>();
        let rate = plan.fleet_rate() * share * (1.0 + plan.swing * phase.sin()) / plan.clump as f64;
        let gap = exponential(&mut self.rng, Duration::from_secs_f64(rate.recip()));
        self.schedule(gap, FleetEvent::Arrive(node));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > WARM_UP + RUN_TIME {
                return;
            }
            match event {
                FleetEvent::Arrive(node) => {
                    for _ in 0..self.plan.clump {
                        self.send(node, at);
                    }
                    self.schedule_arrival(node);
                }
                FleetEvent::Finish(upstream, attempt) => self.finish(upstream, attempt),
                FleetEvent::Report(node) => self.report(node),
                FleetEvent::Publish => self.publish(),
                FleetEvent::Sample => self.sample(),
            }
        }
    }

    /// Sends a request that arrived at a node, or lets it wait there.
    fn send(&mut self, node: usize, arrived: Duration) -> bool {
        let choice = self.choosers[node].choose(self.now);
        let Choice::Send(upstream, sent) = choice else {
            self.node_queues[node].push_back(arrived);
            return false;
        };
        let is_measured = self.now >= WARM_UP;
        self.requests += usize::from(is_measured);
        let connections = self.connections.entry((node, upstream)).or_default();
        let reused = connections
            .pop()
            .is_some_and(|used_at| self.now.saturating_sub(used_at) < REUSE_TIME);
        if !reused {
            connections.clear();
        }
        self.opened += usize::from(is_measured && !reused);
        let attempt = self.attempts.len();
        self.attempts.push(RunningAttempt {
            node,
            sent,
            arrived,
        });
        let is_remote = self.plan.centre_of_node(node) != self.plan.centre_of_upstream(upstream);
        self.remote += usize::from(is_measured && is_remote);
        let target = &mut self.upstreams[upstream];
        target.requests += usize::from(is_measured);
        if target.running < self.plan.slots {
            self.start(upstream, attempt);
        } else if target.waiting.len() < self.plan.queue {
            target.waiting.push_back(attempt);
        } else {
            self.shed += usize::from(is_measured);
            self.choosers[node].finish(self.now, sent, AttemptEnd::Shed);
        }
        true
    }

    fn start(&mut self, upstream: usize, attempt: usize) {
        self.upstreams[upstream].running += 1;
        if self.now >= WARM_UP {
            let wait = self.now.saturating_sub(self.attempts[attempt].arrived);
            self.waits.push(wait);
        }
        // Half of the work is the same for all requests.
        let work = self.plan.work / 2 + exponential(&mut self.rng, self.plan.work / 2);
        self.schedule(work, FleetEvent::Finish(upstream, attempt));
    }

    fn finish(&mut self, upstream: usize, attempt: usize) {
        let RunningAttempt { node, sent, .. } = self.attempts[attempt];
        self.upstreams[upstream].running -= 1;
        let connections = self.connections.entry((node, upstream)).or_default();
        connections.push(self.now);
        self.choosers[node].finish(self.now, sent, AttemptEnd::Answered);
        if let Some(next) = self.upstreams[upstream].waiting.pop_front() {
            self.start(upstream, next);
        }
        while let Some(arrived) = self.node_queues[node].pop_front() {
            if self.now.saturating_sub(arrived) > NODE_WAIT_MAX {
                self.shed += 1;
                self.requests += 1;
            } else if !self.send(node, arrived) {
                // It has been put at the end of the queue and keeps its place at the front.
                self.node_queues[node].rotate_right(1);
                break;
            }
        }
    }

    fn report(&mut self, node: usize) {
        for (upstream, in_flight) in self.choosers[node].take_report(self.now) {
            self.reported.insert((node, upstream), in_flight);
        }
        self.schedule(self.plan.delay, FleetEvent::Report(node));
    }

    fn publish(&mut self) {
        let plan = self.plan;
        let mut totals = vec![vec![0; plan.upstreams]; plan.centres];
        for ((node, upstream), in_flight) in &self.reported {
            totals[plan.centre_of_node(*node)][*upstream] += in_flight;
        }
        for (node, chooser) in self.choosers.iter_mut().enumerate() {
            let centre = plan.centre_of_node(node);
            chooser.apply_totals(self.now, &totals[centre], &self.published[centre]);
        }
        self.published = totals;
        self.schedule(self.plan.delay, FleetEvent::Publish);
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn sample(&mut self) {
        let in_flight = self
            .upstreams
            .iter()
            .map(|upstream| upstream.running as usize + upstream.waiting.len());
        let mean = in_flight.clone().sum::<usize>() as f64 / self.upstreams.len() as f64;
        let most = in_flight.max().unwrap_or(0) as f64;
        self.peaks.push(most / mean.max(f64::MIN_POSITIVE));
        self.schedule(Duration::from_millis(100), FleetEvent::Sample);
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn outcome(&mut self) -> FleetOutcome {
        let requests = self.upstreams.iter().map(|upstream| upstream.requests);
        let mean = requests.clone().sum::<usize>() as f64 / self.upstreams.len() as f64;
        self.waits.sort_unstable();
        let total: Duration = self.waits.iter().sum();
        let share = |count: usize| count as f64 / self.requests.max(1) as f64;
        FleetOutcome {
            busiest: requests.max().unwrap_or(0) as f64 / mean,
            peak: self.peaks.iter().sum::<f64>() / self.peaks.len() as f64,
            wait: total.div_f64(self.waits.len() as f64),
            wait_99: self.waits[self.waits.len() * 99 / 100],
            shed: share(self.shed),
            opened: share(self.opened),
            remote: share(self.remote),
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-draw.ln())
}
