//! Nodes that decide with the real balancer and queues, before upstreams with slots and a queue.
//! Load totals and suspicion signals reach the other nodes with the delays of a real fleet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::limit::RequestClass;
use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge, RetryContext};
use gooseberrydyke_policy::service::{
    AttemptGrant, AttemptKey, AttemptPurpose, AttemptRequest, LoadTotals,
};
use model::config::{DetectionProfile, RetryAllowance, Service};
use model::sizes::RequestCount;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::{self, Instant};

use super::common::{CENTRES, name, service};
use super::node::{Answer, Node};
use super::outcome::{CallEnd, GroupCount};
use super::plan::{CallerHabit, FleetPlan, poisson};

pub(crate) const STEP: Duration = Duration::from_millis(5);
const TICK_STEPS: u32 = 20;
/// Steps between two load reports of a node, and between two totals of the relay.
const REPORT_STEPS: u32 = 20;
const TOTAL_STEPS: u32 = 50;
const WORK_MILLIS: std::ops::Range<u64> = 160..480;
const UPSTREAM_QUEUE: usize = 16;
const NODE_QUEUE: u32 = 64;
/// Time to and from the caller.
const CALLER_RTT: Duration = Duration::from_millis(6);
/// `Retry-After` of a rejection that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// What callers stop trying with.
const TIME_LEFT_MIN: Duration = Duration::from_millis(50);

/// A caller's request across its rejections.
struct CallerRequest {
    flow: usize,
    node: usize,
    sent_at: Instant,
    counted: bool,
    tried: Vec<model::ids::UpstreamId>,
    ended: bool,
}

struct Attempt {
    request: usize,
    node: usize,
    key: AttemptKey,
    ended: bool,
}

#[derive(Default)]
struct Upstream {
    running: Vec<(Instant, usize)>,
    queue: VecDeque<usize>,
}

pub(crate) struct Fleet {
    plan: FleetPlan,
    rng: SmallRng,
    nodes: Vec<Node>,
    totals: LoadTotals,
    upstreams: Vec<Upstream>,
    requests: Vec<CallerRequest>,
    /// The requests that have not ended, in the order in which they were sent.
    open: Vec<usize>,
    attempts: Vec<Attempt>,
    /// Requests that arrive at their node later.
    returning: Vec<(Instant, usize)>,
    steps: u32,
    pub(crate) counts: Vec<GroupCount>,
}

impl Fleet {
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let mut config = Service {
            profile: DetectionProfile::Episodes,
            queue: RequestCount::new(NODE_QUEUE),
            shed_is_not_run: true,
            retry_allowance: RetryAllowance {
                ratio_permille: 190,
                max_millitokens: 10_000,
                initial_millitokens: 5_000,
                fleet_max_millitokens: 0,
            },
            ..service(plan.upstreams, plan.slots, 0).as_ref().clone()
        };
        for upstream in &mut config.upstreams {
            upstream.data_centre = name(CENTRES[0]);
        }
        let config = Arc::new(config);
        let nodes = (0..plan.nodes).map(|number| {
            let seed = plan.seed * 1_000 + number as u64;
            Node::new(Arc::clone(&config), plan.nodes, plan.queue, seed)
        });
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            nodes: nodes.collect(),
            totals: LoadTotals::default(),
            upstreams: (0..plan.upstreams).map(|_| Upstream::default()).collect(),
            requests: Vec::new(),
            open: Vec::new(),
            attempts: Vec::new(),
            returning: Vec::new(),
            steps: 0,
            counts: vec![GroupCount::default(); plan.groups],
            plan,
        }
    }

    /// Lets `duration` pass; only requests that callers send while `counted` are reported.
    pub(crate) async fn run(&mut self, duration: Duration, is_loaded: bool, counted: bool) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            time::advance(STEP).await;
            self.steps += 1;
            self.end_work();
            self.end_overdue();
            self.share_knowledge();
            self.return_callers();
            for flow in 0..self.plan.flows.len() {
                let plan = &self.plan.flows[flow];
                let factor = if is_loaded { plan.factor } else { 1.0 };
                let expected = plan.rate * factor * STEP.as_secs_f64();
                for _ in 0..poisson(&mut self.rng, expected) {
                    self.send(flow, counted);
                }
            }
            if self.steps.is_multiple_of(TICK_STEPS) {
                for node in 0..self.nodes.len() {
                    let answers = self.nodes[node].tick();
                    self.apply(node, answers);
                }
            }
        }
    }

    fn send(&mut self, flow: usize, counted: bool) {
        let callers = self.plan.flows[flow].callers;
        // Callers are hashed to nodes.
        let caller = self.rng.random_range(0..callers);
        let mut placing = SmallRng::seed_from_u64((flow * 10_000 + caller) as u64);
        let node = placing.random_range(0..self.plan.nodes);
        self.requests.push(CallerRequest {
            flow,
            node,
            sent_at: Instant::now(),
            counted,
            tried: Vec::new(),
            ended: false,
        });
        self.open.push(self.requests.len() - 1);
        if counted {
            self.counts[self.plan.flows[flow].group].sent += 1;
        }
        self.arrive(self.requests.len() - 1, AttemptPurpose::First);
    }

    fn arrive(&mut self, request: usize, purpose: AttemptPurpose) {
        let call = &self.requests[request];
        let flow = &self.plan.flows[call.flow];
        let attempt = AttemptRequest {
            request_id: name("request-1"),
            repeatable: false,
            exclude: call.tried.clone(),
            purpose,
            charge: RetryCharge::Budget,
            target_latency: Some(self.plan.wanted),
            class: Some(Arc::new(RequestClass {
                flow: flow.flow.clone(),
                priority: flow.priority,
            })),
        };
        let (node, deadline) = (call.node, call.sent_at + self.plan.timeout);
        let requests = &self.requests;
        let answers =
            self.nodes[node].arrive(request, attempt, deadline, |waiter| requests[*waiter].ended);
        self.apply(node, answers);
    }

    fn apply(&mut self, node: usize, answers: Vec<Answer>) {
        for answer in answers {
            match answer {
                Answer::Granted(request, grant) => self.forward(node, request, &grant),
                Answer::Rejected(request, retry_after) => self.reject(request, retry_after),
            }
        }
    }

    fn forward(&mut self, node: usize, request: usize, grant: &AttemptGrant) {
        let id = grant.upstream.id.clone();
        let upstream: usize = id.as_str().trim_start_matches("up-").parse().unwrap();
        self.requests[request].tried.push(id);
        self.attempts.push(Attempt {
            request,
            node,
            key: grant.attempt,
            ended: false,
        });
        let attempt = self.attempts.len() - 1;
        let slots = self.plan.slots as usize;
        let there = &mut self.upstreams[upstream];
        if there.running.len() < slots {
            self.start_work(upstream, attempt);
        } else if there.queue.len() < UPSTREAM_QUEUE {
            there.queue.push_back(attempt);
        } else {
            self.end_attempt(attempt, AttemptEnd::Shed);
            self.retry_or_reject(request, AttemptEnd::Shed);
        }
    }

    fn start_work(&mut self, upstream: usize, attempt: usize) {
        let work = Duration::from_millis(self.rng.random_range(WORK_MILLIS));
        self.upstreams[upstream]
            .running
            .push((Instant::now() + work, attempt));
    }

    fn end_work(&mut self) {
        let now = Instant::now();
        for upstream in 0..self.upstreams.len() {
            let running = std::mem::take(&mut self.upstreams[upstream].running);
            let (ended, running) = running.into_iter().partition(|(at, _)| *at <= now);
            self.upstreams[upstream].running = running;
            let ended: Vec<(Instant, usize)> = ended;
            for (_, attempt) in ended {
                // An upstream notices a closed connection when it takes up the next request.
                while let Some(next) = self.upstreams[upstream].queue.pop_front() {
                    if !self.attempts[next].ended {
                        self.start_work(upstream, next);
                        break;
                    }
                }
                if !self.attempts[attempt].ended {
                    let request = self.attempts[attempt].request;
                    self.end_attempt(attempt, AttemptEnd::Answered);
                    self.finish(request, CallEnd::Served);
                }
            }
        }
    }

    fn end_attempt(&mut self, attempt: usize, end: AttemptEnd) {
        let Attempt { node, key, .. } = self.attempts[attempt];
        self.attempts[attempt].ended = true;
        let requests = &self.requests;
        let answers = self.nodes[node].finish(key, end, |waiter| requests[*waiter].ended);
        self.apply(node, answers);
    }

    fn retry_or_reject(&mut self, request: usize, end: AttemptEnd) {
        let call = &self.requests[request];
        let deadline = call.sent_at + self.plan.timeout;
        let context = RetryContext {
            end,
            repeatable: false,
            shed_is_not_run: true,
            charge: RetryCharge::Budget,
            body_retained: true,
            attempts: call.tried.len(),
            attempts_max: 3,
            time_left: deadline.saturating_duration_since(Instant::now()),
        };
        if self.nodes[call.node].decide_retry(&context) {
            self.arrive(request, AttemptPurpose::Retry);
        } else {
            self.reject(request, None);
        }
    }

    /// The caller learns of a rejection, and returns or gives up.
    fn reject(&mut self, request: usize, retry_after: Option<Duration>) {
        let now = Instant::now();
        let call = &mut self.requests[request];
        if call.ended {
            return;
        }
        call.tried.clear();
        let flow = &self.plan.flows[call.flow];
        let left = (call.sent_at + self.plan.timeout).saturating_duration_since(now);
        let wait = match flow.habit {
            CallerHabit::RetriesAtOnce => (left > TIME_LEFT_MIN).then_some(Duration::ZERO),
            _ => Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)).filter(|wait| *wait <= left / 3),
        };
        if call.counted {
            self.counts[flow.group].rejections += 1;
        }
        match wait {
            Some(wait) => self.returning.push((now + wait + CALLER_RTT, request)),
            None => self.finish(request, CallEnd::Rejected),
        }
    }

    fn return_callers(&mut self) {
        let now = Instant::now();
        let returning = std::mem::take(&mut self.returning);
        let (due, later) = returning.into_iter().partition(|(at, _)| *at <= now);
        self.returning = later;
        let due: Vec<(Instant, usize)> = due;
        for (_, request) in due {
            if !self.requests[request].ended {
                self.arrive(request, AttemptPurpose::First);
            }
        }
    }

    /// Ends the requests whose callers leave or whose deadlines passed.
    fn end_overdue(&mut self) {
        let now = Instant::now();
        let plan = &self.plan;
        let mut overdue = Vec::new();
        let requests = &self.requests;
        self.open.retain(|number| !requests[*number].ended);
        for number in self.open.iter().copied() {
            let call = &requests[number];
            let patience = match plan.flows[call.flow].habit {
                CallerHabit::Leaves(patience) => patience,
                _ => plan.timeout,
            };
            if call.sent_at + patience <= now {
                overdue.push((number, patience < plan.timeout));
            }
        }
        for (request, leaves) in overdue {
            let (caller_end, end) = if leaves {
                (CallEnd::Left, AttemptEnd::Cancelled)
            } else {
                (CallEnd::TimedOut, AttemptEnd::TimedOut)
            };
            self.finish(request, caller_end);
            let in_flight = self.attempts.iter();
            let open = in_flight
                .enumerate()
                .filter(|(_, it)| it.request == request && !it.ended);
            for attempt in open.map(|(number, _)| number).collect::<Vec<_>>() {
                self.end_attempt(attempt, end);
            }
        }
    }

    fn finish(&mut self, request: usize, end: CallEnd) {
        let call = &mut self.requests[request];
        if std::mem::replace(&mut call.ended, true) || !call.counted {
            return;
        }
        let group = self.plan.flows[call.flow].group;
        self.counts[group].record(end, call.sent_at.elapsed(), self.plan.wanted);
    }

    fn share_knowledge(&mut self) {
        let now = Instant::now();
        let signals: Vec<_> = self.nodes.iter_mut().map(Node::take_signals).collect();
        for (from, signals) in signals.iter().enumerate() {
            for (number, node) in self.nodes.iter_mut().enumerate() {
                if number != from {
                    node.apply_signals(signals);
                }
            }
        }
        for number in 0..self.nodes.len() {
            let turn = u32::try_from(number).unwrap() % REPORT_STEPS;
            if self.steps % REPORT_STEPS == turn
                && let Some(report) = self.nodes[number].take_load_report()
            {
                let id = name(&format!("node-{number}"));
                self.totals.record(now, &id, report.loads);
            }
        }
        if self.steps.is_multiple_of(TOTAL_STEPS) {
            let sums = self.totals.take_changed(now);
            for node in &mut self.nodes {
                node.apply_loads(&sums);
            }
        }
    }
}
