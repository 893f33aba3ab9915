//! Overload: load far above the capacity, and the loss of half of the upstreams at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use standin::upstream_server::Behaviour;
use testbed::{CallerClient, ClientRequest, ClientResponse, ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use crate::load::{OpenLoopLoad, RequestTally};
use crate::report::{Bound, Report, ReportRow, to_f64};
use crate::settings::LabSettings;

/// Upstreams of the service.
const UPSTREAMS: usize = 6;
/// Slots of each upstream.
const SLOTS: usize = 4;
/// Time that an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Load as a multiple of the capacity of all upstreams.
const LOAD_FACTORS: [f64; 3] = [0.8, 1.5, 3.0];
/// Minimum goodput, as a share of the requests that the remaining capacity can serve.
const GOODPUT_SHARE_MIN: f64 = 0.9;
/// Limit on the attempts that retries add, as a share of the requests.
const RETRY_SHARE_MAX: f64 = 0.1;
/// Limit on the attempts of a request in the baseline.
const BASELINE_ATTEMPTS_MAX: usize = 4;
/// Timeout of callers, which is longer than the deadline of the service.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the fleet to adapt to the loss of half of the upstreams, before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs every case; each lasts for the given seconds.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("storm", settings);
    for half_lost in [false, true] {
        for load_factor in LOAD_FACTORS {
            for is_baseline in [false, true] {
                let case = StormCase {
                    half_lost,
                    load_factor,
                    is_baseline,
                };
                report.progress(&case.name());
                run_case(&mut report, settings, case).await?;
            }
        }
    }
    Ok(report.finish())
}

#[derive(Debug, Clone, Copy)]
struct StormCase {
    /// Whether half of the upstreams are lost before the measurement.
    half_lost: bool,
    /// Multiple of the capacity of all upstreams.
    load_factor: f64,
    /// Whether the baseline is measured in place of the fleet.
    is_baseline: bool,
}

impl StormCase {
    fn name(self) -> String {
        let upstreams = if self.half_lost {
            "half of the upstreams lost"
        } else {
            "all upstreams"
        };
        format!("{}x load, {upstreams}", self.load_factor)
    }
}

async fn run_case(
    report: &mut Report,
    settings: &LabSettings,
    case: StormCase,
) -> std::io::Result<()> {
    let configure = |behaviour: &mut Behaviour| {
        behaviour.service_time = SERVICE_TIME;
        behaviour.slots = SLOTS;
        behaviour.queue = 2;
    };
    let service = ServicePlan::lookups("rota-view", "/view", UPSTREAMS).with_behaviour(configure);
    let service = ServicePlan {
        deadline: model::span::TimeSpan::from_secs(2),
        ..service
    };
    let plan = TestbedPlan::three_data_centres(1, vec![service]);
    let mut testbed = Testbed::start(TestbedPlan {
        seed: settings.seed,
        ..plan
    })
    .await?;
    let addresses: Vec<SocketAddr> = testbed
        .upstreams
        .values()
        .map(|up| up.link.address())
        .collect();
    let full_capacity = capacity_per_second(UPSTREAMS);
    let load = OpenLoopLoad {
        addresses: testbed.caller_addresses(),
        rate: full_capacity * case.load_factor,
        span: Duration::from_secs(settings.seconds),
        connections: 0,
        timeout: CALLER_TIMEOUT,
    };
    let mut remaining_upstreams = UPSTREAMS;
    if case.half_lost {
        let settling = OpenLoopLoad {
            span: Duration::from_secs(1),
            rate: full_capacity * 0.5,
            ..load.clone()
        };
        settling
            .run(|number| ClientRequest::get(format!("/view/w{number}")))
            .await;
        for id in testbed
            .upstreams
            .keys()
            .take(UPSTREAMS / 2)
            .cloned()
            .collect::<Vec<_>>()
        {
            testbed.upstreams.remove(&id);
        }
        remaining_upstreams -= UPSTREAMS / 2;
        let settling = OpenLoopLoad {
            span: SETTLE_TIME,
            rate: full_capacity * 0.5,
            ..load.clone()
        };
        if !case.is_baseline {
            settling
                .run(|number| ClientRequest::get(format!("/view/s{number}")))
                .await;
        }
    }
    let total_served = |testbed: &Testbed| {
        testbed
            .upstreams
            .values()
            .map(|up| up.standin.request_count())
            .sum::<u64>()
    };
    let (served_before, distinct_before) = (
        total_served(&testbed),
        testbed.ledger.distinct_targets().await,
    );
    let start = Instant::now();
    let tally = if case.is_baseline {
        run_baseline(&load, addresses).await
    } else {
        load.run(|number| ClientRequest::get(format!("/view/{number}")))
            .await
    };
    let elapsed = start.elapsed();
    let attempts = total_served(&testbed) - served_before;
    let distinct_requests = testbed.ledger.distinct_targets().await - distinct_before;
    let servable_requests = to_f64(tally.requests())
        .min(capacity_per_second(remaining_upstreams) * elapsed.as_secs_f64());
    add_rows(
        report,
        case,
        &tally,
        servable_requests,
        attempts,
        distinct_requests,
    );
    Ok(())
}

/// Requests per second that this number of upstreams can serve.
fn capacity_per_second(upstreams: usize) -> f64 {
    to_f64((upstreams * SLOTS) as u64) / SERVICE_TIME.as_secs_f64()
}

fn add_rows(
    report: &mut Report,
    case: StormCase,
    tally: &RequestTally,
    servable_requests: f64,
    attempts: u64,
    distinct_requests: u64,
) {
    let goodput = to_f64(tally.successful) / servable_requests;
    let retry_share = to_f64(attempts) / to_f64(distinct_requests.max(1)) - 1.0;
    let subject = if case.is_baseline {
        "round robin, 4 tries"
    } else {
        "ours"
    };
    let mut row = |metric, unit, value, bound| {
        report.add(ReportRow {
            case: case.name(),
            subject,
            metric,
            unit,
            value,
            bound,
        });
    };
    let bound = |bound| {
        if case.is_baseline {
            Bound::Unbounded
        } else {
            bound
        }
    };
    row(
        "goodput",
        "of possible",
        goodput,
        bound(Bound::AtLeast(GOODPUT_SHARE_MIN)),
    );
    row(
        "attempts added by retries",
        "of requests",
        retry_share,
        bound(Bound::AtMost(RETRY_SHARE_MAX)),
    );
    row(
        "requests",
        "requests",
        to_f64(tally.requests()),
        Bound::Unbounded,
    );
    row(
        "told not run",
        "requests",
        to_f64(tally.not_run),
        Bound::Unbounded,
    );
    row(
        "failed or unknown",
        "requests",
        to_f64(tally.failed),
        Bound::Unbounded,
    );
    row(
        "latency p99",
        "ms",
        tally.latency_millis(0.99),
        Bound::Unbounded,
    );
}

/// Sends the load as the baseline does: upstreams in turn, and an immediate retry after
/// each failed attempt.
async fn run_baseline(load: &OpenLoopLoad, upstreams: Vec<SocketAddr>) -> RequestTally {
    let turn_count = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while start.elapsed() < load.span {
        let due = start + Duration::from_secs_f64(to_f64(number) / load.rate);
        time::sleep_until(due).await;
        let (turn_count, upstreams) = (Arc::clone(&turn_count), upstreams.clone());
        let target = format!("/view/n{number}");
        calls.spawn(async move {
            (
                call_with_retries(&turn_count, &upstreams, &target).await,
                due.elapsed(),
            )
        });
        number += 1;
    }
    let mut tally = RequestTally::new();
    while let Some(Ok((response, latency))) = calls.join_next().await {
        tally.record(&response, latency);
    }
    tally
}

/// Sends one request, and retries it until it succeeds, [`BASELINE_ATTEMPTS_MAX`] attempts
/// have been made or the timeout has passed.
async fn call_with_retries(
    turn_count: &AtomicUsize,
    upstreams: &[SocketAddr],
    target: &str,
) -> ClientResponse {
    let start = Instant::now();
    let mut attempts = 0;
    loop {
        let turn = turn_count.fetch_add(1, Ordering::Relaxed) % upstreams.len();
        let remaining = CALLER_TIMEOUT.saturating_sub(start.elapsed());
        let request = ClientRequest {
            timeout: remaining,
            ..ClientRequest::get(target)
        };
        let response = CallerClient::new(upstreams[turn]).call(request).await;
        attempts += 1;
        let successful = response.complete && response.status == 200;
        if successful || attempts == BASELINE_ATTEMPTS_MAX || start.elapsed() >= CALLER_TIMEOUT {
            return response;
        }
    }
}
