//! Load generation at a fixed rate, and the processor time and memory of this process.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use testbed::{CallerClient, ClientRequest, ClientResponse};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

/// Upper bound on recorded latencies, in microseconds; longer ones are recorded as this value.
const LATENCY_MICROS_MAX: u64 = 120_000_000;

/// Counts of requests by outcome, and their latencies in microseconds.
#[derive(Debug, Clone)]
pub(crate) struct RequestTally {
    /// Requests with a complete response of status 2xx.
    pub(crate) successful: u64,
    /// Requests reported as not run.
    pub(crate) not_run: u64,
    /// All other requests.
    pub(crate) failed: u64,
    pub(crate) latencies: Histogram<u64>,
}

impl RequestTally {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_MICROS_MAX, 3);
        let latencies = latencies.unwrap_or_else(|_| unreachable!("the bounds are valid"));
        Self {
            successful: 0,
            not_run: 0,
            failed: 0,
            latencies,
        }
    }

    /// Counts a request by its response, and records its latency.
    pub(crate) fn record(&mut self, response: &ClientResponse, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(micros);
        match (response.status, response.complete, response.outcome()) {
            (200..300, true, _) => self.successful += 1,
            (_, true, Some("not-run")) => self.not_run += 1,
            _ => self.failed += 1,
        }
    }

    pub(crate) fn requests(&self) -> u64 {
        self.successful + self.not_run + self.failed
    }

    /// Latency at a quantile, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 microseconds"
    )]
    pub(crate) fn latency_millis(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// An open-loop load: requests are sent on schedule, however long the responses take.
#[derive(Debug, Clone)]
pub(crate) struct OpenLoopLoad {
    /// Addresses to which requests are sent in turn.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time during which requests are sent.
    pub(crate) span: Duration,
    /// Clients created in advance; further ones are created when none is idle.
    pub(crate) connections: usize,
    /// Timeout of each request.
    pub(crate) timeout: Duration,
}

impl OpenLoopLoad {
    /// Sends the request that `build` returns for each number, and tallies the outcomes.
    pub(crate) async fn run(&self, build: impl Fn(u64) -> ClientRequest) -> RequestTally {
        let (idle_sender, mut idle_clients) = mpsc::unbounded_channel();
        for index in 0..self.connections {
            let address = self.addresses[index % self.addresses.len()];
            let _ = idle_sender.send(CallerClient::new(address));
        }
        let (result_sender, mut results) = mpsc::unbounded_channel();
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < self.span {
            let due = start + Duration::from_secs_f64(crate::report::to_f64(number) / self.rate);
            time::sleep_until(due).await;
            let request = ClientRequest {
                timeout: self.timeout,
                ..build(number)
            };
            let address =
                self.addresses[usize::try_from(number).unwrap_or(0) % self.addresses.len()];
            number += 1;
            let mut client = idle_clients
                .try_recv()
                .unwrap_or_else(|_| CallerClient::new(address));
            let (result_sender, idle_sender) = (result_sender.clone(), idle_sender.clone());
            tokio::spawn(async move {
                let response = client.call(request).await;
                let _ = result_sender.send((response, due.elapsed()));
                let _ = idle_sender.send(client);
            });
        }
        drop(result_sender);
        let mut tally = RequestTally::new();
        while let Some((response, latency)) = results.recv().await {
            tally.record(&response, latency);
        }
        tally
    }
}

/// Processor time that all threads of this process have used so far.
pub(crate) fn processor_time() -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let nanos = tasks.flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
