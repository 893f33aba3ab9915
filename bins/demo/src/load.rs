//! Generates load: callers that send lookups and actions that must run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use testbed::{CallerClient, ClientRequest, ClientResponse};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// Pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// One in this many requests is an action.
const REQUESTS_PER_ACTION: u32 = 4;
/// One in this many actions is sent again with its key, through another node.
const ACTIONS_PER_RETRY: u32 = 5;
/// Upper bound of the latency histogram, in microseconds.
const LATENCY_MICROS_MAX: u64 = 60_000_000;

/// Counts of what callers received.
pub(crate) struct LoadTally {
    pub(crate) requests: u64,
    /// Complete and correct responses.
    pub(crate) successful: u64,
    /// Errors of the fleet that say that the request did not run.
    pub(crate) not_run: u64,
    /// Errors of the fleet with any other outcome, as a rule "unknown".
    pub(crate) unknown: u64,
    /// Incomplete responses.
    pub(crate) truncated: u64,
    /// Server errors of upstreams that the fleet forwarded.
    pub(crate) server_errors: u64,
    /// Complete responses with an unexpected body.
    pub(crate) wrong: u64,
    /// Actions that were sent only once and got the outcome "not run".
    pub(crate) not_run_actions: Vec<String>,
    /// Latencies of successful lookups, in microseconds.
    pub(crate) latencies: Histogram<u64>,
}

impl LoadTally {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_MICROS_MAX, 3);
        Self {
            requests: 0,
            successful: 0,
            not_run: 0,
            unknown: 0,
            truncated: 0,
            server_errors: 0,
            wrong: 0,
            not_run_actions: Vec::new(),
            latencies: latencies
                .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid")),
        }
    }

    /// Counts a request by its response.
    pub(crate) fn record(&mut self, result: RequestResult) {
        self.requests += 1;
        let micros = u64::try_from(result.latency.as_micros()).unwrap_or(u64::MAX);
        match (
            result.response.status,
            result.response.complete,
            result.response.outcome(),
        ) {
            (_, false, _) => self.truncated += 1,
            (_, _, Some("not-run")) => {
                self.not_run += 1;
                self.not_run_actions.extend(result.action);
            }
            (_, _, Some(_)) => self.unknown += 1,
            (500.., _, None) => self.server_errors += 1,
            _ if result.response.body == result.expected_body.as_bytes() => {
                self.successful += 1;
                if result.is_lookup {
                    self.latencies.saturating_record(micros);
                }
            }
            _ => self.wrong += 1,
        }
    }
}

/// A request's response and what it is checked against.
pub(crate) struct RequestResult {
    pub(crate) response: ClientResponse,
    pub(crate) expected_body: String,
    pub(crate) latency: Duration,
    /// Whether the request was a lookup; only their latencies are recorded, because direct
    /// callers send lookups only.
    pub(crate) is_lookup: bool,
    /// Id of the action, if the request is one that is sent only once.
    pub(crate) action: Option<String>,
}

/// One of the callers that generate load.
pub(crate) struct LoadCaller {
    /// Number of the caller, which is also the seed of its random choices.
    pub(crate) number: u64,
    /// Addresses to send requests to; they may change.
    pub(crate) nodes: watch::Receiver<Arc<Vec<SocketAddr>>>,
    pub(crate) results: mpsc::Sender<RequestResult>,
    pub(crate) end: Instant,
    /// Whether the caller sends actions as well as lookups.
    pub(crate) sends_actions: bool,
}

impl LoadCaller {
    /// Sends requests until `end`, each to a random node.
    pub(crate) async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.number);
        let mut client = CallerClient::new(self.choose_node(&mut rng));
        time::sleep(REQUEST_PAUSE.mul_f64(rng.random::<f64>())).await;
        let mut count = 0;
        while Instant::now() < self.end {
            client.set_address(self.choose_node(&mut rng));
            let id = format!("{}-{count}", self.number);
            count += 1;
            if self.sends_actions && rng.random_ratio(1, REQUESTS_PER_ACTION) {
                self.send_action(&mut client, &mut rng, &id).await;
            } else {
                let target = format!("/view/{id}");
                self.send(&mut client, ClientRequest::get(&*target), None)
                    .await;
            }
            time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends an action, and sometimes sends it again. An action that is sent again is not
    /// checked for false "not run" outcomes, since either request may have run it.
    async fn send_action(&self, client: &mut CallerClient, rng: &mut SmallRng, id: &str) {
        let request = ClientRequest::post(format!("/book/{id}"), "slot")
            .with_header("idempotency-key", id)
            .with_header("action-id", id);
        let is_retried = rng.random_ratio(1, ACTIONS_PER_RETRY);
        let action = (!is_retried).then(|| id.to_owned());
        self.send(client, request.clone(), action).await;
        if is_retried {
            client.set_address(self.choose_node(rng));
            let response = client.call(request).await;
            drop(response);
        }
    }

    async fn send(
        &self,
        client: &mut CallerClient,
        request: ClientRequest,
        action: Option<String>,
    ) {
        let expected_body = format!("{}\n", request.target);
        let is_lookup = request.method.is_safe();
        let started = Instant::now();
        let response = client.call(request).await;
        let result = RequestResult {
            response,
            expected_body,
            latency: started.elapsed(),
            is_lookup,
            action,
        };
        let _ = self.results.send(result).await;
    }

    fn choose_node(&self, rng: &mut SmallRng) -> SocketAddr {
        let nodes = self.nodes.borrow();
        nodes[rng.random_range(0..nodes.len())]
    }
}
