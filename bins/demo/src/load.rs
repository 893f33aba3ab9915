//! Callers that send lookups and once-only actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use testbed::{CallerClient, ClientAnswer, ClientRequest};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// Pause between two requests of one caller.
const PACE: Duration = Duration::from_millis(40);
/// One request in this many is an action.
const ACTION_ONE_IN: u32 = 4;
/// One action in this many is sent again under its key, through another node.
const REPEAT_ONE_IN: u32 = 5;
/// The longest latency that is told apart, in microseconds.
const LATENCY_MICROS_MAX: u64 = 60_000_000;

/// What callers saw.
pub(crate) struct LoadTally {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) cut: u64,
    pub(crate) server_errors: u64,
    pub(crate) wrong: u64,
    /// Actions that every caller of them was told had not run.
    pub(crate) refused_actions: Vec<String>,
    pub(crate) latencies: Histogram<u64>,
}

impl LoadTally {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_MICROS_MAX, 3);
        Self {
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            cut: 0,
            server_errors: 0,
            wrong: 0,
            refused_actions: Vec::new(),
            latencies: latencies.unwrap_or_else(|_| unreachable!("the bounds are sound")),
        }
    }

    pub(crate) fn take(&mut self, seen: Seen) {
        self.requests += 1;
        let micros = u64::try_from(seen.latency.as_micros()).unwrap_or(u64::MAX);
        match (seen.answer.status, seen.answer.whole, seen.answer.outcome()) {
            (_, false, _) => self.cut += 1,
            (_, _, Some("not-run")) => {
                self.not_run += 1;
                self.refused_actions.extend(seen.action);
            }
            (_, _, Some(_)) => self.unknown += 1,
            (500.., _, None) => self.server_errors += 1,
            _ if seen.answer.body == seen.wanted.as_bytes() => {
                self.answered += 1;
                if seen.lookup {
                    self.latencies.saturating_record(micros);
                }
            }
            _ => self.wrong += 1,
        }
    }
}

/// One request with its answer.
pub(crate) struct Seen {
    pub(crate) answer: ClientAnswer,
    pub(crate) wanted: String,
    pub(crate) latency: Duration,
    /// Whether it was a lookup, whose latency is compared with the direct way.
    pub(crate) lookup: bool,
    /// The action, when the request was one under a key of its own.
    pub(crate) action: Option<String>,
}

/// One caller among many.
pub(crate) struct LoadCaller {
    pub(crate) number: u64,
    pub(crate) nodes: watch::Receiver<Arc<Vec<SocketAddr>>>,
    pub(crate) seen: mpsc::Sender<Seen>,
    pub(crate) until: Instant,
    /// Whether actions are sent beside lookups.
    pub(crate) actions: bool,
}

impl LoadCaller {
    /// Sends requests until the time is over.
    pub(crate) async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.number);
        let mut client = CallerClient::new(self.pick(&mut rng));
        time::sleep(PACE.mul_f64(rng.random::<f64>())).await;
        let mut count = 0;
        while Instant::now() < self.until {
            client.turn_to(self.pick(&mut rng));
            let id = format!("{}-{count}", self.number);
            count += 1;
            if self.actions && rng.random_ratio(1, ACTION_ONE_IN) {
                self.act(&mut client, &mut rng, &id).await;
            } else {
                let target = format!("/view/{id}");
                self.send(&mut client, ClientRequest::get(&*target), None)
                    .await;
            }
            time::sleep(PACE).await;
        }
    }

    async fn act(&self, client: &mut CallerClient, rng: &mut SmallRng, id: &str) {
        let request = ClientRequest::post(format!("/book/{id}"), "slot")
            .with("idempotency-key", id)
            .with("action-id", id);
        let repeats = rng.random_ratio(1, REPEAT_ONE_IN);
        let refusable = (!repeats).then(|| id.to_owned());
        self.send(client, request.clone(), refusable).await;
        if repeats {
            client.turn_to(self.pick(rng));
            let answer = client.call(request).await;
            drop(answer);
        }
    }

    async fn send(
        &self,
        client: &mut CallerClient,
        request: ClientRequest,
        action: Option<String>,
    ) {
        let wanted = format!("{}\n", request.target);
        let lookup = request.method.is_safe();
        let started = Instant::now();
        let answer = client.call(request).await;
        let seen = Seen {
            answer,
            wanted,
            latency: started.elapsed(),
            lookup,
            action,
        };
        let _ = self.seen.send(seen).await;
    }

    fn pick(&self, rng: &mut SmallRng) -> SocketAddr {
        let nodes = self.nodes.borrow();
        nodes[rng.random_range(0..nodes.len())]
    }
}
