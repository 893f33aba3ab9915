//! Load for experiments: open loops at a rate, and what came of it.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use testbed::{CallerClient, ClientRequest, ClientResponse};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

/// The longest latency that is told apart, in microseconds.
const LATENCY_MICROS_MAX: u64 = 120_000_000;

/// What came of some requests.
#[derive(Debug, Clone)]
pub(crate) struct Tally {
    pub(crate) good: u64,
    pub(crate) not_run: u64,
    pub(crate) failed: u64,
    pub(crate) latencies: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_MICROS_MAX, 3);
        let latencies = latencies.unwrap_or_else(|_| unreachable!("the bounds are sound"));
        Self {
            good: 0,
            not_run: 0,
            failed: 0,
            latencies,
        }
    }

    pub(crate) fn take(&mut self, answer: &ClientResponse, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(micros);
        match (answer.status, answer.complete, answer.outcome()) {
            (200..300, true, _) => self.good += 1,
            (_, true, Some("not-run")) => self.not_run += 1,
            _ => self.failed += 1,
        }
    }

    pub(crate) fn requests(&self) -> u64 {
        self.good + self.not_run + self.failed
    }

    /// Latency at a quantile, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 microseconds"
    )]
    pub(crate) fn millis(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// A caller's share of an open loop: sends on schedule, however long answers take.
#[derive(Debug, Clone)]
pub(crate) struct OpenLoop {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) rate: f64,
    pub(crate) span: Duration,
    pub(crate) connections: usize,
    pub(crate) timeout: Duration,
}

impl OpenLoop {
    /// Sends requests that `build` makes from their numbers; returns their tally.
    pub(crate) async fn run(&self, build: impl Fn(u64) -> ClientRequest) -> Tally {
        let (idle_sender, mut idle) = mpsc::unbounded_channel();
        for index in 0..self.connections {
            let address = self.addresses[index % self.addresses.len()];
            let _ = idle_sender.send(CallerClient::new(address));
        }
        let (seen, mut inbox) = mpsc::unbounded_channel();
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < self.span {
            let due = start + Duration::from_secs_f64(crate::report::figure(number) / self.rate);
            time::sleep_until(due).await;
            let request = ClientRequest {
                timeout: self.timeout,
                ..build(number)
            };
            let address =
                self.addresses[usize::try_from(number).unwrap_or(0) % self.addresses.len()];
            number += 1;
            let mut client = idle
                .try_recv()
                .unwrap_or_else(|_| CallerClient::new(address));
            let (seen, give_back) = (seen.clone(), idle_sender.clone());
            tokio::spawn(async move {
                let answer = client.call(request).await;
                let _ = seen.send((answer, due.elapsed()));
                let _ = give_back.send(client);
            });
        }
        drop(seen);
        let mut tally = Tally::new();
        while let Some((answer, latency)) = inbox.recv().await {
            tally.take(&answer, latency);
        }
        tally
    }
}

/// Processor time of this process so far.
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

/// Memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
