//! A fleet whose nodes spend the quota of one workspace, with messages on a simulated network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use model::config::{QuotaBound, WorkspaceQuota};
use model::ids::WorkspaceId;
use model::sizes::{BurstSize, Rate, Share};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use crate::message::{Content, Event, Exchange, ExchangeKind};
use crate::node::QuotaNode;

/// Interval at which a node compares its state with another one and finds out who is out of reach.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time in which a starting node learns of the others.
const LEARN_MAX: Duration = Duration::from_millis(1_200);

pub(crate) const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overshoot: Share::new(0.1),
    slack: BurstSize::new(20),
};

pub(crate) fn quota(rate: f64, burst: u32) -> WorkspaceQuota {
    WorkspaceQuota {
        rate: Rate::per_second(rate),
        burst: BurstSize::new(burst),
    }
}

pub(crate) fn workspace() -> WorkspaceId {
    "acme".parse().unwrap()
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) nodes: usize,
    pub(crate) data_centres: usize,
    pub(crate) seed: u64,
    pub(crate) quota: WorkspaceQuota,
}

/// What a run came to.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) offered: usize,
    pub(crate) granted: usize,
    pub(crate) draws: usize,
}

pub(crate) struct QuotaFleet {
    pub(crate) plan: FleetPlan,
    pub(crate) nodes: Vec<QuotaNode>,
    /// The group of each node; only nodes of one group reach each other.
    pub(crate) groups: Vec<usize>,
    /// By how much the messages of a node are delayed.
    pub(crate) slow: BTreeMap<usize, Duration>,
    /// The share of the workspace's requests that each node gets.
    pub(crate) weights: Vec<f64>,
    /// Requests per second.
    pub(crate) load: f64,
    /// When requests ran.
    pub(crate) spent: Vec<Instant>,
    /// When requests arrived, and at which node.
    pub(crate) arrivals: Vec<(Instant, usize)>,
    pub(crate) draws: usize,
    pub(crate) rng: SmallRng,
    pub(crate) started: Instant,
    pub(crate) now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    pub(crate) exchanges: BTreeMap<u64, Exchange>,
    pub(crate) next_event: u64,
}

impl QuotaFleet {
    /// A fleet that has run for some time, without requests.
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            plan,
            nodes: Vec::new(),
            groups: vec![0; plan.nodes],
            slow: BTreeMap::new(),
            weights: vec![1.0; plan.nodes],
            load: 0.0,
            spent: Vec::new(),
            arrivals: Vec::new(),
            draws: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            started: now,
            now,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            next_event: 0,
        };
        for number in 0..plan.nodes {
            let centre = number % plan.data_centres;
            let node = QuotaNode::start(number, centre, now, BOUND, plan.quota, plan.data_centres);
            fleet.nodes.push(node);
            fleet.start_timers(number);
        }
        fleet.run(Duration::from_secs(18));
        fleet.weights = fleet.random_weights(18);
        fleet.schedule(Duration::ZERO, Event::Request);
        fleet
    }

    /// Weights of callers that are hashed to nodes.
    pub(crate) fn random_weights(&mut self, callers: usize) -> Vec<f64> {
        let mut weights = vec![0.0; self.nodes.len()];
        for _ in 0..callers {
            weights[self.rng.random_range(0..self.nodes.len())] += 1.0;
        }
        weights
    }

    fn start_timers(&mut self, number: usize) {
        let run = self.nodes[number].run;
        let learn = self.rng.random_range(Duration::ZERO..LEARN_MAX);
        let compare = self.rng.random_range(Duration::ZERO..COMPARE_INTERVAL);
        self.schedule(learn, Event::Learn { node: number, run });
        self.schedule(Duration::ZERO, Event::Vote { node: number, run });
        self.schedule(compare, Event::Compare { node: number, run });
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Kills a node; it is back after a time.
    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes[number].is_up = false;
        self.nodes[number].run += 1;
    }

    /// Tells a node to stop; it announces that it leaves.
    pub(crate) fn leave(&mut self, number: usize) {
        self.nodes[number].is_leaving = true;
        self.nodes[number].mark_leaving(self.now, number);
        for peer in 0..self.nodes.len() {
            if peer != number {
                self.send(number, peer, Content::Leaving);
            }
        }
    }

    pub(crate) fn restart(&mut self, number: usize) {
        let run = self.nodes[number].run;
        let centre = self.nodes[number].centre;
        let quota = self.nodes[number].quota;
        let mut node = QuotaNode::start(
            number,
            centre,
            self.now,
            BOUND,
            quota,
            self.plan.data_centres,
        );
        node.run = run + 1;
        self.nodes[number] = node;
        self.start_timers(number);
    }

    /// Adds a node that the others learn of when it does of them.
    pub(crate) fn add(&mut self) {
        let number = self.nodes.len();
        let centre = number % self.plan.data_centres;
        let node = QuotaNode::start(
            number,
            centre,
            self.now,
            BOUND,
            self.plan.quota,
            self.plan.data_centres,
        );
        self.nodes.push(node);
        self.groups.push(0);
        self.weights.push(0.0);
        self.start_timers(number);
    }

    /// The relay that most nodes of a data centre know.
    pub(crate) fn relay(&self, centre: usize) -> usize {
        let number = (0..self.nodes.len()).find(|number| self.nodes[*number].centre == centre);
        number.unwrap()
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// Lets time pass with requests, and returns what they came to.
    pub(crate) fn measure(&mut self, load: f64, span: Duration) -> Usage {
        let before = (self.arrivals.len(), self.spent.len(), self.draws);
        self.load = load;
        self.run(span);
        Usage {
            offered: self.arrivals.len() - before.0,
            granted: self.spent.len() - before.1,
            draws: self.draws - before.2,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.arrive(),
            Event::Vote { node, run } if self.is_running(node, run) => self.vote(node),
            Event::Compare { node, run } if self.is_running(node, run) => {
                self.compare(node);
                self.schedule(COMPARE_INTERVAL, Event::Compare { node, run });
            }
            Event::Learn { node, run } if self.is_running(node, run) => self.learn(node),
            Event::Message { from, to, content }
                if self.reaches(from.0, to) && self.nodes[to].is_up =>
            {
                self.receive(from, to, &content);
            }
            Event::GiveUp {
                node,
                run,
                exchange,
            } if self.is_running(node, run) => {
                let entry = self.exchanges.get_mut(&exchange);
                if let Some(entry) = entry
                    && entry.kind == (ExchangeKind::Draw { is_given_up: false })
                {
                    entry.kind = ExchangeKind::Draw { is_given_up: true };
                    let to = entry.to;
                    self.nodes[node].slow_draws += 1;
                    self.finish_draw(node, to, None);
                }
            }
            Event::Forget {
                node,
                run,
                exchange,
            } if self.is_running(node, run) => {
                if let Some(entry) = self.exchanges.remove(&exchange) {
                    self.nodes[node].mark_suspect(self.now, entry.to);
                    if matches!(entry.kind, ExchangeKind::Draw { .. }) {
                        self.finish_late_draw(node, entry.to, None);
                    }
                }
            }
            Event::Settle { node, run } if self.is_running(node, run) => {
                self.draw_or_settle(node);
            }
            _ => {}
        }
    }

    /// Contacts another node, and as a relay all nodes of the data centre.
    fn compare(&mut self, number: usize) {
        let peer = self.rng.random_range(0..self.nodes.len());
        let node = &mut self.nodes[number];
        if !node.knows_all {
            return;
        }
        if node.is_leaving {
            self.send(number, peer, Content::Leaving);
            return;
        }
        for local in node.heartbeat_targets(self.now) {
            self.send(number, local, Content::Heartbeat);
        }
        if self.reaches(number, peer) {
            self.send(number, peer, Content::Contact);
        } else if peer < self.nodes[number].known {
            self.nodes[number].mark_suspect(self.now, peer);
        }
    }

    fn is_running(&self, node: usize, run: u32) -> bool {
        self.nodes[node].is_up && self.nodes[node].run == run
    }

    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || (self.groups[from] == self.groups[to] && self.nodes[to].is_up)
    }

    /// A node that reaches another one knows the fleet, and the fleet knows the node.
    fn learn(&mut self, number: usize) {
        let others = (0..self.nodes.len()).any(|peer| peer != number && self.reaches(number, peer));
        if !others {
            let run = self.nodes[number].run;
            let retry = Duration::from_millis(500);
            self.schedule(retry, Event::Learn { node: number, run });
            return;
        }
        // The first node that it asks may have started lately, too.
        let is_first = !self.nodes[number].knows_all;
        let mut count = self.nodes.len();
        if is_first && self.now < self.nodes[number].started + LEARN_MAX {
            count = self.rng.random_range(2..=count);
            let run = self.nodes[number].run;
            let next = self.rng.random_range(LEARN_MAX / 4..LEARN_MAX);
            self.schedule(next, Event::Learn { node: number, run });
        }
        self.nodes[number].learn(count);
        for peer in 0..count {
            if self.reaches(number, peer) && self.nodes[peer].knows_all {
                let known = self.nodes[peer].known.max(number + 1);
                self.nodes[peer].learn(known);
                self.nodes[peer].clear_suspect(number);
            }
        }
    }

    fn arrive(&mut self) {
        let (mut delay, load) = (Duration::from_millis(20), self.load);
        if load > 0.0 {
            let sample: f64 = self.rng.random_range(f64::EPSILON..1.0);
            delay = Duration::from_secs_f64(-sample.ln() / load);
            let total: f64 = self.weights.iter().sum();
            let mut pick = self.rng.random_range(0.0..total);
            let chosen = self.weights.iter().position(|weight| {
                pick -= weight;
                pick < 0.0
            });
            let node = chosen.unwrap_or(0);
            self.arrivals.push((self.now, node));
            if self.nodes[node].is_up {
                self.take(node);
            }
        }
        self.schedule(delay, Event::Request);
    }
}
