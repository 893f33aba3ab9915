//! An entry node: starts its tasks and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use caller::{CallerListener, CallerMemory, CallerSettings, listener::Dispatch};
use model::{ids, sizes};
use node::claims::BatchSettings;
use node::collector::CollectorUpdate;
use node::keys::NodeKeys;
use node::{FleetHandle, FleetSettings};
use platform::PlatformClient;
use policy::detection::{Verdict, VerdictChange};
use policy::membership::Member;
use policy::permit::LimitRecord;
use policy::service::Placement;
use policy::stop::StopSchedule;
use telemetry::metrics::NodeMetrics;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};
use upstream::dispatch::{ClaimCallbacks, DispatchCallbacks, Dispatcher};
use upstream::memory::MemoryBudget;
use upstream::service::{ServiceDirectory, ServiceSettings, SettingsFactory};

use crate::crashes;
use crate::directory::DirectoryTask;
use crate::ops::OpsEndpoint;
use crate::permits;
use crate::probes;
use crate::settings::EntrySettings;

/// Capacity of the queue of updates from other nodes. When it is full, new updates are
/// dropped: verdicts and drains are sent again.
const UPDATES_MAX: usize = 4096;

/// Path of the load balancer's readiness checks.
const READINESS_PATH: &str = "/ready";

/// A running entry node.
pub struct EntryServer {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other nodes, over UDP.
    pub node_address: SocketAddr,
    /// Address for operators, metrics scrapers and readiness checks.
    pub ops_address: SocketAddr,
    settings: EntrySettings,
    fleet: FleetHandle,
    directory: watch::Receiver<Arc<ServiceDirectory>>,
    /// Once true, the node is not ready, and its responses ask callers to close the connection.
    leaving: watch::Sender<bool>,
    /// The schedule of the stop, once it has begun.
    stop: watch::Sender<Option<StopSchedule>>,
    /// Once true, the node accepts no more connections from callers.
    stopping: watch::Sender<bool>,
    /// Once true, the operations endpoint closes.
    closed: watch::Sender<bool>,
    caller_task: JoinHandle<()>,
    metrics: Arc<NodeMetrics>,
}

/// An update from another node for a service task of this node.
#[derive(Debug)]
enum ServiceUpdate {
    Collector(CollectorUpdate),
    Drained(ids::ServiceId, ids::UpstreamId),
    Limit(LimitRecord),
}

impl EntryServer {
    /// Binds the addresses and starts every task of the node.
    ///
    /// # Errors
    /// When an address cannot be bound or the node's certificate cannot be issued.
    pub async fn start(settings: EntrySettings) -> io::Result<Self> {
        let metrics = Arc::new(NodeMetrics::new().map_err(io::Error::other)?);
        let keys = NodeKeys::issue(&settings.ca).map_err(io::Error::other)?;
        let (updates, updates_inbox) = mpsc::channel(UPDATES_MAX);
        let fleet = start_fleet(&settings, keys, &metrics, &updates)?;
        let (directory_sender, directory) = watch::channel(Arc::new(ServiceDirectory::default()));
        let directory_task = DirectoryTask {
            snapshots: fleet.follower.watch(),
            members: fleet.members.clone(),
            settings_factory: settings_factory(&settings, &fleet, &metrics),
            directory: directory_sender,
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(directory_task.run());
        tokio::spawn(forward_updates(
            updates_inbox,
            directory.clone(),
            Arc::clone(&metrics),
        ));
        tokio::spawn(probes::run(directory.clone(), fleet.members.clone()));
        let (leaving, leaving_watch) = watch::channel(false);
        let (stop, stop_watch) = watch::channel(None);
        let (stopping, stopping_watch) = watch::channel(false);
        let (closed, closed_watch) = watch::channel(false);
        let claims = claim_callbacks(&fleet, &metrics);
        let dispatcher = Dispatcher::new(
            &settings.node,
            directory.clone(),
            DispatchCallbacks {
                claims,
                crashes: crashes::crash_callbacks(&fleet.crashes),
                quotas: None,
            },
            stop_watch,
            MemoryBudget::default(),
            Arc::clone(&metrics),
        );
        let listener = CallerListener::bind(
            settings.caller_address,
            CallerSettings {
                limits: watch::channel(settings.limits).1,
                headers: Arc::default(),
                dispatch: dispatch_to(dispatcher),
                memory: CallerMemory::default(),
            },
            leaving_watch.clone(),
        )?;
        let caller_address = listener.address()?;
        let endpoint = OpsEndpoint {
            directory: directory.clone(),
            members: fleet.members.clone(),
            quotas: None,
            metrics: Arc::clone(&metrics),
            leaving: leaving_watch,
            readiness_path: READINESS_PATH.into(),
        };
        let ops_address = endpoint.start(settings.ops_address, closed_watch).await?;
        let caller_task = tokio::spawn(listener.run(stopping_watch));
        log::info!(target: "entry", "Node {} serves callers at {caller_address}.", settings.node);
        Ok(Self {
            caller_address,
            node_address: fleet.address,
            ops_address,
            settings,
            fleet,
            directory,
            leaving,
            stop,
            stopping,
            closed,
            caller_task,
            metrics,
        })
    }

    /// Watches the node's service directory.
    pub fn directory(&self) -> watch::Receiver<Arc<ServiceDirectory>> {
        self.directory.clone()
    }

    /// The handle to the node's part in the fleet.
    pub const fn fleet(&self) -> &FleetHandle {
        &self.fleet
    }

    /// The node's metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Stops the node gracefully: it reports that it is leaving, stops accepting after the
    /// stop delay and waits for requests in flight until the stop timeout.
    pub async fn stop(self) {
        log::info!(target: "entry", "Node {} is stopping.", self.settings.node);
        let (delay, timeout) = (self.settings.stop_delay, self.settings.stop_timeout);
        let schedule = StopSchedule::new(Instant::now(), delay.get(), timeout.get());
        self.stop.send_replace(Some(schedule));
        self.leaving.send_replace(true);
        self.fleet.members.mark_leaving().await;
        time::sleep_until(schedule.accept_until).await;
        self.stopping.send_replace(true);
        let finished = time::timeout_at(schedule.end, self.caller_task).await;
        if finished.is_err() {
            log::warn!(target: "entry", "Requests in flight did not finish within the stop timeout.");
        }
        time::sleep(SETTLEMENT_PAUSE).await;
        self.closed.send_replace(true);
        self.fleet.close();
        self.metrics.stop();
    }

    /// Ends the node at once, as when its VM fails.
    pub fn kill(self) {
        self.caller_task.abort();
        self.closed.send_replace(true);
        self.fleet.close();
    }
}

/// Time for the last settlements of claims to reach the batchers of their shards.
const SETTLEMENT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Returns a callback that serves callers' requests with a dispatcher.
pub(crate) fn dispatch_to(dispatcher: Dispatcher) -> Dispatch {
    Arc::new(move |call| {
        let dispatcher = dispatcher.clone();
        Box::pin(async move { dispatcher.serve(call).await })
    })
}

fn start_fleet(
    settings: &EntrySettings,
    keys: NodeKeys,
    metrics: &Arc<NodeMetrics>,
    updates: &mpsc::Sender<ServiceUpdate>,
) -> io::Result<FleetHandle> {
    let call_metrics = Arc::clone(metrics);
    let observer = Arc::new(move |operation| call_metrics.record_platform_call(operation));
    let platform = PlatformClient::start(settings.platform_address, observer);
    let collector_updates = updates.clone();
    let drain_updates = updates.clone();
    let limit_updates = updates.clone();
    let sent_metrics = Arc::clone(metrics);
    FleetHandle::start(FleetSettings {
        own: Member {
            node: settings.node.clone(),
            address: settings.node_address,
            data_centre: settings.data_centre.clone(),
            leaving: false,
            capacity: sizes::NodeCapacity::default(),
        },
        seeds: settings.seeds.clone(),
        keys,
        platform,
        batching: BatchSettings {
            interval: settings.claim_interval.get(),
        },
        on_update: Arc::new(move |update| {
            let _ = collector_updates.try_send(ServiceUpdate::Collector(update));
        }),
        on_drain: Arc::new(move |service, upstream| {
            let _ = drain_updates.try_send(ServiceUpdate::Drained(service, upstream));
        }),
        on_limit: Arc::new(move |record| {
            let _ = limit_updates.try_send(ServiceUpdate::Limit(record));
        }),
        on_sent: Arc::new(move |bytes| sent_metrics.record_node_bytes(bytes as u64)),
    })
}

fn settings_factory(
    settings: &EntrySettings,
    fleet: &FleetHandle,
    metrics: &Arc<NodeMetrics>,
) -> SettingsFactory {
    let metrics = Arc::clone(metrics);
    let node = settings.node.clone();
    let data_centre = settings.data_centre.clone();
    let fleet = fleet.clone();
    Arc::new(move |_| {
        let evidence_fleet = fleet.clone();
        let drain_fleet = fleet.clone();
        ServiceSettings {
            node: node.clone(),
            data_centre: data_centre.clone(),
            seed: rand::random(),
            evidence: Arc::new(move |report| evidence_fleet.report(report)),
            drains: Arc::new(move |service, upstream| drain_fleet.notify_drain(service, upstream)),
            signals: Arc::new(|_| {}),
            loads: Arc::new(|_| {}),
            retry_tokens: None,
            limits: permits::limit_sink(&fleet.limits),
            permits: permits::permit_source(&fleet.limits, &metrics),
            headers: Arc::default(),
            placement: Placement::Hashed,
        }
    })
}

/// Connects the dispatcher to the node's claim client and counts each result.
fn claim_callbacks(fleet: &FleetHandle, metrics: &Arc<NodeMetrics>) -> ClaimCallbacks {
    let claims = fleet.claims.clone();
    let settlements = fleet.claims.clone();
    let metrics = Arc::clone(metrics);
    ClaimCallbacks {
        claim: Arc::new(move |attempt| {
            let claims = claims.clone();
            let metrics = Arc::clone(&metrics);
            Box::pin(async move {
                let result = claims.claim(attempt).await;
                metrics.record_claim(match &result {
                    Ok(policy::claim::ClaimVerdict::Granted) => "granted",
                    Ok(_) => "refused",
                    Err(_) => "unavailable",
                });
                result
            })
        }),
        settle: Arc::new(move |key, settlement| settlements.settle(key, settlement)),
    }
}

/// Forwards verdicts, latencies and drains to the service tasks.
async fn forward_updates(
    mut inbox: mpsc::Receiver<ServiceUpdate>,
    directory: watch::Receiver<Arc<ServiceDirectory>>,
    metrics: Arc<NodeMetrics>,
) {
    while let Some(update) = inbox.recv().await {
        let current = Arc::clone(&directory.borrow());
        match update {
            ServiceUpdate::Collector(CollectorUpdate::Verdict(change)) => {
                let VerdictChange {
                    service,
                    upstream,
                    verdict,
                } = change;
                metrics.record_verdict(&service, verdict_label(&verdict));
                if let Some(handle) = current.handles.get(&service) {
                    handle.send_verdict(upstream, verdict).await;
                }
            }
            ServiceUpdate::Collector(CollectorUpdate::Latency(latency)) => {
                if let Some(handle) = current.handles.get(&latency.service) {
                    handle.send_estimate(latency).await;
                }
            }
            ServiceUpdate::Limit(record) => {
                permits::forward_limit(&current, record).await;
            }
            ServiceUpdate::Drained(service, upstream) => {
                if let Some(handle) = current.handles.get(&service) {
                    handle.send_drain(upstream).await;
                }
            }
        }
    }
}

/// The value of the metric label `verdict`.
const fn verdict_label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Clear => "clear",
        Verdict::Avoid(_) => "avoid",
        Verdict::Eject => "eject",
    }
}
