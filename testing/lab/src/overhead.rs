//! Latency added by an entry node, compared with direct requests to the upstreams, and its
//! throughput.

use std::net::SocketAddr;
use std::time::Duration;

use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::time::Instant;

use crate::load::{OpenLoopLoad, RequestTally, processor_time};
use crate::report::{Bound, Report, ReportRow, to_f64};
use crate::settings::LabSettings;

/// Request rate of the measured load, in requests per second.
const REQUEST_RATE: f64 = 70.0;
/// Connections of the measured load.
const CONNECTIONS: usize = 8;
/// Connections of the saturating load.
const SATURATING_CONNECTIONS: usize = 48;
/// Length of the saturating load.
const SATURATING_SPAN: Duration = Duration::from_secs(4);
/// Length of each phase; direct and proxied load alternate.
const PHASE_SPAN: Duration = Duration::from_secs(2);
/// Length of the direct and of the proxied load that precede the measurement.
const WARM_UP_SPAN: Duration = Duration::from_secs(2);
/// Limit on the latency added at the 99th percentile, in milliseconds.
const ADDED_MILLIS_MAX: f64 = 1.1;

/// Runs the experiment; the seconds set the length of the measured load.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("overhead", settings);
    let services = vec![
        ServicePlan::lookups("stocklist", "/stock", 6).with_behaviour(|behaviour| {
            behaviour.service_time = Duration::ZERO;
            behaviour.slots = 64;
        }),
    ];
    let plan = TestbedPlan {
        seed: settings.seed,
        ..TestbedPlan::single_node(services)
    };
    let testbed = Testbed::start(plan).await?;
    let direct: Vec<SocketAddr> = testbed
        .upstreams
        .values()
        .map(|upstream| upstream.standin.address())
        .collect();
    let proxied = testbed.caller_addresses();
    run_load(&proxied, WARM_UP_SPAN, REQUEST_RATE).await;
    run_load(&direct, WARM_UP_SPAN, REQUEST_RATE).await;
    let mut tallies = (RequestTally::new(), RequestTally::new());
    let mut processor_used = (Duration::ZERO, Duration::ZERO);
    let start = Instant::now();
    while start.elapsed().as_secs() < settings.seconds {
        measure(&mut tallies.0, &mut processor_used.0, &direct).await;
        measure(&mut tallies.1, &mut processor_used.1, &proxied).await;
        report.progress(&format!("{} requests", tallies.1.requests()));
    }
    add_latency_rows(&mut report, &tallies.0, &tallies.1);
    add_processor_rows(&mut report, &tallies, processor_used);
    saturate(&mut report, &direct, &proxied).await;
    Ok(report.finish())
}

/// Runs one phase and adds its outcomes and processor time to the totals.
async fn measure(
    tally: &mut RequestTally,
    processor_used: &mut Duration,
    addresses: &[SocketAddr],
) {
    let before = processor_time();
    let phase = run_load(addresses, PHASE_SPAN, REQUEST_RATE).await;
    *processor_used += processor_time().saturating_sub(before);
    tally.successful += phase.successful;
    tally.not_run += phase.not_run;
    tally.failed += phase.failed;
    let _ = tally.latencies.add(&phase.latencies);
}

/// Sends requests at a rate over [`CONNECTIONS`] connections.
async fn run_load(addresses: &[SocketAddr], span: Duration, rate: f64) -> RequestTally {
    let load = OpenLoopLoad {
        addresses: addresses.to_vec(),
        rate,
        span,
        connections: CONNECTIONS,
        timeout: Duration::from_secs(10),
    };
    load.run(|number| ClientRequest::get(format!("/stock/{number}")))
        .await
}

fn add_latency_rows(report: &mut Report, direct: &RequestTally, proxied: &RequestTally) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let case = format!("{REQUEST_RATE}/s {name}");
        let mut row = |subject, metric, value, bound| {
            let unit = "ms";
            report.add(ReportRow {
                case: case.clone(),
                subject,
                metric,
                unit,
                value,
                bound,
            });
        };
        row(
            "direct",
            "latency",
            direct.latency_millis(quantile),
            Bound::Unbounded,
        );
        row(
            "ours",
            "latency",
            proxied.latency_millis(quantile),
            Bound::Unbounded,
        );
        let added = proxied.latency_millis(quantile) - direct.latency_millis(quantile);
        let bound = if name == "p99" {
            Bound::AtMost(ADDED_MILLIS_MAX)
        } else {
            Bound::Unbounded
        };
        row("ours", "added latency", added, bound);
    }
    let case = format!("{REQUEST_RATE}/s");
    for (subject, tally) in [("direct", direct), ("ours", proxied)] {
        let mut row = |metric, value, bound| {
            report.add(ReportRow {
                case: case.clone(),
                subject,
                metric,
                unit: "requests",
                value,
                bound,
            });
        };
        row("requests", to_f64(tally.requests()), Bound::AtLeast(1.0));
        row(
            "errors and cuts",
            to_f64(tally.not_run + tally.failed),
            Bound::AtMost(0.0),
        );
    }
}

/// Adds the processor time that the entry node costs for each request. The whole process is
/// measured, callers and upstreams included, so the cost is the difference between the
/// proxied and the direct load.
fn add_processor_rows(
    report: &mut Report,
    tallies: &(RequestTally, RequestTally),
    processor_used: (Duration, Duration),
) {
    let cost =
        |tally: &RequestTally, time: Duration| time.as_secs_f64() * 1e6 / to_f64(tally.requests());
    let direct = cost(&tallies.0, processor_used.0);
    let proxied = cost(&tallies.1, processor_used.1);
    report.add(ReportRow {
        case: format!("{REQUEST_RATE}/s"),
        subject: "ours",
        metric: "processor time added",
        unit: "us/request",
        value: proxied - direct,
        bound: Bound::Unbounded,
    });
}

/// Measures the throughput with every connection busy, direct and proxied.
async fn saturate(report: &mut Report, direct: &[SocketAddr], proxied: &[SocketAddr]) {
    let (direct_rate, direct_cost) = closed_loop(direct).await;
    let (proxied_rate, proxied_cost) = closed_loop(proxied).await;
    let mut row = |subject, metric, unit, value| {
        let case = format!("saturated, {SATURATING_CONNECTIONS} connections");
        report.add(ReportRow {
            case,
            subject,
            metric,
            unit,
            value,
            bound: Bound::Unbounded,
        });
    };
    row("direct", "throughput", "1/s", direct_rate);
    row("ours", "throughput", "1/s", proxied_rate);
    row(
        "ours",
        "processor time added",
        "us/request",
        proxied_cost - direct_cost,
    );
    row(
        "ours",
        "throughput per core",
        "1/s",
        1e6 / (proxied_cost - direct_cost).max(1.0),
    );
}

/// Returns the requests per second and the processor microseconds for each, when every
/// connection sends its next request as soon as it has a response.
async fn closed_loop(addresses: &[SocketAddr]) -> (f64, f64) {
    let before = processor_time();
    let start = Instant::now();
    let callers = (0..SATURATING_CONNECTIONS).map(|index| {
        let address = addresses[index % addresses.len()];
        tokio::spawn(async move {
            let mut client = testbed::CallerClient::new(address);
            let mut count = 0_u64;
            while start.elapsed() < SATURATING_SPAN {
                let response = client
                    .call(ClientRequest::get(format!("/stock/{index}-{count}")))
                    .await;
                count += u64::from(response.complete && response.status == 200);
            }
            count
        })
    });
    let mut total = 0;
    for caller in callers.collect::<Vec<_>>() {
        total += caller.await.unwrap_or(0);
    }
    let rate = to_f64(total) / start.elapsed().as_secs_f64();
    let processor_used = processor_time().saturating_sub(before);
    (
        rate,
        processor_used.as_secs_f64() * 1e6 / to_f64(total.max(1)),
    )
}
