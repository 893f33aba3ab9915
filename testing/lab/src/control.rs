//! What control costs a node, at several sizes, and what follows for the target size.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::config::{
    FleetConfig, RetryRule, Route, RouteOptions, Service, Upstream, UpstreamState, Workspace,
};
use model::ids;
use model::sizes::{Generation, NodeCapacity, SlotCount};
use policy::detection::{EvidenceCount, EvidenceReport, OutlierDetector};
use policy::membership::{Member, MemberTable};
use policy::routing::RouteTable;
use policy::service::ServiceBalancer;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use crate::load::{processor_time, resident_bytes};
use crate::report::{Bound, Report, Row, figure};
use crate::settings::LabSettings;

/// The size to which slopes are drawn out.
const NODES: f64 = 580.0;
const SERVICES: usize = 500;
const UPSTREAMS_EACH: usize = 17;
const ROUTES: usize = 6_500;
const WORKSPACES: usize = 49_000;
const CENTRES: f64 = 7.0;
pub(crate) const REQUESTS_PER_SECOND: f64 = 39_000.0;
const CHANGES_PER_DAY: f64 = 780.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// What control may cost a node.
const CORE_SHARE_MAX: f64 = 1.2;
const MEMORY_MAX: f64 = 64.0;
const BYTES_MAX: f64 = 15_000.0;
/// Bytes of headers and acknowledgements around one message between nodes.
const MESSAGE_OVERHEAD: f64 = 150.0;
/// How long the collectors' assignment holds.
const ASSIGNMENT_SECONDS: f64 = 10.0;
/// Data centres that probe an upstream, and how often each does.
const PROBING_CENTRES: f64 = 3.0;
const PROBE_SECONDS: f64 = 3.0;
/// Probes that are measured.
const PROBES: u32 = 500;
/// Nodes in each of the three data centres of the measured fleets.
const FLEETS: [usize; 3] = [4, 16, 32];
/// Times that a cheap step is repeated to be measured.
const REPEATS: u32 = 20_000;

pub(crate) struct Sink<'a> {
    pub(crate) report: &'a mut Report,
}

impl Sink<'_> {
    pub(crate) fn add(
        &mut self,
        case: &str,
        metric: &'static str,
        unit: &'static str,
        value: f64,
        bound: Bound,
    ) {
        let case = case.to_owned();
        self.report.add(Row {
            case,
            subject: "ours",
            metric,
            unit,
            value,
            bound,
        });
    }

    pub(crate) fn slope(&mut self, metric: &'static str, unit: &'static str, value: f64) {
        self.add("slope", metric, unit, value, Bound::Free);
    }
}

/// Runs the experiment.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("control", settings);
    let mut sink = Sink {
        report: &mut report,
    };
    // What is measured stays, so that nothing later is built in its memory.
    let mut held = Vec::new();
    let memory = measure_memory(&mut sink, &mut held);
    let steps = measure_steps(&mut sink);
    let probe = measure_probe(&mut sink).await?;
    let idle = measure_fleet(&mut sink, settings).await?;
    draw_out(&mut sink, memory, &steps, probe, &idle);
    drop(held);
    Ok(report.finish())
}

/// A configuration of some share of the target size.
fn sample(services: usize, routes: usize, workspaces: usize) -> FleetConfig {
    let mut config = FleetConfig {
        generation: Generation::new(1),
        ..FleetConfig::empty()
    };
    for number in 0..services {
        let id: ids::ServiceId = parse(&format!("service-{number:04}"));
        let mut service = Service::new(id.clone(), SlotCount::new(8));
        service.upstreams = (0..UPSTREAMS_EACH)
            .map(|up| Upstream {
                id: parse(&format!("upstream-{number:04}-{up:02}")),
                address: ([127, 0, 0, 1], 9000).into(),
                data_centre: parse(&format!("centre-{}", up % 7)),
                slots: SlotCount::new(4),
                state: UpstreamState::Active,
                instance: None,
            })
            .collect();
        config.services.insert(id, Arc::new(service));
    }
    for number in 0..routes {
        let id: ids::RouteId = parse(&format!("route-{number:05}"));
        let route = Route {
            id: id.clone(),
            host: None,
            prefix: format!("/service/{number}").into(),
            methods: Vec::new(),
            service: parse(&format!("service-{:04}", number % services.max(1))),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        config.routes.insert(id, Arc::new(route));
    }
    for number in 0..workspaces {
        let id: ids::WorkspaceId = parse(&format!("workspace-{number:05}"));
        config
            .workspaces
            .insert(id.clone(), Workspace { id, limit: None });
    }
    config
}

pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("names of the lab are names"))
}

/// Memory of the configuration with its routes, chunks and balancers; returns megabytes at the target.
fn measure_memory(sink: &mut Sink<'_>, held: &mut Vec<Box<dyn std::any::Any>>) -> f64 {
    let mut grow = |metric, count: usize, build: &dyn Fn() -> Box<dyn std::any::Any>| {
        let before = resident_bytes();
        held.push(build());
        let bytes = figure(resident_bytes().saturating_sub(before)) / figure(count as u64);
        sink.slope(metric, "bytes", bytes);
        bytes * figure(count as u64) / 1e6
    };
    let upstreams = SERVICES * UPSTREAMS_EACH;
    let services = grow(
        "memory of an upstream in the configuration",
        upstreams,
        &|| Box::new(sample(SERVICES, 0, 0)),
    );
    let routes = grow("memory of a route, with the routing table", ROUTES, &|| {
        let config = sample(1, ROUTES, 0);
        let table = RouteTable::build(&config);
        Box::new((config, table))
    });
    let workspaces = grow("memory of a workspace", WORKSPACES, &|| {
        Box::new(sample(0, 0, WORKSPACES))
    });
    let balancers = grow("memory of a service's balancer", SERVICES, &|| {
        let now = Instant::now();
        let services = sample(SERVICES, 0, 0).services;
        let balancers = services
            .values()
            .map(|service| ServiceBalancer::new(now, Arc::clone(service), parse("centre-0"), 1));
        Box::new(balancers.collect::<Vec<_>>())
    });
    let pieces = grow("memory of a service in stored chunks", SERVICES, &|| {
        Box::new(sample(SERVICES, ROUTES, WORKSPACES).split())
    });
    services + routes + workspaces + balancers + pieces
}

/// Processor time of single steps in microseconds, and the size of a report.
struct Steps {
    report: f64,
    observe: f64,
    assignment: f64,
    rebuild: f64,
    /// Bytes of a report.
    bytes: f64,
}

fn measure_steps(sink: &mut Sink<'_>) -> Steps {
    let counts: BTreeMap<ids::UpstreamId, EvidenceCount> = [(
        parse("upstream-0000-00"),
        EvidenceCount {
            earlier: 0,
            good: 1,
            bad: 0,
        },
    )]
    .into();
    let report = EvidenceReport {
        service: parse("service-0000"),
        observer: parse("centre-0"),
        counts,
        latency_micros: Some(20_000),
    };
    let bytes = node::wire::encode(&node::wire::NodeRequest::Evidence(vec![report.clone()]))
        .map_or(0, |bytes| bytes.len());
    sink.slope(
        "size of a report of one outcome",
        "bytes",
        figure(bytes as u64),
    );
    let coded = timed(REPEATS, || {
        let request = node::wire::NodeRequest::Evidence(vec![report.clone()]);
        let bytes = node::wire::encode(&request).unwrap_or_default();
        let back: Result<node::wire::NodeRequest, _> = node::wire::decode(&bytes);
        assert!(back.is_ok());
    });
    sink.slope("encoding and decoding a report", "us", coded);
    let service = sample(1, 0, 0).services.into_values().next();
    let Some(service) = service else {
        unreachable!("the sample has one service")
    };
    let mut detector = OutlierDetector::new(Instant::now(), service, 7);
    let observe = timed(REPEATS, || {
        detector.observe(Instant::now(), &report);
    });
    let decide = timed(REPEATS / 10, || {
        assert!(detector.decide(Instant::now()).is_empty());
    });
    sink.slope("evaluating a report", "us", observe);
    sink.slope("deciding over one service", "us", decide);
    let table = members(580);
    let near: Vec<_> = table
        .available(Instant::now())
        .into_iter()
        .take(83)
        .collect();
    let assignment = timed(200, || {
        assert!(MemberTable::collector_among(&parse("service-0000"), &near).is_some());
    });
    sink.slope("drawing the collector of one service", "us", assignment);
    let config = sample(SERVICES, ROUTES, WORKSPACES);
    let rebuild = timed(5, || {
        let table = RouteTable::build(&config);
        drop(table);
        drop(config.clone());
    });
    sink.slope("rebuilding routes after a change", "us", rebuild);
    Steps {
        report: coded,
        observe: observe + decide,
        assignment,
        rebuild,
        bytes: figure(bytes as u64),
    }
}

fn timed(repeats: u32, mut step: impl FnMut()) -> f64 {
    let start = std::time::Instant::now();
    for _ in 0..repeats {
        step();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}

fn members(count: usize) -> MemberTable {
    let member = |number: usize| Member {
        node: parse(&format!("node-{number:03}")),
        address: ([127, 0, 0, 1], 7400).into(),
        data_centre: parse(&format!("centre-{}", number % 7)),
        leaving: false,
        capacity: NodeCapacity::default(),
    };
    let mut table = MemberTable::new(member(0));
    table.replace((0..count).map(member).collect());
    table
}

/// Processor time of one probe in microseconds, both ends counted.
async fn measure_probe(sink: &mut Sink<'_>) -> std::io::Result<f64> {
    let testbed = Testbed::start(TestbedPlan::single_node(vec![ServicePlan::lookups(
        "view", "/view", 1,
    )]))
    .await?;
    let address = testbed.upstream("view-0").standin.address();
    let before = processor_time();
    for _ in 0..PROBES {
        let request = testbed::ClientRequest::get("/healthz");
        testbed::CallerClient::new(address).call(request).await;
    }
    let spent = processor_time().saturating_sub(before).as_secs_f64() * 1e6 / f64::from(PROBES);
    sink.slope("probing an upstream over a new connection", "us", spent);
    Ok(spent)
}

/// What an idle fleet costs each node at some sizes.
struct Idle {
    /// Nodes of the fleet.
    nodes: f64,
    /// Share of a core, in percent.
    core: f64,
    /// Bytes of messages a second.
    bytes: f64,
    /// Platform calls a second.
    calls: f64,
    /// Megabytes for each peer connection.
    peer_memory: f64,
}

async fn measure_fleet(sink: &mut Sink<'_>, settings: &LabSettings) -> std::io::Result<Idle> {
    let span = Duration::from_secs(settings.seconds.clamp(4, 60));
    let mut seen: Vec<Idle> = Vec::new();
    for nodes in FLEETS {
        let plan = TestbedPlan {
            seed: settings.seed,
            ..TestbedPlan::three_data_centres(nodes, vec![ServicePlan::lookups("view", "/view", 3)])
        };
        let memory = resident_bytes();
        let testbed = Testbed::start(plan).await?;
        time::sleep(Duration::from_secs(8)).await;
        let count = figure(nodes as u64 * 3);
        let (processor, bytes, calls) = (
            processor_time(),
            sent_bytes(&testbed),
            testbed.platform.calls().await,
        );
        time::sleep(span).await;
        let seconds = span.as_secs_f64();
        let core =
            processor_time().saturating_sub(processor).as_secs_f64() / seconds / count * 100.0;
        let bytes = (sent_bytes(&testbed) - bytes) / seconds / count;
        let after: u64 = testbed.platform.calls().await.values().sum();
        let calls = figure(after - calls.values().sum::<u64>()) / seconds;
        let memory = figure(resident_bytes().saturating_sub(memory)) / 1e6 / count;
        let case = format!("idle fleet of {count} nodes");
        sink.add(
            &case,
            "processor time of a node",
            "% of core",
            core,
            Bound::Free,
        );
        sink.add(
            &case,
            "message bytes of a node",
            "bytes/s",
            bytes,
            Bound::Free,
        );
        sink.add(
            &case,
            "platform calls of the fleet",
            "calls/s",
            calls,
            Bound::Free,
        );
        sink.add(&case, "memory of a node", "MB", memory, Bound::Free);
        seen.push(Idle {
            nodes: count,
            core,
            bytes,
            calls,
            peer_memory: memory / count,
        });
        let mut testbed = testbed;
        for entry in std::mem::take(&mut testbed.entries).into_values() {
            entry.kill();
        }
    }
    let (Some(large), Some(middle)) = (seen.pop(), seen.pop()) else {
        unreachable!("three fleets were measured")
    };
    Ok(large.drawn_out(&middle))
}

impl Idle {
    /// The cost at the target size, along the line through the two larger fleets.
    fn drawn_out(&self, smaller: &Self) -> Self {
        let steps = (NODES - self.nodes) / (self.nodes - smaller.nodes);
        let along = |large: f64, small: f64| large + (large - small).max(0.0) * steps;
        Self {
            nodes: NODES,
            core: along(self.core, smaller.core),
            bytes: along(self.bytes, smaller.bytes),
            calls: self.calls,
            peer_memory: self.peer_memory,
        }
    }
}

fn sent_bytes(testbed: &Testbed) -> f64 {
    let totals = testbed.entries.values().map(|entry| {
        let text = entry.metrics();
        let lines = text
            .lines()
            .filter(|line| line.starts_with("node_sent_bytes_total"));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum::<f64>()
    });
    totals.sum()
}

/// Adds the slopes up at the target size.
fn draw_out(sink: &mut Sink<'_>, config_memory: f64, steps: &Steps, probe: f64, idle: &Idle) {
    let case = "580 nodes, 500 services, 8500 upstreams";
    let neighbours = NODES / CENTRES;
    let outcomes = REQUESTS_PER_SECOND / NODES;
    // Each outcome is reported by its node, taken by a collector and exchanged with the others.
    let services_here = figure(SERVICES as u64) / neighbours;
    let exchanged = services_here * (CENTRES - 1.0) / 2.0;
    let reports = outcomes * 2.0 + exchanged * 2.0;
    let drawn = figure(SERVICES as u64) + services_here * (CENTRES - 1.0);
    let assignment = drawn * steps.assignment / ASSIGNMENT_SECONDS;
    let rebuild = steps.rebuild * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let probes =
        figure((SERVICES * UPSTREAMS_EACH) as u64) * PROBING_CENTRES / NODES / PROBE_SECONDS;
    let micros = reports * (steps.report + steps.observe) + assignment + rebuild + probes * probe;
    let core = idle.core + micros / 1e6 * 100.0;
    sink.add(
        case,
        "processor time of control",
        "% of core",
        core,
        Bound::AtMost(CORE_SHARE_MAX),
    );
    let peers = neighbours + CENTRES * services_here;
    let memory = config_memory + peers * idle.peer_memory;
    sink.add(
        case,
        "memory of control",
        "MB",
        memory,
        Bound::AtMost(MEMORY_MAX),
    );
    let config_bytes = 70_000.0 * CHANGES_PER_DAY / SECONDS_PER_DAY;
    // Good counts wait longer in a larger fleet, so that they travel together.
    let quiet_seconds = 0.3 * NODES / 48.0;
    let messages = outcomes.min(neighbours / quiet_seconds) + exchanged;
    let content = (outcomes + exchanged) * steps.bytes;
    let bytes = idle.bytes + messages * MESSAGE_OVERHEAD + content + config_bytes;
    sink.add(
        case,
        "bytes of control sent",
        "bytes/s",
        bytes,
        Bound::AtMost(BYTES_MAX),
    );
    let polls = NODES / (5.0 * (NODES / 48.0));
    let watches = 2.0 * CENTRES / 20.0;
    sink.add(
        case,
        "platform reads",
        "calls/s",
        polls + watches,
        Bound::AtMost(2_000.0),
    );
    let measured = idle.calls;
    sink.add(
        "96 nodes",
        "platform reads",
        "calls/s",
        measured,
        Bound::AtMost(2_000.0),
    );
}
