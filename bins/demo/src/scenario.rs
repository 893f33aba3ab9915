//! What happens in the demo, and when.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use model::config::UpstreamState;
use operator::change::ConfigStep;
use standin::platform_api::PlatformFaults;
use standin::upstream_server::GrayMode;
use testbed::fleet::name;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::load::{LoadCaller, LoadTally, Seen};
use crate::report::DemoReport;

/// Callers of the fleet.
const CALLERS: u64 = 16;
/// Callers that talk straight to an upstream, to compare.
const DIRECT_CALLERS: u64 = 2;
/// How long callers send.
const LOAD_SPAN: Duration = Duration::from_secs(14);
/// How long the demo waits for the fleet to notice the gray failure.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the requests of a draining upstream are counted.
const DRAIN_SPAN: Duration = Duration::from_secs(3);
/// How often the requests of one upstream are counted.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Results that wait to be counted.
const SEEN_MAX: usize = 1024;

/// Runs the demo.
pub(crate) async fn run() -> io::Result<DemoReport> {
    println!("Starting 3 data centres with 2 entry nodes each, 9 upstreams, and the platform.");
    let services = vec![
        ServicePlan::lookups("rota-view", "/view", 6),
        ServicePlan::actions("rota-book", "/book", 3),
    ];
    let mut testbed = Testbed::start(TestbedPlan::three_centres(2, services)).await?;
    let start = Instant::now();
    let (nodes, watched) = watch::channel(Arc::new(testbed.caller_addresses()));
    let load = start_load(&watched, start + LOAD_SPAN, CALLERS, true);
    let direct_address = testbed.upstream("rota-view-1").standin.address();
    let (_, direct_nodes) = watch::channel(Arc::new(vec![direct_address]));
    let direct = start_load(&direct_nodes, start + LOAD_SPAN, DIRECT_CALLERS, false);

    at(start, 3).await;
    say(
        start,
        "rota-view-0 now answers every request with an error; its health check is fine.",
    );
    testbed
        .upstream("rota-view-0")
        .standin
        .change(|behaviour| behaviour.gray = GrayMode::Errors);
    let detection = testbed.wait_avoided("rota-view-0", DETECTION_TIMEOUT).await;
    say(
        start,
        &format!("The fleet avoids it after {}.", text_of(detection)),
    );

    at(start, 8).await;
    say(
        start,
        "The platform goes away. Lookups go on; keyed actions are refused as not run.",
    );
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: true,
            lose_answers: 0,
        })
        .await;
    at(start, 10).await;
    testbed.platform.set_faults(PlatformFaults::default()).await;
    say(
        start,
        "The platform is back. rota-view-2 is drained by an operator.",
    );
    let drain = drain(&testbed).await?;
    say(
        start,
        &format!(
            "It got its last new request {} after the change.",
            text_of(drain)
        ),
    );

    say(start, "An entry node stops as planned.");
    if let Some(entry) = testbed.take_entry("lekki-1") {
        nodes.send_replace(Arc::new(testbed.caller_addresses()));
        testbed.list_vms().await;
        entry.stop().await;
        say(start, "It stopped without cutting work in flight.");
    }
    let tally = load.await.map_err(io::Error::other)?;
    let direct = direct.await.map_err(io::Error::other)?;
    let counts = testbed.ledger.counts().await;
    let duplicates = counts.values().filter(|runs| **runs > 1).count();
    let refused = tally.refused_actions.iter();
    let false_refusals = refused
        .filter(|action| counts.contains_key(*action))
        .count();
    Ok(DemoReport {
        tally,
        duplicates,
        false_refusals,
        detection,
        drain,
        direct,
    })
}

fn start_load(
    nodes: &watch::Receiver<Arc<Vec<std::net::SocketAddr>>>,
    until: Instant,
    callers: u64,
    actions: bool,
) -> JoinHandle<LoadTally> {
    let (sender, inbox) = mpsc::channel(SEEN_MAX);
    for number in 0..callers {
        let seen = sender.clone();
        let caller = LoadCaller {
            number,
            nodes: nodes.clone(),
            seen,
            until,
            actions,
        };
        tokio::spawn(caller.run());
    }
    tokio::spawn(tally(inbox))
}

async fn tally(mut inbox: mpsc::Receiver<Seen>) -> LoadTally {
    let mut tally = LoadTally::new();
    while let Some(seen) = inbox.recv().await {
        tally.take(seen);
    }
    tally
}

async fn drain(testbed: &Testbed) -> io::Result<Option<Duration>> {
    let step = ConfigStep::SetState {
        service: name("rota-view"),
        upstream: name("rota-view-2"),
        state: UpstreamState::Draining,
    };
    testbed.change(step).await.map_err(io::Error::other)?;
    Ok(Some(watch_last_request(testbed, "rota-view-2").await))
}

/// Counts the requests of an upstream for a while; returns when the last one came.
async fn watch_last_request(testbed: &Testbed, id: &str) -> Duration {
    let start = Instant::now();
    let standin = &testbed.upstream(id).standin;
    let mut last = (Duration::ZERO, standin.served());
    while start.elapsed() < DRAIN_SPAN {
        time::sleep(WATCH_INTERVAL).await;
        let served = standin.served();
        if served != last.1 {
            last = (start.elapsed(), served);
        }
    }
    last.0
}

async fn at(start: Instant, seconds: u64) {
    time::sleep_until(start + Duration::from_secs(seconds)).await;
}

fn say(start: Instant, text: &str) {
    println!("{:6.2} s  {text}", start.elapsed().as_secs_f64());
}

fn text_of(span: Option<Duration>) -> String {
    span.map_or_else(
        || "too long".to_owned(),
        |span| format!("{:.2} s", span.as_secs_f64()),
    )
}
