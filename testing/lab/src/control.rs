//! Cost of the control plane at a node: measured in steps and at several fleet sizes, and
//! extrapolated to the target size.

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
use crate::permits;
use crate::report::{Bound, Report, ReportRow, to_f64};
use crate::settings::LabSettings;

/// The target size, to which the measured costs are extrapolated.
const TARGET_NODES: f64 = 580.0;
const TARGET_SERVICES: usize = 500;
const UPSTREAMS_PER_SERVICE: usize = 17;
const TARGET_ROUTES: usize = 6_500;
const TARGET_WORKSPACES: usize = 49_000;
const TARGET_DATA_CENTRES: f64 = 7.0;
pub(crate) const TARGET_REQUESTS_PER_SECOND: f64 = 39_000.0;
const TARGET_CHANGES_PER_DAY: f64 = 780.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Limit on the processor time of the control plane at a node, in percent of a core.
const CORE_PERCENT_MAX: f64 = 1.2;
/// Limit on the memory of the control plane at a node.
const MEMORY_MEGABYTES_MAX: f64 = 64.0;
/// Limit on the bytes that the control plane of a node sends.
const SENT_BYTES_PER_SECOND_MAX: f64 = 15_000.0;
/// Bytes of headers and acknowledgements for each message between nodes.
const MESSAGE_OVERHEAD_BYTES: f64 = 150.0;
/// Time after which a node computes the assignment of collectors again.
const ASSIGNMENT_INTERVAL_SECONDS: f64 = 10.0;
/// Number of data centres that probe an upstream.
const PROBING_DATA_CENTRES: f64 = 3.0;
/// Interval at which each of them probes it.
const PROBE_INTERVAL_SECONDS: f64 = 3.0;
/// Probes over which the cost of one is averaged.
const PROBE_COUNT: u32 = 500;
/// Nodes in each of the three data centres, for each fleet measured, in ascending order.
const NODES_PER_DATA_CENTRE: [usize; 3] = [4, 16, 32];
/// Iterations over which the cost of an inexpensive step is averaged.
pub(crate) const STEP_ITERATIONS: u32 = 20_000;

/// Adds rows of the subject `ours` to a report.
pub(crate) struct RowSink<'a> {
    pub(crate) report: &'a mut Report,
}

impl RowSink<'_> {
    pub(crate) fn add(
        &mut self,
        case: &str,
        metric: &'static str,
        unit: &'static str,
        value: f64,
        bound: Bound,
    ) {
        let case = case.to_owned();
        self.report.add(ReportRow {
            case,
            subject: "ours",
            metric,
            unit,
            value,
            bound,
        });
    }

    /// Adds the measured cost of one unit, without a bound.
    pub(crate) fn add_unit_cost(&mut self, metric: &'static str, unit: &'static str, value: f64) {
        self.add("slope", metric, unit, value, Bound::Unbounded);
    }
}

/// Runs the experiment; the seconds set how long each idle fleet is measured, from 4 to 60 s.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("control", settings);
    let mut sink = RowSink {
        report: &mut report,
    };
    // Measured structures stay allocated. Otherwise later ones would reuse their memory and
    // appear smaller.
    let mut retained = Vec::new();
    let config_megabytes = measure_memory(&mut sink, &mut retained);
    let costs = measure_steps(&mut sink);
    let probe_micros = measure_probe(&mut sink).await?;
    let idle = measure_fleet(&mut sink, settings).await?;
    add_target_rows(&mut sink, config_megabytes, &costs, probe_micros, &idle);
    drop(retained);
    Ok(report.finish())
}

/// Builds a configuration with these numbers of services, routes and workspaces.
fn sample_config(services: usize, routes: usize, workspaces: usize) -> FleetConfig {
    let mut config = FleetConfig {
        generation: Generation::new(1),
        ..FleetConfig::empty()
    };
    for number in 0..services {
        let id: ids::ServiceId = parse_id(&format!("service-{number:04}"));
        let mut service = Service::new(id.clone(), SlotCount::new(8));
        service.upstreams = (0..UPSTREAMS_PER_SERVICE)
            .map(|up| Upstream {
                id: parse_id(&format!("upstream-{number:04}-{up:02}")),
                address: ([127, 0, 0, 1], 9000).into(),
                data_centre: parse_id(&format!("centre-{}", up % 7)),
                slots: SlotCount::new(4),
                state: UpstreamState::Active,
                instance: None,
            })
            .collect();
        config.services.insert(id, Arc::new(service));
    }
    for number in 0..routes {
        let id: ids::RouteId = parse_id(&format!("route-{number:05}"));
        let route = Route {
            id: id.clone(),
            host: None,
            prefix: format!("/service/{number}").into(),
            methods: Vec::new(),
            service: Some(parse_id(&format!(
                "service-{:04}",
                number % services.max(1)
            ))),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        config.routes.insert(id, Arc::new(route));
    }
    for number in 0..workspaces {
        let id: ids::WorkspaceId = parse_id(&format!("workspace-{number:05}"));
        config
            .workspaces
            .insert(id.clone(), Workspace { id, limit: None });
    }
    config
}

/// Parses an id that the lab itself makes up.
pub(crate) fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("ids made up by the lab are valid"))
}

/// Measures the memory of the configuration with its routes, chunks and balancers; returns
/// the megabytes at the target size.
fn measure_memory(sink: &mut RowSink<'_>, retained: &mut Vec<Box<dyn std::any::Any>>) -> f64 {
    let mut measure_growth = |metric, count: usize, build: &dyn Fn() -> Box<dyn std::any::Any>| {
        let before = resident_bytes();
        retained.push(build());
        let bytes = to_f64(resident_bytes().saturating_sub(before)) / to_f64(count as u64);
        sink.add_unit_cost(metric, "bytes", bytes);
        bytes * to_f64(count as u64) / 1e6
    };
    let upstreams = TARGET_SERVICES * UPSTREAMS_PER_SERVICE;
    let services = measure_growth(
        "memory of an upstream in the configuration",
        upstreams,
        &|| Box::new(sample_config(TARGET_SERVICES, 0, 0)),
    );
    let routes = measure_growth(
        "memory of a route, with the routing table",
        TARGET_ROUTES,
        &|| {
            let config = sample_config(1, TARGET_ROUTES, 0);
            let table = RouteTable::build(&config);
            Box::new((config, table))
        },
    );
    let workspaces = measure_growth("memory of a workspace", TARGET_WORKSPACES, &|| {
        Box::new(sample_config(0, 0, TARGET_WORKSPACES))
    });
    let balancers = measure_growth("memory of a service's balancer", TARGET_SERVICES, &|| {
        let now = Instant::now();
        let services = sample_config(TARGET_SERVICES, 0, 0).services;
        let balancers = services
            .values()
            .map(|service| ServiceBalancer::new(now, Arc::clone(service), parse_id("centre-0"), 1));
        Box::new(balancers.collect::<Vec<_>>())
    });
    let chunks = measure_growth(
        "memory of a service in stored chunks",
        TARGET_SERVICES,
        &|| Box::new(sample_config(TARGET_SERVICES, TARGET_ROUTES, TARGET_WORKSPACES).split()),
    );
    services + routes + workspaces + balancers + chunks
}

/// Mean time of single steps, which counts as their processor time, and the size of a report.
struct StepCosts {
    /// Encoding and decoding a report.
    codec_micros: f64,
    /// Evaluating a report.
    evaluation_micros: f64,
    /// Computing the collector of one service.
    assignment_micros: f64,
    /// Rebuilding the routes after a change.
    rebuild_micros: f64,
    /// Size of an encoded report.
    report_bytes: f64,
}

fn measure_steps(sink: &mut RowSink<'_>) -> StepCosts {
    let counts: BTreeMap<ids::UpstreamId, EvidenceCount> = [(
        parse_id("upstream-0000-00"),
        EvidenceCount {
            earlier: 0,
            good: 1,
            bad: 0,
        },
    )]
    .into();
    let report = EvidenceReport {
        service: parse_id("service-0000"),
        observer: parse_id("centre-0"),
        counts,
        latency_micros: Some(20_000),
    };
    let bytes = node::wire::encode(&node::wire::NodeRequest::Evidence(vec![report.clone()]))
        .map_or(0, |bytes| bytes.len());
    sink.add_unit_cost(
        "size of a report of one outcome",
        "bytes",
        to_f64(bytes as u64),
    );
    let codec_micros = mean_micros(STEP_ITERATIONS, || {
        let request = node::wire::NodeRequest::Evidence(vec![report.clone()]);
        let bytes = node::wire::encode(&request).unwrap_or_default();
        let decoded: Result<node::wire::NodeRequest, _> = node::wire::decode(&bytes);
        assert!(decoded.is_ok());
    });
    sink.add_unit_cost("encoding and decoding a report", "us", codec_micros);
    let service = sample_config(1, 0, 0).services.into_values().next();
    let Some(service) = service else {
        unreachable!("the sample has one service")
    };
    let mut detector = OutlierDetector::new(Instant::now(), service, 7);
    let observe_micros = mean_micros(STEP_ITERATIONS, || {
        detector.observe(Instant::now(), &report);
    });
    let decide_micros = mean_micros(STEP_ITERATIONS / 10, || {
        assert!(detector.decide(Instant::now()).is_empty());
    });
    sink.add_unit_cost("evaluating a report", "us", observe_micros);
    sink.add_unit_cost("deciding over one service", "us", decide_micros);
    let table = member_table(580);
    let local_members: Vec<_> = table
        .available(Instant::now())
        .into_iter()
        .take(83)
        .collect();
    let assignment_micros = mean_micros(200, || {
        assert!(MemberTable::collector_among(&parse_id("service-0000"), &local_members).is_some());
    });
    sink.add_unit_cost(
        "drawing the collector of one service",
        "us",
        assignment_micros,
    );
    permits::measure(sink, &table);
    let config = sample_config(TARGET_SERVICES, TARGET_ROUTES, TARGET_WORKSPACES);
    let rebuild_micros = mean_micros(5, || {
        let table = RouteTable::build(&config);
        drop(table);
        drop(config.clone());
    });
    sink.add_unit_cost("rebuilding routes after a change", "us", rebuild_micros);
    StepCosts {
        codec_micros,
        evaluation_micros: observe_micros + decide_micros,
        assignment_micros,
        rebuild_micros,
        report_bytes: to_f64(bytes as u64),
    }
}

/// Returns the mean duration of a step in microseconds.
pub(crate) fn mean_micros(iterations: u32, mut step: impl FnMut()) -> f64 {
    let start = std::time::Instant::now();
    for _ in 0..iterations {
        step();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

/// Builds the member table of a fleet of `count` nodes in seven data centres.
fn member_table(count: usize) -> MemberTable {
    let member = |number: usize| Member {
        node: parse_id(&format!("node-{number:03}")),
        address: ([127, 0, 0, 1], 7400).into(),
        data_centre: parse_id(&format!("centre-{}", number % 7)),
        leaving: false,
        capacity: NodeCapacity::default(),
    };
    let mut table = MemberTable::new(member(0));
    table.replace((0..count).map(member).collect());
    table
}

/// Measures the processor time of one probe in microseconds, client and server together.
async fn measure_probe(sink: &mut RowSink<'_>) -> std::io::Result<f64> {
    let testbed = Testbed::start(TestbedPlan::single_node(vec![ServicePlan::lookups(
        "view", "/view", 1,
    )]))
    .await?;
    let address = testbed.upstream("view-0").standin.address();
    let processor_before = processor_time();
    for _ in 0..PROBE_COUNT {
        let request = testbed::ClientRequest::get("/healthz");
        testbed::CallerClient::new(address).call(request).await;
    }
    let probe_micros = processor_time()
        .saturating_sub(processor_before)
        .as_secs_f64()
        * 1e6
        / f64::from(PROBE_COUNT);
    sink.add_unit_cost(
        "probing an upstream over a new connection",
        "us",
        probe_micros,
    );
    Ok(probe_micros)
}

/// The cost of an idle fleet of one size.
struct IdleCost {
    /// Nodes of the fleet.
    nodes: f64,
    /// Processor time of a node, in percent of a core.
    core_percent: f64,
    /// Bytes of messages that a node sends per second.
    bytes_per_second: f64,
    /// Platform calls of the fleet per second.
    calls_per_second: f64,
    /// Memory of a node for each peer, in megabytes.
    peer_megabytes: f64,
}

/// Measures idle fleets of each size; returns the cost extrapolated to the target size.
async fn measure_fleet(
    sink: &mut RowSink<'_>,
    settings: &LabSettings,
) -> std::io::Result<IdleCost> {
    let span = Duration::from_secs(settings.seconds.clamp(4, 60));
    let mut measured: Vec<IdleCost> = Vec::new();
    for nodes in NODES_PER_DATA_CENTRE {
        let plan = TestbedPlan {
            seed: settings.seed,
            ..TestbedPlan::three_data_centres(nodes, vec![ServicePlan::lookups("view", "/view", 3)])
        };
        let resident_before = resident_bytes();
        let testbed = Testbed::start(plan).await?;
        time::sleep(Duration::from_secs(8)).await;
        let count = to_f64(nodes as u64 * 3);
        let (processor_before, bytes_before, calls_before) = (
            processor_time(),
            sent_bytes(&testbed),
            testbed.platform.calls().await,
        );
        time::sleep(span).await;
        let seconds = span.as_secs_f64();
        let core_percent = processor_time()
            .saturating_sub(processor_before)
            .as_secs_f64()
            / seconds
            / count
            * 100.0;
        let bytes_per_second = (sent_bytes(&testbed) - bytes_before) / seconds / count;
        let calls_after: u64 = testbed.platform.calls().await.values().sum();
        let calls_per_second = to_f64(calls_after - calls_before.values().sum::<u64>()) / seconds;
        let node_megabytes = to_f64(resident_bytes().saturating_sub(resident_before)) / 1e6 / count;
        let case = format!("idle fleet of {count} nodes");
        sink.add(
            &case,
            "processor time of a node",
            "% of core",
            core_percent,
            Bound::Unbounded,
        );
        sink.add(
            &case,
            "message bytes of a node",
            "bytes/s",
            bytes_per_second,
            Bound::Unbounded,
        );
        sink.add(
            &case,
            "platform calls of the fleet",
            "calls/s",
            calls_per_second,
            Bound::Unbounded,
        );
        sink.add(
            &case,
            "memory of a node",
            "MB",
            node_megabytes,
            Bound::Unbounded,
        );
        measured.push(IdleCost {
            nodes: count,
            core_percent,
            bytes_per_second,
            calls_per_second,
            peer_megabytes: node_megabytes / count,
        });
        let mut testbed = testbed;
        for entry in std::mem::take(&mut testbed.entries).into_values() {
            entry.kill();
        }
    }
    let (Some(large), Some(middle)) = (measured.pop(), measured.pop()) else {
        unreachable!("three fleets were measured")
    };
    Ok(large.extrapolate(&middle))
}

impl IdleCost {
    /// Extrapolates to the target size along the line through this fleet and a smaller one.
    /// The platform calls and the memory of a peer are taken over as they are.
    fn extrapolate(&self, smaller: &Self) -> Self {
        let ratio = (TARGET_NODES - self.nodes) / (self.nodes - smaller.nodes);
        let extrapolate = |large: f64, small: f64| large + (large - small).max(0.0) * ratio;
        Self {
            nodes: TARGET_NODES,
            core_percent: extrapolate(self.core_percent, smaller.core_percent),
            bytes_per_second: extrapolate(self.bytes_per_second, smaller.bytes_per_second),
            calls_per_second: self.calls_per_second,
            peer_megabytes: self.peer_megabytes,
        }
    }
}

/// Returns the message bytes that all nodes have sent so far.
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

/// Adds the costs of a node at the target size, as the sums of the measured costs.
fn add_target_rows(
    sink: &mut RowSink<'_>,
    config_megabytes: f64,
    costs: &StepCosts,
    probe_micros: f64,
    idle: &IdleCost,
) {
    let case = "580 nodes, 500 services, 8500 upstreams";
    let local_nodes = TARGET_NODES / TARGET_DATA_CENTRES;
    let outcomes_per_second = TARGET_REQUESTS_PER_SECOND / TARGET_NODES;
    // Each outcome is reported by its node, received by a collector and exchanged with the
    // collectors of the other data centres. Sums without a failure are exchanged every 2 s.
    let services_collected = to_f64(TARGET_SERVICES as u64) / local_nodes;
    let exchanges_per_second = services_collected * (TARGET_DATA_CENTRES - 1.0) / 2.0;
    let reports_per_second = outcomes_per_second * 2.0 + exchanges_per_second * 2.0;
    let assignments =
        to_f64(TARGET_SERVICES as u64) + services_collected * (TARGET_DATA_CENTRES - 1.0);
    let assignment_micros = assignments * costs.assignment_micros / ASSIGNMENT_INTERVAL_SECONDS;
    let rebuild_micros = costs.rebuild_micros * TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let probes_per_second = to_f64((TARGET_SERVICES * UPSTREAMS_PER_SERVICE) as u64)
        * PROBING_DATA_CENTRES
        / TARGET_NODES
        / PROBE_INTERVAL_SECONDS;
    let micros_per_second = reports_per_second * (costs.codec_micros + costs.evaluation_micros)
        + assignment_micros
        + rebuild_micros
        + probes_per_second * probe_micros;
    let core_percent = idle.core_percent + micros_per_second / 1e6 * 100.0;
    sink.add(
        case,
        "processor time of control",
        "% of core",
        core_percent,
        Bound::AtMost(CORE_PERCENT_MAX),
    );
    let peers = local_nodes + TARGET_DATA_CENTRES * services_collected;
    let megabytes = config_megabytes + peers * idle.peer_megabytes;
    sink.add(
        case,
        "memory of control",
        "MB",
        megabytes,
        Bound::AtMost(MEMORY_MEGABYTES_MAX),
    );
    let config_bytes_per_second = 70_000.0 * TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
    // Counts of successes are reported every 0.3 s in a fleet of 48 nodes. The interval grows
    // in proportion to a larger fleet, so that one message carries several of them.
    let success_interval_seconds = 0.3 * TARGET_NODES / 48.0;
    let messages_per_second =
        outcomes_per_second.min(local_nodes / success_interval_seconds) + exchanges_per_second;
    let content_bytes_per_second =
        (outcomes_per_second + exchanges_per_second) * costs.report_bytes;
    let bytes_per_second = idle.bytes_per_second
        + messages_per_second * MESSAGE_OVERHEAD_BYTES
        + content_bytes_per_second
        + config_bytes_per_second;
    sink.add(
        case,
        "bytes of control sent",
        "bytes/s",
        bytes_per_second,
        Bound::AtMost(SENT_BYTES_PER_SECOND_MAX),
    );
    // Each node reads the member list every 5 s in a fleet of 48 nodes; the interval grows in
    // proportion to a larger fleet. In each data centre, two relays watch the configuration,
    // with a timeout of 20 s.
    let polls_per_second = TARGET_NODES / (5.0 * (TARGET_NODES / 48.0));
    let watches_per_second = 2.0 * TARGET_DATA_CENTRES / 20.0;
    sink.add(
        case,
        "platform reads",
        "calls/s",
        polls_per_second + watches_per_second,
        Bound::AtMost(2_000.0),
    );
    let measured = idle.calls_per_second;
    sink.add(
        "96 nodes",
        "platform reads",
        "calls/s",
        measured,
        Bound::AtMost(2_000.0),
    );
}
