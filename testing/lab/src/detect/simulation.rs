//! One run: a discrete-event simulation of nodes, requests and probes under the paused clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use model::config::{DetectionProfile, Service, Upstream, UpstreamState};
use model::{ids, sizes};
use policy::retry::AttemptEnd;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{self, Instant};

use super::fault_model::{self, FaultMode, RequestContext};
use super::subject::{InFlightRequest, ProbeResult, Subject};

/// Time before the fault, in which subjects learn the normal latencies and failure rates.
const WARM_UP: Duration = Duration::from_secs(30);
/// Interval of the subject's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which every node probes every upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Share of the nodes that must avoid an upstream for its failure to count as detected.
const DETECTED_NODE_SHARE: f64 = 0.95;

/// The deployment that a run simulates.
#[derive(Debug, Clone)]
pub(super) struct Deployment {
    pub(super) name: &'static str,
    pub(super) profile: DetectionProfile,
    pub(super) service: &'static str,
    pub(super) upstreams: usize,
    /// Slots of each upstream.
    pub(super) slots: u32,
    /// Nodes of the fleet, spread evenly over the data centres.
    pub(super) nodes: usize,
    pub(super) data_centres: [&'static str; 3],
    /// One-way network latency between two data centres.
    pub(super) remote_latency: Duration,
}

/// The parameters of one run.
#[derive(Debug, Clone)]
pub(super) struct RunPlan {
    pub(super) deployment: Deployment,
    pub(super) mode: FaultMode,
    /// Requests per second at each node.
    pub(super) rate: f64,
    /// Length of the run after the onset of the fault.
    pub(super) fault_span: Duration,
    pub(super) seed: u64,
}

/// The result of one run.
#[derive(Debug, Clone, Default)]
pub(super) struct RunResult {
    /// Seconds from the onset until [`DETECTED_NODE_SHARE`] of the nodes avoid the faulty
    /// upstream; `None` when the run ends before that.
    pub(super) detection_seconds: Option<f64>,
    /// Requests that were subject to the fault when sent.
    pub(super) affected_requests: u64,
    /// Requests that ended and were not subject to the fault when sent.
    pub(super) healthy_outcomes: u64,
    /// Ejections, except those of the faulty upstream where the fault affects a single one.
    pub(super) false_ejections: u64,
    /// Whether the faulty upstream was ejected.
    pub(super) ejected: bool,
    /// Decisions to avoid an upstream, except the faulty one where the fault affects a single
    /// one.
    pub(super) false_avoids: u64,
    /// Minimum over time and nodes of the slots left in service.
    pub(super) slots_min: u32,
    /// Capacity floor of the service, in slots.
    pub(super) floor: u32,
}

impl RunPlan {
    /// Builds the service, with a floor of two thirds of its slots.
    pub(super) fn service(&self) -> Arc<Service> {
        let Deployment {
            upstreams,
            slots,
            data_centres,
            service,
            profile,
            ..
        } = &self.deployment;
        let total_slots = u32::try_from(*upstreams).unwrap_or(0) * slots;
        let floor = sizes::SlotCount::new(total_slots * 2 / 3);
        let mut built = Service::new(parse_id(service), floor);
        built.profile = *profile;
        built.deadline = model::span::TimeSpan::from_secs(4);
        built.upstreams = (0..*upstreams)
            .map(|number| Upstream {
                id: parse_id(&format!("up-{number:02}")),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: parse_id(data_centres[number % data_centres.len()]),
                slots: sizes::SlotCount::new(*slots),
                state: UpstreamState::Active,
                instance: None,
            })
            .collect();
        Arc::new(built)
    }

    /// The data centre of a node; nodes are assigned to data centres in turn.
    pub(super) fn data_centre_of(&self, node: usize) -> ids::DataCentreId {
        parse_id(self.deployment.data_centres[node % 3])
    }
}

/// Parses an id that the lab itself makes up.
pub(crate) fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("ids made up by the lab are valid"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at this node.
    Arrive(usize),
    /// The request with this number ends.
    Finish(u64),
    /// The periodic work of the subject is due.
    Tick,
    /// Every node probes every upstream.
    Probe,
}

/// A request in flight, whose end is already drawn.
struct PendingRequest {
    node: usize,
    request: InFlightRequest,
    end: AttemptEnd,
    /// Whether the request was subject to the fault when sent.
    affected_by_fault: bool,
}

struct Simulation<'a> {
    plan: &'a RunPlan,
    subject: Subject,
    rng: SmallRng,
    start: Instant,
    /// Scheduled events, ordered by time and then by number.
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
    pending: std::collections::HashMap<u64, PendingRequest>,
    result: RunResult,
    /// Index of the upstream that is at fault in the modes that affect a single one.
    faulty_upstream: usize,
}

/// Runs one plan with one subject.
pub(super) async fn run(plan: &RunPlan, subject: Subject) -> RunResult {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let faulty_upstream = rng.random_range(0..plan.deployment.upstreams);
    let mut simulation = Simulation {
        plan,
        subject,
        rng,
        start,
        events: BinaryHeap::new(),
        event_count: 0,
        pending: std::collections::HashMap::new(),
        result: RunResult {
            floor: plan.service().floor.get(),
            ..RunResult::default()
        },
        faulty_upstream,
    };
    simulation.run().await;
    simulation.result
}

impl Simulation<'_> {
    async fn run(&mut self) {
        for node in 0..self.plan.deployment.nodes {
            let first = self.start + self.interarrival_time();
            self.push(first, Event::Arrive(node));
        }
        self.push(self.start, Event::Tick);
        self.push(self.start, Event::Probe);
        let end = self.start + WARM_UP + self.plan.fault_span;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let now = Instant::now();
            if at > now {
                time::advance(at - now).await;
            }
            self.handle_event(at, event);
        }
        self.finish_result();
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Draws the time between two arrivals of a Poisson process.
    fn interarrival_time(&mut self) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() / self.plan.rate)
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(node) => {
                self.send(now, node, true);
                let next = now + self.interarrival_time();
                self.push(next, Event::Arrive(node));
            }
            Event::Finish(number) => self.finish(now, number),
            Event::Tick => {
                (self.subject.tick)(now);
                self.record_detection(now);
                self.push(now + TICK_INTERVAL, Event::Tick);
            }
            Event::Probe => {
                self.probe(now);
                self.push(now + PROBE_INTERVAL, Event::Probe);
            }
        }
    }

    fn send(&mut self, now: Instant, node: usize, repeatable: bool) {
        let Some(request) = (self.subject.select)(now, node, repeatable) else {
            return;
        };
        let context = self.request_context(now, node, request.upstream);
        let affected_by_fault = context.fault_age.is_some() && self.affected_by_fault(context);
        if affected_by_fault {
            self.result.affected_requests += 1;
        }
        let outcome = fault_model::draw_outcome(context, &mut self.rng);
        let pending = PendingRequest {
            node,
            request,
            end: outcome.end,
            affected_by_fault,
        };
        // `push` gives its event the same number.
        let number = self.event_count + 1;
        self.pending.insert(number, pending);
        self.push(now + outcome.latency, Event::Finish(number));
    }

    fn finish(&mut self, now: Instant, number: u64) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        (self.subject.finish)(now, pending.node, pending.request, pending.end);
        if !pending.affected_by_fault {
            self.result.healthy_outcomes += 1;
        }
    }

    fn probe(&mut self, now: Instant) {
        for upstream in 0..self.plan.deployment.upstreams {
            for node in 0..self.plan.deployment.nodes {
                let healthy = fault_model::probe_passes(self.request_context(now, node, upstream));
                (self.subject.probe)(
                    now,
                    ProbeResult {
                        node,
                        upstream,
                        healthy,
                    },
                );
            }
        }
    }

    fn request_context(&self, now: Instant, node: usize, upstream: usize) -> RequestContext {
        let onset = self.start + WARM_UP;
        let same_data_centre = node % 3 == upstream % 3;
        let network_time = if same_data_centre {
            Duration::ZERO
        } else {
            self.plan.deployment.remote_latency * 2
        };
        RequestContext {
            mode: self.plan.mode,
            fault_age: (now >= onset).then(|| now - onset),
            is_faulty: upstream == self.faulty_upstream,
            crosses_cut: node.is_multiple_of(3) && upstream % 3 == 1,
            network_time,
        }
    }

    /// Whether a request in this context is subject to the fault once that has begun.
    fn affected_by_fault(&self, context: RequestContext) -> bool {
        match self.plan.mode {
            FaultMode::NoFault | FaultMode::FailingProbe => false,
            FaultMode::AllFail => true,
            FaultMode::Partition => context.crosses_cut,
            _ => context.is_faulty,
        }
    }

    /// Records the time at which the failure counts as detected.
    fn record_detection(&mut self, now: Instant) {
        let onset = self.start + WARM_UP;
        let single_upstream = !matches!(
            self.plan.mode,
            FaultMode::NoFault
                | FaultMode::FailingProbe
                | FaultMode::AllFail
                | FaultMode::Partition
        );
        if self.result.detection_seconds.is_some() || now < onset || !single_upstream {
            return;
        }
        let nodes = self.plan.deployment.nodes;
        let avoiding = (0..nodes)
            .filter(|node| (self.subject.is_avoided)(*node, self.faulty_upstream))
            .count();
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let share = avoiding as f64 / nodes as f64;
        if share >= DETECTED_NODE_SHARE {
            self.result.detection_seconds = Some((now - onset).as_secs_f64());
        }
    }

    /// Completes the result from the decisions of the subject.
    fn finish_result(&mut self) {
        let actions = (self.subject.actions)();
        let single_upstream = !matches!(
            self.plan.mode,
            FaultMode::NoFault
                | FaultMode::FailingProbe
                | FaultMode::AllFail
                | FaultMode::Partition
        );
        let faulty_upstream = self.faulty_upstream;
        let count_others = |upstreams: &[usize]| {
            let others = upstreams
                .iter()
                .filter(|upstream| !(single_upstream && **upstream == faulty_upstream));
            others.count() as u64
        };
        self.result.false_ejections = count_others(&actions.ejected);
        self.result.false_avoids = count_others(&actions.avoided);
        self.result.ejected = single_upstream && actions.ejected.contains(&faulty_upstream);
        self.result.slots_min = actions.slots_min;
    }
}
