//! Metrics of a process, with the names and units of the `OpenTelemetry` conventions where
//! there are any.

use std::time::Duration;

use model::error::{ErrorKind, Outcome};
use model::ids;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;

use crate::workspaces::WorkspaceInstruments;

/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BOUNDARIES: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Descriptions of gauges.
const PREFERRED: &str = "Upstreams that the node prefers, by service.";
const SHARING_NODES: &str = "Nodes to which an upstream of the node is assigned, at most.";

/// The instruments of one process.
#[derive(Debug)]
pub struct NodeMetrics {
    provider: SdkMeterProvider,
    registry: prometheus::Registry,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    connections: Counter<u64>,
    refusals: Counter<u64>,
    claims: Counter<u64>,
    verdicts: Counter<u64>,
    breaches: Gauge<u64>,
    generation: Gauge<u64>,
    platform_calls: Counter<u64>,
    node_bytes: Counter<u64>,
    upstreams: Gauge<u64>,
    unoffered: Gauge<u64>,
    preferred: Gauge<u64>,
    sharing_nodes: Gauge<u64>,
    rate_limited: Gauge<u64>,
    paused: Gauge<u64>,
    permit_draws: Counter<u64>,
    workspaces: WorkspaceInstruments,
    in_flight: Gauge<u64>,
    queues: QueueInstruments,
    nodes: Gauge<u64>,
    dropped_lines: Gauge<u64>,
    memory: MemoryInstruments,
}

/// The instruments of the memory that bodies take.
#[derive(Debug)]
struct MemoryInstruments {
    held: Gauge<u64>,
    streamed: Counter<u64>,
}

impl MemoryInstruments {
    fn new(meter: &Meter) -> Self {
        Self {
            held: meter
                .u64_gauge("memory.held")
                .with_unit("By")
                .with_description("Bytes of bodies that this node holds.")
                .build(),
            streamed: meter
                .u64_counter("memory.streamed")
                .with_description("Responses streamed for lack of memory to buffer them.")
                .build(),
        }
    }
}

/// The instruments of the requests that wait for an upstream.
#[derive(Debug)]
struct QueueInstruments {
    length: Gauge<u64>,
    wait: Histogram<f64>,
}

impl QueueInstruments {
    fn new(meter: &Meter) -> Self {
        Self {
            length: meter
                .u64_gauge("upstream.queue.length")
                .with_description("Requests of this node that wait for an upstream, by service.")
                .build(),
            wait: meter
                .f64_histogram("upstream.queue.wait")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDARIES.to_vec())
                .with_description("Time until an attempt was admitted or rejected, by service.")
                .build(),
        }
    }
}

impl NodeMetrics {
    /// Creates the instruments.
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
                .with_boundaries(LATENCY_BOUNDARIES.to_vec())
                .with_description("Time from a request's head to the head of its answer.")
                .build(),
            attempts: meter
                .u64_counter("upstream.attempts")
                .with_description("Attempts at upstreams, by service and end.")
                .build(),
            connections: meter
                .u64_counter("upstream.connections")
                .with_description("Connections that attempts used, by service and origin.")
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
            unoffered: meter
                .u64_gauge("upstream.unoffered")
                .with_description(
                    "Upstreams of the node's data centre without a request for two seconds.",
                )
                .build(),
            preferred: gauge(&meter, "upstream.preferred", PREFERRED),
            sharing_nodes: gauge(&meter, "upstream.sharing_nodes", SHARING_NODES),
            rate_limited: meter
                .u64_gauge("upstream.rate_limited")
                .with_description("Upstreams that name a limit on their requests per second.")
                .build(),
            paused: meter
                .u64_gauge("upstream.paused")
                .with_description("Upstreams that asked the node for a pause, by service.")
                .build(),
            permit_draws: meter
                .u64_counter("upstream.permit.draws")
                .with_description("Draws of permits for upstreams with a rate limit, by result.")
                .build(),
            workspaces: WorkspaceInstruments::new(&meter),
            in_flight: meter
                .u64_gauge("upstream.in_flight")
                .with_description("Requests of this node in flight, by service.")
                .build(),
            queues: QueueInstruments::new(&meter),
            nodes: meter
                .u64_gauge("fleet.nodes")
                .with_description("Other nodes that this node knows.")
                .build(),
            dropped_lines: meter
                .u64_gauge("log.dropped")
                .with_description("Log lines dropped since the start, as the output was slow.")
                .build(),
            memory: MemoryInstruments::new(&meter),
            provider,
            registry,
        })
    }

    /// Counts a response to a caller and records its latency.
    pub fn record_request(&self, service: &ids::ServiceId, status: u16, latency: Duration) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        let class = KeyValue::new("status_class", i64::from(status / 100));
        self.latency
            .record(latency.as_secs_f64(), std::slice::from_ref(&service));
        self.requests.add(1, &[service, class]);
    }

    /// Records how long an attempt waited for an upstream, or for its rejection.
    pub fn record_wait(&self, service: &ids::ServiceId, wait: Duration) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.queues.wait.record(wait.as_secs_f64(), &[service]);
    }

    /// Sets the number of requests that wait for an upstream of a service.
    pub fn set_queue_length(&self, service: &ids::ServiceId, length: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.queues.length.record(length, &[service]);
    }

    /// Counts a request that the fleet itself responded to with an error.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// Counts an attempt at an upstream by how it ended.
    pub fn record_attempt(&self, service: &ids::ServiceId, end: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.attempts.add(1, &[service, KeyValue::new("end", end)]);
    }

    /// Counts the connection of an attempt by where it came from.
    pub fn record_connection(&self, service: &ids::ServiceId, origin: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.connections
            .add(1, &[service, KeyValue::new("origin", origin)]);
    }

    /// Counts a claim of an idempotency key by its result.
    pub fn record_claim(&self, verdict: &'static str) {
        self.claims.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a verdict on an upstream that reached this node.
    pub fn record_verdict(&self, service: &ids::ServiceId, verdict: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.verdicts
            .add(1, &[service, KeyValue::new("verdict", verdict)]);
    }

    /// Sets the number of violations of one invariant.
    pub fn set_breaches(&self, invariant: &'static str, count: u64) {
        self.breaches
            .record(count, &[KeyValue::new("invariant", invariant)]);
    }

    /// Sets the generation of the configuration in force.
    pub fn set_generation(&self, generation: u64) {
        self.generation.record(generation, &[]);
    }

    /// Counts a call to the platform.
    pub fn record_platform_call(&self, operation: &'static str) {
        self.platform_calls
            .add(1, &[KeyValue::new("operation", operation)]);
    }

    /// Sets the number of a service's upstreams that have one status.
    pub fn set_upstream_count(&self, service: &ids::ServiceId, status: &'static str, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.upstreams
            .record(count, &[service, KeyValue::new("status", status)]);
    }

    /// Sets the number of a service's upstreams that may get requests but got none lately.
    pub fn set_unoffered_count(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.unoffered.record(count, &[service]);
    }

    /// Sets the number of a service's upstreams that the node prefers.
    pub fn set_preferred_count(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.preferred.record(count, &[service]);
    }

    /// Sets the highest number of nodes to which one of the node's upstreams is assigned.
    pub fn set_sharing_nodes(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.sharing_nodes.record(count, &[service]);
    }

    /// Sets the number of a service's upstreams that have a rate limit.
    pub fn set_rate_limited_count(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.rate_limited.record(count, &[service]);
    }

    /// Sets the number of a service's upstreams that asked this node for a pause.
    pub fn set_paused_count(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.paused.record(count, &[service]);
    }

    /// Counts a draw of a permit for an upstream with a rate limit.
    pub fn record_permit_draw(&self, service: &ids::ServiceId, result: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.permit_draws
            .add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Counts what became of the quota of a workspace.
    pub fn record_quota(&self, workspace: &ids::WorkspaceId, result: &'static str, count: u64) {
        self.workspaces.record_quota(workspace, result, count);
    }

    /// Counts a request of a workspace by its outcome.
    pub fn record_workspace_request(&self, workspace: &ids::WorkspaceId, outcome: Outcome) {
        self.workspaces.record_request(workspace, outcome);
    }

    /// Sets the number of requests in flight at a service.
    pub fn set_in_flight(&self, service: &ids::ServiceId, count: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.in_flight.record(count, &[service]);
    }

    /// Sets the number of other nodes known.
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

    /// Sets the number of bytes held for bodies.
    pub fn set_held_bytes(&self, bytes: u64) {
        self.memory.held.record(bytes, &[]);
    }

    /// Counts a response that was streamed for lack of memory to buffer it.
    pub fn record_streamed_response(&self) {
        self.memory.streamed.add(1, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut text) {
            log::warn!(target: "metrics", "Cannot encode the metrics: {error}.");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Shuts down the meter provider.
    pub fn stop(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!(target: "metrics", "Cannot shut down the meter provider: {error}.");
        }
    }
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
