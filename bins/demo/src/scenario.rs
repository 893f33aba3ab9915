//! The scenario of the demo: load, faults and when they occur.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use model::config::UpstreamState;
use operator::change::ConfigStep;
use standin::platform_api::PlatformFaults;
use standin::upstream_server::GrayMode;
use testbed::fleet::parse_id;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::load::{LoadCaller, LoadTally, RequestResult};
use crate::report::DemoReport;

/// Number of callers that send requests through the fleet.
const CALLERS: u64 = 16;
/// Number of callers that send requests directly to an upstream, to compare latencies.
const DIRECT_CALLERS: u64 = 2;
/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(14);
/// Timeout for the fleet to detect the gray failure.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a draining upstream is watched for new requests.
const DRAIN_WATCH_DURATION: Duration = Duration::from_secs(3);
/// How often the request count of a draining upstream is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the queue of results that wait to be counted.
const RESULTS_MAX: usize = 1024;

/// Runs the demo.
pub(crate) async fn run() -> io::Result<DemoReport> {
    println!("Starting 3 data centres with 2 entry nodes each, 9 upstreams, and the platform.");
    let services = vec![
        ServicePlan::lookups("rota-view", "/view", 6),
        ServicePlan::actions("rota-book", "/book", 3),
    ];
    let mut testbed = Testbed::start(TestbedPlan::three_data_centres(2, services)).await?;
    let start = Instant::now();
    let (nodes, nodes_receiver) = watch::channel(Arc::new(testbed.caller_addresses()));
    let load = start_load(&nodes_receiver, start + LOAD_DURATION, CALLERS, true);
    let direct_address = testbed.upstream("rota-view-1").standin.address();
    let (_, direct_nodes) = watch::channel(Arc::new(vec![direct_address]));
    let direct = start_load(&direct_nodes, start + LOAD_DURATION, DIRECT_CALLERS, false);

    sleep_until_second(start, 3).await;
    print_event(
        start,
        "rota-view-0 now responds to every request with an error; its health checks succeed.",
    );
    testbed
        .upstream("rota-view-0")
        .standin
        .change_behaviour(|behaviour| behaviour.gray = GrayMode::Errors);
    let detection_time = testbed.wait_avoided("rota-view-0", DETECTION_TIMEOUT).await;
    print_event(
        start,
        &format!(
            "Detection by all nodes took {}.",
            format_seconds(detection_time)
        ),
    );

    sleep_until_second(start, 8).await;
    print_event(
        start,
        "The platform becomes unavailable. Lookups continue; actions with a key are rejected as not run.",
    );
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: true,
            lose_responses: 0,
        })
        .await;
    sleep_until_second(start, 10).await;
    testbed.platform.set_faults(PlatformFaults::default()).await;
    print_event(
        start,
        "The platform is available again. An operator drains rota-view-2.",
    );
    let drain_time = drain(&testbed).await?;
    print_event(
        start,
        &format!(
            "It received its last new request {} after the change.",
            format_seconds(drain_time)
        ),
    );

    print_event(start, "An entry node is stopped gracefully.");
    if let Some(entry) = testbed.remove_entry("lekki-1") {
        nodes.send_replace(Arc::new(testbed.caller_addresses()));
        testbed.publish_vms().await;
        entry.stop().await;
        print_event(
            start,
            "The node has stopped and completed its requests in flight.",
        );
    }
    let tally = load.await.map_err(io::Error::other)?;
    let direct = direct.await.map_err(io::Error::other)?;
    let counts = testbed.ledger.run_counts().await;
    let duplicates = counts.values().filter(|runs| **runs > 1).count();
    let not_run = tally.not_run_actions.iter();
    let false_not_run = not_run
        .filter(|action| counts.contains_key(*action))
        .count();
    Ok(DemoReport {
        tally,
        duplicates,
        false_not_run,
        detection_time,
        drain_time,
        direct,
    })
}

/// Starts callers and returns the task that counts their results.
fn start_load(
    nodes: &watch::Receiver<Arc<Vec<std::net::SocketAddr>>>,
    end: Instant,
    callers: u64,
    sends_actions: bool,
) -> JoinHandle<LoadTally> {
    let (sender, inbox) = mpsc::channel(RESULTS_MAX);
    for number in 0..callers {
        let results = sender.clone();
        let caller = LoadCaller {
            number,
            nodes: nodes.clone(),
            results,
            end,
            sends_actions,
        };
        tokio::spawn(caller.run());
    }
    tokio::spawn(count_results(inbox))
}

/// Counts results until every caller has ended.
async fn count_results(mut inbox: mpsc::Receiver<RequestResult>) -> LoadTally {
    let mut tally = LoadTally::new();
    while let Some(result) = inbox.recv().await {
        tally.record(result);
    }
    tally
}

/// Drains an upstream; returns the time until its last new request.
async fn drain(testbed: &Testbed) -> io::Result<Option<Duration>> {
    let step = ConfigStep::SetState {
        service: parse_id("rota-view"),
        upstream: parse_id("rota-view-2"),
        state: UpstreamState::Draining,
    };
    testbed.commit(step).await.map_err(io::Error::other)?;
    Ok(Some(watch_last_request(testbed, "rota-view-2").await))
}

/// Watches an upstream; returns the time until the last new request that it received.
async fn watch_last_request(testbed: &Testbed, id: &str) -> Duration {
    let start = Instant::now();
    let standin = &testbed.upstream(id).standin;
    let (mut last_request, mut last_count) = (Duration::ZERO, standin.request_count());
    while start.elapsed() < DRAIN_WATCH_DURATION {
        time::sleep(WATCH_INTERVAL).await;
        let count = standin.request_count();
        if count != last_count {
            (last_request, last_count) = (start.elapsed(), count);
        }
    }
    last_request
}

async fn sleep_until_second(start: Instant, seconds: u64) {
    time::sleep_until(start + Duration::from_secs(seconds)).await;
}

/// Prints an event with the time since the start.
fn print_event(start: Instant, text: &str) {
    println!("{:6.2} s  {text}", start.elapsed().as_secs_f64());
}

fn format_seconds(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "longer than the timeout".to_owned(),
        |duration| format!("{:.2} s", duration.as_secs_f64()),
    )
}
