//! Metrics of a node by the names and units that the field uses.

use std::time::Duration;

use model::error::ErrorKind;
use model::ids;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;

/// Upper edges of the latency histogram's buckets, in seconds.
const LATENCY_EDGES: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The instruments of one process.
#[derive(Debug)]
pub struct NodeMetrics {
    provider: SdkMeterProvider,
    registry: prometheus::Registry,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    claims: Counter<u64>,
    verdicts: Counter<u64>,
    breaches: Gauge<u64>,
    generation: Gauge<u64>,
    platform_calls: Counter<u64>,
    node_bytes: Counter<u64>,
    upstreams: Gauge<u64>,
    in_flight: Gauge<u64>,
    nodes: Gauge<u64>,
    dropped_lines: Gauge<u64>,
}

impl NodeMetrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("gooseberrydyke");
        Ok(Self {
            requests: meter
                .u64_counter("http.server.requests")
                .with_description("Requests answered, by service and status class.")
                .build(),
            latency: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(LATENCY_EDGES.to_vec())
                .with_description("Time from a request's head to the head of its answer.")
                .build(),
            attempts: meter
                .u64_counter("upstream.attempts")
                .with_description("Attempts at upstreams, by service and end.")
                .build(),
            refusals: meter
                .u64_counter("http.server.refusals")
                .with_description("Requests answered by the fleet itself, by error kind.")
                .build(),
            claims: meter
                .u64_counter("claims")
                .with_description("Claims of keys, by verdict.")
                .build(),
            verdicts: meter
                .u64_counter("detection.verdicts")
                .with_description(
                    "Verdicts on upstreams taken by this node, by service and verdict.",
                )
                .build(),
            breaches: meter
                .u64_gauge("invariant.breaches")
                .with_description("Breaches of each invariant; always zero in a sound fleet.")
                .build(),
            generation: meter
                .u64_gauge("config.generation")
                .with_description("Generation of the configuration in force.")
                .build(),
            platform_calls: meter
                .u64_counter("platform.calls")
                .with_description("Calls to the platform, by operation.")
                .build(),
            node_bytes: meter
                .u64_counter("node.sent")
                .with_unit("By")
                .with_description("Bytes of messages sent to other nodes.")
                .build(),
            upstreams: meter
                .u64_gauge("upstream.count")
                .with_description("Upstreams by service and by how this node treats them.")
                .build(),
            in_flight: meter
                .u64_gauge("upstream.in_flight")
                .with_description("Requests of this node in flight, by service.")
                .build(),
            nodes: meter
                .u64_gauge("fleet.nodes")
                .with_description("Other nodes that this node knows.")
                .build(),
            dropped_lines: meter
                .u64_gauge("log.dropped")
                .with_description("Log lines dropped since the start, as the output was slow.")
                .build(),
            provider,
            registry,
        })
    }

    /// Counts an answered request.
    pub fn record_request(&self, service: &ids::ServiceId, status: u16, latency: Duration) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        let class = KeyValue::new("status_class", i64::from(status / 100));
        self.latency
            .record(latency.as_secs_f64(), std::slice::from_ref(&service));
        self.requests.add(1, &[service, class]);
    }

    /// Counts a request that the fleet itself answered.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// Counts an attempt.
    pub fn record_attempt(&self, service: &ids::ServiceId, end: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.attempts.add(1, &[service, KeyValue::new("end", end)]);
    }

    /// Counts a decided claim.
    pub fn record_claim(&self, verdict: &'static str) {
        self.claims.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a verdict that reached this node.
    pub fn record_verdict(&self, service: &ids::ServiceId, verdict: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.verdicts
            .add(1, &[service, KeyValue::new("verdict", verdict)]);
    }

    /// Sets the breaches of one invariant.
    pub fn set_breaches(&self, invariant: &'static str, count: u64) {
        self.breaches
            .record(count, &[KeyValue::new("invariant", invariant)]);
    }

    /// Sets the generation in force.
    pub fn set_generation(&self, generation: u64) {
        self.generation.record(generation, &[]);
    }

    /// Counts a call to the platform.
    pub fn record_platform_call(&self, operation: &'static str) {
        self.platform_calls
            .add(1, &[KeyValue::new("operation", operation)]);
    }

    /// Sets how many upstreams of a service are treated alike.
    pub fn set_upstream_count(&self, service: &ids::ServiceId, status: &'static str, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.upstreams
            .record(count, &[service, KeyValue::new("status", status)]);
    }

    /// Sets the requests in flight at a service.
    pub fn set_in_flight(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.in_flight.record(count, &[service]);
    }

    /// Sets the number of other nodes.
    pub fn set_node_count(&self, count: u64) {
        self.nodes.record(count, &[]);
    }

    /// Sets the number of dropped log lines.
    pub fn set_dropped_lines(&self, count: u64) {
        self.dropped_lines.record(count, &[]);
    }

    /// Counts bytes sent to other nodes.
    pub fn record_node_bytes(&self, bytes: u64) {
        self.node_bytes.add(bytes, &[]);
    }

    /// Writes every metric in the text format that scrapers read.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut text) {
            log::warn!(target: "metrics", "Metrics cannot be written: {error}.");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Stops the instruments.
    pub fn stop(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!(target: "metrics", "Metrics did not stop: {error}.");
        }
    }
}
