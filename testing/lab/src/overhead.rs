//! Latency that an entry node adds, measured beside the direct way, and its throughput.

use std::net::SocketAddr;
use std::time::Duration;

use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::time::Instant;

use crate::load::{OpenLoop, Tally, processor_time};
use crate::report::{Bound, Report, Row, figure};
use crate::settings::LabSettings;

/// Requests a second through one entry node.
const RATE: f64 = 70.0;
/// Connections of the measured load.
const CONNECTIONS: usize = 8;
/// Connections of the saturating load.
const SATURATING_CONNECTIONS: usize = 48;
/// Length of the saturating load.
const SATURATING_SPAN: Duration = Duration::from_secs(4);
/// Length of one turn of the direct or the proxied load.
const TURN: Duration = Duration::from_secs(2);
/// Load before anything is measured.
const WARM_UP: Duration = Duration::from_secs(2);
/// What may be added for 99 requests in 100, in milliseconds.
const ADDED_MILLIS_MAX: f64 = 1.1;

/// Runs the experiment.
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
    let through = testbed.caller_addresses();
    turn(&through, WARM_UP, RATE).await;
    turn(&direct, WARM_UP, RATE).await;
    let mut tallies = (Tally::new(), Tally::new());
    let mut processor = (Duration::ZERO, Duration::ZERO);
    let start = Instant::now();
    while start.elapsed().as_secs() < settings.seconds {
        measure(&mut tallies.0, &mut processor.0, &direct).await;
        measure(&mut tallies.1, &mut processor.1, &through).await;
        report.progress(&format!("{} requests", tallies.1.requests()));
    }
    add_latency_rows(&mut report, &tallies.0, &tallies.1);
    add_processor_rows(&mut report, &tallies, processor);
    saturate(&mut report, &direct, &through).await;
    Ok(report.finish())
}

async fn measure(tally: &mut Tally, processor: &mut Duration, addresses: &[SocketAddr]) {
    let before = processor_time();
    let turn = turn(addresses, TURN, RATE).await;
    *processor += processor_time().saturating_sub(before);
    tally.good += turn.good;
    tally.not_run += turn.not_run;
    tally.failed += turn.failed;
    let _ = tally.latencies.add(&turn.latencies);
}

async fn turn(addresses: &[SocketAddr], span: Duration, rate: f64) -> Tally {
    let load = OpenLoop {
        addresses: addresses.to_vec(),
        rate,
        span,
        connections: CONNECTIONS,
        timeout: Duration::from_secs(10),
    };
    load.run(|number| ClientRequest::get(format!("/stock/{number}")))
        .await
}

fn add_latency_rows(report: &mut Report, direct: &Tally, through: &Tally) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let case = format!("{RATE}/s {name}");
        let mut row = |subject, metric, value, bound| {
            let unit = "ms";
            report.add(Row {
                case: case.clone(),
                subject,
                metric,
                unit,
                value,
                bound,
            });
        };
        row("direct", "latency", direct.millis(quantile), Bound::Free);
        row("ours", "latency", through.millis(quantile), Bound::Free);
        let added = through.millis(quantile) - direct.millis(quantile);
        let bound = if name == "p99" {
            Bound::AtMost(ADDED_MILLIS_MAX)
        } else {
            Bound::Free
        };
        row("ours", "added latency", added, bound);
    }
    let case = format!("{RATE}/s");
    for (subject, tally) in [("direct", direct), ("ours", through)] {
        let mut row = |metric, value, bound| {
            report.add(Row {
                case: case.clone(),
                subject,
                metric,
                unit: "requests",
                value,
                bound,
            });
        };
        row("requests", figure(tally.requests()), Bound::AtLeast(1.0));
        row(
            "errors and cuts",
            figure(tally.not_run + tally.failed),
            Bound::AtMost(0.0),
        );
    }
}

/// The processor time of the whole process, callers and upstreams included; the
/// difference of the two ways is what the node costs.
fn add_processor_rows(
    report: &mut Report,
    tallies: &(Tally, Tally),
    processor: (Duration, Duration),
) {
    let cost = |tally: &Tally, time: Duration| time.as_secs_f64() * 1e6 / figure(tally.requests());
    let direct = cost(&tallies.0, processor.0);
    let through = cost(&tallies.1, processor.1);
    report.add(Row {
        case: format!("{RATE}/s"),
        subject: "ours",
        metric: "processor time added",
        unit: "us/request",
        value: through - direct,
        bound: Bound::Free,
    });
}

async fn saturate(report: &mut Report, direct: &[SocketAddr], through: &[SocketAddr]) {
    let (direct_rate, direct_cost) = closed_loop(direct).await;
    let (rate, cost) = closed_loop(through).await;
    let mut row = |subject, metric, unit, value| {
        let case = format!("saturated, {SATURATING_CONNECTIONS} connections");
        report.add(Row {
            case,
            subject,
            metric,
            unit,
            value,
            bound: Bound::Free,
        });
    };
    row("direct", "throughput", "1/s", direct_rate);
    row("ours", "throughput", "1/s", rate);
    row(
        "ours",
        "processor time added",
        "us/request",
        cost - direct_cost,
    );
    row(
        "ours",
        "throughput per core",
        "1/s",
        1e6 / (cost - direct_cost).max(1.0),
    );
}

/// Requests a second, and processor microseconds for each, with every connection busy.
async fn closed_loop(addresses: &[SocketAddr]) -> (f64, f64) {
    let before = processor_time();
    let start = Instant::now();
    let callers = (0..SATURATING_CONNECTIONS).map(|index| {
        let address = addresses[index % addresses.len()];
        tokio::spawn(async move {
            let mut client = testbed::CallerClient::new(address);
            let mut count = 0_u64;
            while start.elapsed() < SATURATING_SPAN {
                let answer = client
                    .call(ClientRequest::get(format!("/stock/{index}-{count}")))
                    .await;
                count += u64::from(answer.complete && answer.status == 200);
            }
            count
        })
    });
    let mut total = 0;
    for caller in callers.collect::<Vec<_>>() {
        total += caller.await.unwrap_or(0);
    }
    let rate = figure(total) / start.elapsed().as_secs_f64();
    let spent = processor_time().saturating_sub(before);
    (rate, spent.as_secs_f64() * 1e6 / figure(total.max(1)))
}
