//! A gateway: a node whose routes and upstreams come from a [`FleetSource`] instead of the
//! fleet's own configuration.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caller::wire::CallerHeaders;
use caller::{CallerLimits, CallerListener, CallerMemory, CallerSettings};
use model::config::QuotaBound;
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes, span};
use node::keys::{FleetCa, NodeKeys};
use node::replica::{FleetSource, NodeUpdate, ReplicaFleet, ReplicaSettings};
use policy::membership::Member;
use policy::memory::MemoryBounds;
use policy::service::Placement;
use policy::stop::StopSchedule;
use telemetry::metrics::NodeMetrics;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};
use upstream::dispatch::{ClaimCallbacks, DispatchCallbacks, Dispatcher};
use upstream::memory::{self, MemoryBudget};
use upstream::service::{RetryTokenSource, ServiceDirectory, ServiceSettings, SettingsFactory};
use upstream::wire::UpstreamHeaders;

use crate::ops::OpsEndpoint;
use crate::replica_directory::ReplicaDirectoryTask;
use crate::server::dispatch_to;
use crate::{crashes, permits, quotas};

/// Capacity of the queue of updates from other nodes. When it is full, new updates are
/// dropped: suspicion decays with time, and loads are reported again.
const UPDATES_MAX: usize = 1_024;

/// Settings of a gateway.
pub struct GatewaySettings {
    /// The node's id, unique in the fleet.
    pub node: ids::NodeId,
    /// The data centre in which the node runs.
    pub data_centre: ids::DataCentreId,
    /// Capacity of the node for work that it does for other nodes.
    pub capacity: sizes::NodeCapacity,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other nodes, over UDP.
    pub node_address: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness_check_address: SocketAddr,
    /// Path of the readiness checks.
    pub readiness_path: Arc<str>,
    /// Address for operators and metrics scrapers; not served when absent.
    pub ops_address: Option<SocketAddr>,
    /// Addresses of nodes through which this one finds the fleet; they may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the whole fleet starts for the first time: nodes then wait longer before they
    /// read the source, and retry pools start half full.
    pub first_start: bool,
    /// How often an upstream writes its entry at the source.
    pub upstream_heartbeat: Duration,
    /// How quotas of workspaces are enforced; they are not if `None`.
    pub quota_bound: Option<QuotaBound>,
    /// The certificate authority that issues the certificates of all nodes.
    pub ca: FleetCa,
    /// The external source of routes and upstreams.
    pub source: FleetSource,
    /// Names of the headers exchanged with callers.
    pub caller_headers: CallerHeaders,
    /// Names of the headers exchanged with upstreams.
    pub upstream_headers: UpstreamHeaders,
    /// How the upstreams that the node prefers are selected.
    pub placement: Placement,
    /// Maximum number of open connections from callers.
    pub connections_max: usize,
    /// Memory of the process, beyond which it is killed; bodies take a share of it. Without it
    /// they have no bound.
    pub memory: Option<sizes::ByteSize>,
    /// How long a stopping node still accepts connections, until the load balancer has
    /// noticed that it is no longer ready.
    pub stop_delay: span::TimeSpan,
    /// How long a stopping node then waits for requests in flight.
    pub stop_timeout: span::TimeSpan,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
}

/// A running gateway.
pub struct GatewayServer {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness_check_address: SocketAddr,
    /// Address for other nodes, over UDP.
    pub node_address: SocketAddr,
    node: ids::NodeId,
    stop_delay: span::TimeSpan,
    stop_timeout: span::TimeSpan,
    fleet: ReplicaFleet,
    /// Once true, the node is not ready, and its responses ask callers to close the connection.
    leaving: watch::Sender<bool>,
    /// The schedule of the stop, once it has begun.
    stop: watch::Sender<Option<StopSchedule>>,
    /// Once true, the node accepts no more connections from callers.
    stopping: watch::Sender<bool>,
    /// Once true, the readiness and operations endpoints close.
    closed: watch::Sender<bool>,
    caller_task: JoinHandle<()>,
}

impl GatewayServer {
    /// Binds the addresses and starts every task of the node.
    ///
    /// # Errors
    /// When an address cannot be bound or the node's certificate cannot be issued.
    pub async fn start(settings: GatewaySettings) -> io::Result<Self> {
        let metrics = Arc::clone(&settings.metrics);
        let (updates, updates_inbox) = mpsc::channel(UPDATES_MAX);
        let fleet = start_fleet(&settings, updates)?;
        let (directory_sender, directory) = watch::channel(Arc::new(ServiceDirectory::default()));
        tokio::spawn(forward_updates(updates_inbox, directory.clone()));
        let (limits, limits_watch) = watch::channel(CallerLimits {
            connections: settings.connections_max,
            ..CallerLimits::default()
        });
        let directory_task = ReplicaDirectoryTask {
            fleet: fleet.clone(),
            settings_factory: settings_factory(&settings, &fleet),
            directory: directory_sender,
            limits,
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(directory_task.run());
        let (leaving, leaving_watch) = watch::channel(false);
        let (stop, stop_watch) = watch::channel(None);
        let (stopping, stopping_watch) = watch::channel(false);
        let (closed, closed_watch) = watch::channel(false);
        let memory_bounds = settings.memory.map(MemoryBounds::of);
        let memory = MemoryBudget::new(memory_bounds);
        tokio::spawn(memory::watch(memory.clone(), Arc::clone(&metrics)));
        let dispatcher = Dispatcher::new(
            &settings.node,
            directory.clone(),
            DispatchCallbacks {
                claims: reject_claims(),
                crashes: crashes::crash_callbacks(&fleet.crashes),
                quotas: fleet.quota.as_ref().map(quotas::quota_callbacks),
            },
            stop_watch,
            memory.clone(),
            Arc::clone(&metrics),
        );
        let listener = CallerListener::bind(
            settings.caller_address,
            CallerSettings {
                limits: limits_watch,
                headers: Arc::new(settings.caller_headers),
                dispatch: dispatch_to(dispatcher),
                memory: caller_memory(memory_bounds, &memory),
            },
            leaving_watch.clone(),
        )?;
        let endpoint = OpsEndpoint {
            directory,
            members: fleet.members.clone(),
            quotas: fleet.quota.clone(),
            metrics,
            leaving: leaving_watch,
            readiness_path: settings.readiness_path,
        };
        let readiness_endpoint = endpoint.clone();
        let readiness_check_address = readiness_endpoint
            .start(settings.readiness_check_address, closed_watch.clone())
            .await?;
        if let Some(address) = settings.ops_address {
            endpoint.start(address, closed_watch).await?;
        }
        let caller_address = listener.address()?;
        let caller_task = tokio::spawn(listener.run(stopping_watch));
        log::info!(
            target: "gateway",
            "Node {} serves callers at {caller_address}.",
            settings.node
        );
        Ok(Self {
            caller_address,
            readiness_check_address,
            node_address: fleet.address,
            node: settings.node,
            stop_delay: settings.stop_delay,
            stop_timeout: settings.stop_timeout,
            fleet,
            leaving,
            stop,
            stopping,
            closed,
            caller_task,
        })
    }

    /// Stops the node gracefully: it reports that it is leaving, stops accepting after the
    /// stop delay and waits for requests in flight until the stop timeout.
    pub async fn stop(self) {
        log::info!(target: "gateway", "Node {} is stopping.", self.node);
        let schedule = StopSchedule::new(
            Instant::now(),
            self.stop_delay.get(),
            self.stop_timeout.get(),
        );
        self.stop.send_replace(Some(schedule));
        self.leaving.send_replace(true);
        self.fleet.members.mark_leaving().await;
        time::sleep_until(schedule.accept_until).await;
        self.stopping.send_replace(true);
        let finished = time::timeout_at(schedule.end, self.caller_task).await;
        if finished.is_err() {
            log::warn!(target: "gateway", "Requests in flight did not finish within the stop timeout.");
        }
        self.closed.send_replace(true);
        self.fleet.close();
        log::info!(target: "gateway", "Node {} has stopped.", self.node);
    }
}

/// Bounds what waits to be written to callers by the memory that bodies may take.
fn caller_memory(bounds: Option<MemoryBounds>, budget: &MemoryBudget) -> CallerMemory {
    let Some(bounds) = bounds else {
        return CallerMemory::default();
    };
    let budget = budget.clone();
    CallerMemory {
        send_buffer: Some(bounds.socket_buffer),
        // The idle timeout is the longest one: a response that is streamed takes room at its
        // upstream, too.
        unread_timeout: Arc::new(move || {
            Some(budget.level().unread_timeout().unwrap_or(Duration::MAX))
        }),
    }
}

fn start_fleet(
    settings: &GatewaySettings,
    updates: mpsc::Sender<NodeUpdate>,
) -> io::Result<ReplicaFleet> {
    let metrics = Arc::clone(&settings.metrics);
    let quota_bound = settings.quota_bound;
    ReplicaFleet::start(ReplicaSettings {
        own: Member {
            node: settings.node.clone(),
            address: settings.node_address,
            data_centre: settings.data_centre.clone(),
            leaving: false,
            capacity: settings.capacity,
        },
        seeds: settings.seeds.clone(),
        keys: NodeKeys::issue(&settings.ca).map_err(io::Error::other)?,
        source: settings.source.clone(),
        on_sent: Arc::new(move |bytes| metrics.record_node_bytes(bytes as u64)),
        updates,
        first_start: settings.first_start,
        upstream_heartbeat: settings.upstream_heartbeat,
        quota: quota_bound.map(|bound| quotas::quota_settings(bound, &settings.metrics)),
    })
}

fn settings_factory(settings: &GatewaySettings, fleet: &ReplicaFleet) -> SettingsFactory {
    let metrics = Arc::clone(&settings.metrics);
    let node = settings.node.clone();
    let data_centre = settings.data_centre.clone();
    let headers = Arc::new(settings.upstream_headers.clone());
    let placement = settings.placement;
    let fleet = fleet.clone();
    Arc::new(move |service| {
        let (signal_fleet, load_fleet, retry_fleet) = (fleet.clone(), fleet.clone(), fleet.clone());
        let drain_fleet = fleet.clone();
        let service = service.clone();
        ServiceSettings {
            node: node.clone(),
            data_centre: data_centre.clone(),
            seed: rand::random(),
            evidence: Arc::new(|_| {}),
            drains: Arc::new(move |service, upstream| drain_fleet.publish_drain(service, upstream)),
            signals: Arc::new(move |signals| signal_fleet.publish_signals(signals)),
            loads: Arc::new(move |report| load_fleet.report_loads(report)),
            retry_tokens: Some(RetryTokenSource::new(move || {
                let (fleet, service) = (retry_fleet.clone(), service.clone());
                Box::pin(async move { fleet.draw_retry_token(service).await })
            })),
            limits: permits::limit_sink(&fleet.limits),
            permits: permits::permit_source(&fleet.limits, &metrics),
            headers: Arc::clone(&headers),
            placement,
        }
    })
}

/// Forwards updates from other nodes to the service tasks.
async fn forward_updates(
    mut inbox: mpsc::Receiver<NodeUpdate>,
    directory: watch::Receiver<Arc<ServiceDirectory>>,
) {
    while let Some(update) = inbox.recv().await {
        let current = Arc::clone(&directory.borrow());
        match update {
            NodeUpdate::Signal(signal) => {
                if let Some(handle) = current.handles.get(&signal.service) {
                    handle.send_signal(signal).await;
                }
            }
            NodeUpdate::Drain(service, upstream) => {
                if let Some(handle) = current.handles.get(&service) {
                    handle.send_drain(upstream).await;
                }
            }
            NodeUpdate::Limit(record) => {
                permits::forward_limit(&current, record).await;
            }
            NodeUpdate::Load(load) => {
                if let Some(handle) = current.handles.get(&load.service) {
                    handle.report_data_centre_load(load).await;
                }
            }
        }
    }
}

/// Rejects every claim: a gateway has no claim shards, and its callers send no idempotency keys.
fn reject_claims() -> ClaimCallbacks {
    ClaimCallbacks {
        claim: Arc::new(|_| {
            Box::pin(async {
                let detail = "this node does not support claims of idempotency keys";
                Err(FleetError::new(ErrorKind::ClaimUnavailable, detail))
            })
        }),
        settle: Arc::new(|_, _| {}),
    }
}
