//! A fleet of balancers of one service, with upstreams that have gray-failure episodes.
//! Signals and load totals reach the other nodes with the delays of a real fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge};
use gooseberrydyke_policy::service::{
    Admission, AttemptKey, AttemptPurpose, AttemptRequest, LoadTotals, NodeAssignment, Placement,
    ServiceBalancer, UpstreamLoad,
};
use gooseberrydyke_policy::suspicion::SuspicionSignal;
use model::config::{DetectionProfile, RetryAllowance, Service};
use model::ids::{NodeId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::{self, Instant};

use super::common::{CENTRES, name, service};

const STEP: Duration = Duration::from_millis(10);
/// Mean duration of an episode, and of the time between two.
const EPISODE_SECONDS: f64 = 9.0;
const SOUND_SECONDS: f64 = 21.0;
/// Share of the requests that hang during an episode.
const HANGING_SHARE: f64 = 0.75;
/// Response times of the other requests.
const LATENCY_MILLIS: std::ops::Range<u64> = 150..600;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_500);
const SIGNAL_DELAY: Duration = Duration::from_millis(20);
/// Interval between the load reports of a node and between the totals of a relay, for each node
/// of a data centre.
const LOAD_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Share of the load reports and totals that are lost.
const LOAD_LOSS_SHARE: f64 = 0.02;
const SLOTS: u32 = 4;

/// What a fleet is made of and how it is loaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    /// Nodes and upstreams, spread evenly over the data centres.
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    /// Requests of the whole fleet per second.
    pub(crate) requests_per_second: f64,
    /// Share of the requests that may run more than once.
    pub(crate) repeatable_share: f64,
    /// Whether upstreams have episodes.
    pub(crate) episodes: bool,
    /// Local upstreams that are assigned to each node; `None` if all are preferred.
    pub(crate) assigned: Option<usize>,
    pub(crate) seed: u64,
}

/// One request that reached an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Offer {
    pub(crate) at: Duration,
    pub(crate) upstream: usize,
    /// Whether the node avoided the upstream at that time.
    pub(crate) trial: bool,
}

/// A time without episodes of an upstream that had one before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoundTime {
    pub(crate) upstream: usize,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

struct Upstream {
    in_episode: bool,
    changes_at: Duration,
}

struct AttemptInFlight {
    node: usize,
    upstream: usize,
    key: AttemptKey,
    ends_at: Duration,
    end: AttemptEnd,
}

/// A running fleet. Time passes on tokio's paused clock.
pub(crate) struct Fleet {
    plan: FleetPlan,
    rng: SmallRng,
    started: Instant,
    balancers: Vec<ServiceBalancer>,
    totals: BTreeMap<usize, LoadTotals>,
    upstreams: Vec<Upstream>,
    in_flight: Vec<AttemptInFlight>,
    signals: Vec<(Duration, usize, SuspicionSignal)>,
    pub(crate) offers: Vec<Offer>,
    pub(crate) sound_times: Vec<SoundTime>,
    pub(crate) lost: usize,
    pub(crate) requests: usize,
    /// Requests that found every slot of their upstream taken.
    pub(crate) over_slots: usize,
}

impl Fleet {
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let config: Arc<Service> = Service {
            profile: DetectionProfile::Episodes,
            retry_allowance: RetryAllowance {
                ratio_permille: 190,
                max_millitokens: 10_000,
                initial_millitokens: 5_000,
                fleet_max_millitokens: 0,
            },
            ..service(plan.upstreams, SLOTS, 0).as_ref().clone()
        }
        .into();
        let now = Instant::now();
        let nodes = u32::try_from(plan.nodes).unwrap();
        let balancers = (0..plan.nodes).map(|node| {
            let centre = name(CENTRES[node % CENTRES.len()]);
            let seed = plan.seed.wrapping_mul(1_000).wrapping_add(node as u64);
            let mut balancer = ServiceBalancer::new(now, Arc::clone(&config), centre, seed);
            balancer.set_fleet_size(nodes);
            balancer.set_local_node_share(1.0 / 3.0);
            if let Some(width) = plan.assigned {
                assign_subset(&mut balancer, plan.nodes, node, width);
            }
            balancer
        });
        let balancers = balancers.collect();
        let upstreams = (0..plan.upstreams).map(|_| {
            let in_episode = plan.episodes
                && rng.random_bool(EPISODE_SECONDS / (EPISODE_SECONDS + SOUND_SECONDS));
            Upstream {
                in_episode,
                changes_at: exponential(&mut rng, mean_of(in_episode)),
            }
        });
        Self {
            upstreams: upstreams.collect(),
            plan,
            rng,
            started: now,
            balancers,
            totals: BTreeMap::new(),
            in_flight: Vec::new(),
            signals: Vec::new(),
            offers: Vec::new(),
            sound_times: Vec::new(),
            lost: 0,
            requests: 0,
            over_slots: 0,
        }
    }

    /// Lets `duration` pass without requests.
    pub(crate) async fn pause(&mut self, duration: Duration) {
        let rate = std::mem::take(&mut self.plan.requests_per_second);
        self.run(duration).await;
        self.plan.requests_per_second = rate;
    }

    /// Lets `duration` pass.
    pub(crate) async fn run(&mut self, duration: Duration) {
        let until = self.started.elapsed() + duration;
        while self.started.elapsed() < until {
            time::advance(STEP).await;
            let now = self.started.elapsed();
            self.change_episodes(now);
            self.end_attempts(now);
            self.deliver_signals(now);
            self.share_loads(now);
            let expected = self.plan.requests_per_second * STEP.as_secs_f64();
            let count = poisson(&mut self.rng, expected);
            for _ in 0..count {
                self.send_request(now);
            }
            self.collect_signals(now);
        }
    }

    fn change_episodes(&mut self, now: Duration) {
        if !self.plan.episodes {
            return;
        }
        for (number, upstream) in self.upstreams.iter_mut().enumerate() {
            if upstream.changes_at > now {
                continue;
            }
            upstream.in_episode = !upstream.in_episode;
            upstream.changes_at = now + exponential(&mut self.rng, mean_of(upstream.in_episode));
            if !upstream.in_episode {
                self.sound_times.push(SoundTime {
                    upstream: number,
                    from: now,
                    until: upstream.changes_at,
                });
            }
        }
    }

    fn end_attempts(&mut self, now: Duration) {
        let (ended, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt: &AttemptInFlight| attempt.ends_at <= now);
        self.in_flight = in_flight;
        for attempt in ended {
            let balancer = &mut self.balancers[attempt.node];
            if attempt.end == AttemptEnd::Answered {
                balancer.record_response_head(Instant::now(), attempt.key);
            }
            balancer.finish(Instant::now(), attempt.key, attempt.end);
        }
    }

    fn collect_signals(&mut self, now: Duration) {
        for (node, balancer) in self.balancers.iter_mut().enumerate() {
            if balancer
                .next_overdue_at()
                .is_some_and(|at| at <= Instant::now())
            {
                let _ = balancer.tick(Instant::now());
            }
            let signals = balancer.take_signals().into_iter();
            self.signals
                .extend(signals.map(|signal| (now + SIGNAL_DELAY, node, signal)));
        }
    }

    fn deliver_signals(&mut self, now: Duration) {
        let (due, later) = std::mem::take(&mut self.signals)
            .into_iter()
            .partition(|(at, _, _): &(Duration, _, _)| *at <= now);
        self.signals = later;
        for (_, from, signal) in due {
            for node in (0..self.plan.nodes).filter(|node| *node != from) {
                self.balancers[node].apply_signal(Instant::now(), &signal.upstream, signal.kind);
            }
        }
    }

    fn share_loads(&mut self, now: Duration) {
        let step = STEP.as_millis();
        let turn = now.as_millis() / step;
        let interval =
            LOAD_INTERVAL_PER_NODE * u32::try_from(self.plan.nodes / CENTRES.len()).unwrap();
        let turns = interval.as_millis().div_ceil(step);
        let centres = CENTRES.len();
        for node in 0..self.plan.nodes {
            let reports = turn % turns == node as u128 % turns;
            if !reports || !self.balancers[node].has_unreported_load() {
                continue;
            }
            let report = self.balancers[node].take_load_report();
            if self.rng.random_bool(LOAD_LOSS_SHARE) {
                continue;
            }
            let totals = self.totals.entry(node % centres).or_default();
            totals.record(Instant::now(), &name(&format!("node-{node}")), report.loads);
        }
        if !turn.is_multiple_of(turns) {
            return;
        }
        for (centre, totals) in &mut self.totals {
            let sums: Vec<UpstreamLoad> = totals.take_changed(Instant::now());
            for node in (0..self.plan.nodes).filter(|node| node % centres == *centre) {
                if self.rng.random_bool(LOAD_LOSS_SHARE) {
                    continue;
                }
                for sum in &sums {
                    self.balancers[node].apply_data_centre_load(Instant::now(), sum);
                }
            }
        }
    }

    fn in_flight_at(&self, upstream: usize) -> usize {
        let there = self.in_flight.iter().filter(|it| it.upstream == upstream);
        there.count()
    }

    fn send_request(&mut self, now: Duration) {
        let node = self.rng.random_range(0..self.plan.nodes);
        let request = AttemptRequest {
            request_id: name("request-1"),
            repeatable: self.rng.random_bool(self.plan.repeatable_share),
            exclude: Vec::new(),
            purpose: AttemptPurpose::First,
            charge: RetryCharge::Budget,
            target_latency: Some(Duration::from_millis(1_500)),
            class: None,
        };
        self.requests += 1;
        let admission = self.balancers[node].admit(Instant::now(), &request);
        let Admission::Grant(grant) = admission else {
            self.lost += 1;
            return;
        };
        let upstream = number_of(&grant.upstream.id);
        self.over_slots += usize::from(self.in_flight_at(upstream) >= SLOTS as usize);
        let hangs = self.upstreams[upstream].in_episode && self.rng.random_bool(HANGING_SHARE);
        let (ends_after, end) = if hangs {
            self.lost += usize::from(!request.repeatable);
            (ROUTE_TIMEOUT, AttemptEnd::TimedOut)
        } else {
            let latency = self.rng.random_range(LATENCY_MILLIS);
            (Duration::from_millis(latency), AttemptEnd::Answered)
        };
        self.in_flight.push(AttemptInFlight {
            node,
            upstream,
            key: grant.attempt,
            ends_at: now + ends_after,
            end,
        });
        self.offers.push(Offer {
            at: now,
            upstream,
            trial: grant.trial,
        });
    }
}

fn assign_subset(balancer: &mut ServiceBalancer, nodes: usize, node: usize, width: usize) {
    let centre = node % CENTRES.len();
    let node_name = |node: usize| -> NodeId { name(&format!("node-{node:03}")) };
    let local = (centre..nodes).step_by(CENTRES.len()).map(node_name);
    let local: Vec<_> = local.collect();
    let own = node_name(node);
    let service = balancer.service();
    let assignment = NodeAssignment::new(&own, &name(CENTRES[centre]), service, &local, nodes);
    balancer.set_placement(Placement::Assigned);
    balancer.set_assigned_subset(&assignment.subset(width));
}

fn mean_of(in_episode: bool) -> f64 {
    if in_episode {
        EPISODE_SECONDS
    } else {
        SOUND_SECONDS
    }
}

fn exponential(rng: &mut SmallRng, mean_seconds: f64) -> Duration {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() * mean_seconds)
}

fn poisson(rng: &mut SmallRng, expected: f64) -> usize {
    let limit = (-expected).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn number_of(id: &UpstreamId) -> usize {
    id.as_str().trim_start_matches("up-").parse().unwrap()
}
