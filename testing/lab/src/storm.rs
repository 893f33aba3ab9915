//! Load far above the capacity, and half of the upstreams lost at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use standin::upstream_server::Behaviour;
use testbed::{CallerClient, ClientRequest, ClientResponse, ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use crate::load::{OpenLoop, Tally};
use crate::report::{Bound, Report, Row, figure};
use crate::settings::LabSettings;

/// Upstreams of the service.
const UPSTREAMS: usize = 6;
/// Slots of each upstream.
const SLOTS: usize = 4;
/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Load as a multiple of the capacity.
const LOADS: [f64; 3] = [0.8, 1.5, 3.0];
/// The least goodput, as a share of what the remaining capacity can serve.
const GOODPUT_MIN: f64 = 0.9;
/// The most that retries may add to the upstreams' load.
const RETRY_SHARE_MAX: f64 = 0.1;
/// How often the naive way tries.
const NAIVE_TRIES: usize = 4;
/// How long callers wait: somewhat longer than the service's deadline.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the fleet gets to settle after half of the upstreams are lost.
const SETTLE: Duration = Duration::from_secs(2);

/// Runs the experiment.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("storm", settings);
    for lost in [false, true] {
        for load in LOADS {
            for naive in [false, true] {
                let case = Case { lost, load, naive };
                report.progress(&case.name());
                run_case(&mut report, settings, case).await?;
            }
        }
    }
    Ok(report.finish())
}

#[derive(Debug, Clone, Copy)]
struct Case {
    lost: bool,
    load: f64,
    naive: bool,
}

impl Case {
    fn name(self) -> String {
        let upstreams = if self.lost {
            "half of the upstreams lost"
        } else {
            "all upstreams"
        };
        format!("{}x load, {upstreams}", self.load)
    }
}

async fn run_case(report: &mut Report, settings: &LabSettings, case: Case) -> std::io::Result<()> {
    let behave = |behaviour: &mut Behaviour| {
        behaviour.service_time = SERVICE_TIME;
        behaviour.slots = SLOTS;
        behaviour.queue = 2;
    };
    let service = ServicePlan::lookups("rota-view", "/view", UPSTREAMS).with_behaviour(behave);
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
    let every: Vec<SocketAddr> = testbed
        .upstreams
        .values()
        .map(|up| up.link.address())
        .collect();
    let full = capacity(UPSTREAMS);
    let load = OpenLoop {
        addresses: testbed.caller_addresses(),
        rate: full * case.load,
        span: Duration::from_secs(settings.seconds),
        connections: 0,
        timeout: TIMEOUT,
    };
    let mut left = UPSTREAMS;
    if case.lost {
        let settling = OpenLoop {
            span: Duration::from_secs(1),
            rate: full * 0.5,
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
        left -= UPSTREAMS / 2;
        let settling = OpenLoop {
            span: SETTLE,
            rate: full * 0.5,
            ..load.clone()
        };
        if !case.naive {
            settling
                .run(|number| ClientRequest::get(format!("/view/s{number}")))
                .await;
        }
    }
    let served = |testbed: &Testbed| {
        testbed
            .upstreams
            .values()
            .map(|up| up.standin.request_count())
            .sum::<u64>()
    };
    let before = (served(&testbed), testbed.ledger.distinct_targets().await);
    let start = Instant::now();
    let tally = if case.naive {
        naive(&load, every).await
    } else {
        load.run(|number| ClientRequest::get(format!("/view/{number}")))
            .await
    };
    let spent = start.elapsed();
    let contacts = served(&testbed) - before.0;
    let distinct = testbed.ledger.distinct_targets().await - before.1;
    let possible = figure(tally.requests()).min(capacity(left) * spent.as_secs_f64());
    add_rows(report, case, &tally, possible, contacts, distinct);
    Ok(())
}

/// Requests a second that some upstreams can serve.
fn capacity(upstreams: usize) -> f64 {
    figure((upstreams * SLOTS) as u64) / SERVICE_TIME.as_secs_f64()
}

fn add_rows(
    report: &mut Report,
    case: Case,
    tally: &Tally,
    possible: f64,
    contacts: u64,
    distinct: u64,
) {
    let goodput = figure(tally.good) / possible;
    let repeated = figure(contacts) / figure(distinct.max(1)) - 1.0;
    let subject = if case.naive {
        "round robin, 4 tries"
    } else {
        "ours"
    };
    let mut row = |metric, unit, value, bound| {
        report.add(Row {
            case: case.name(),
            subject,
            metric,
            unit,
            value,
            bound,
        });
    };
    let bound = |bound| if case.naive { Bound::Free } else { bound };
    row(
        "goodput",
        "of possible",
        goodput,
        bound(Bound::AtLeast(GOODPUT_MIN)),
    );
    row(
        "attempts added by retries",
        "of requests",
        repeated,
        bound(Bound::AtMost(RETRY_SHARE_MAX)),
    );
    row(
        "requests",
        "requests",
        figure(tally.requests()),
        Bound::Free,
    );
    row(
        "told not run",
        "requests",
        figure(tally.not_run),
        Bound::Free,
    );
    row(
        "failed or unknown",
        "requests",
        figure(tally.failed),
        Bound::Free,
    );
    row("latency p99", "ms", tally.millis(0.99), Bound::Free);
}

/// Takes turns over all upstreams and tries again at once when a try fails.
async fn naive(load: &OpenLoop, upstreams: Vec<SocketAddr>) -> Tally {
    let turns = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while start.elapsed() < load.span {
        let due = start + Duration::from_secs_f64(figure(number) / load.rate);
        time::sleep_until(due).await;
        let (turns, upstreams) = (Arc::clone(&turns), upstreams.clone());
        let target = format!("/view/n{number}");
        calls.spawn(async move { (naive_call(&turns, &upstreams, &target).await, due.elapsed()) });
        number += 1;
    }
    let mut tally = Tally::new();
    while let Some(Ok((answer, latency))) = calls.join_next().await {
        tally.take(&answer, latency);
    }
    tally
}

async fn naive_call(turns: &AtomicUsize, upstreams: &[SocketAddr], target: &str) -> ClientResponse {
    let start = Instant::now();
    let mut tries = 0;
    loop {
        let turn = turns.fetch_add(1, Ordering::Relaxed) % upstreams.len();
        let left = TIMEOUT.saturating_sub(start.elapsed());
        let request = ClientRequest {
            timeout: left,
            ..ClientRequest::get(target)
        };
        let answer = CallerClient::new(upstreams[turn]).call(request).await;
        tries += 1;
        let good = answer.complete && answer.status == 200;
        if good || tries == NAIVE_TRIES || start.elapsed() >= TIMEOUT {
            return answer;
        }
    }
}
