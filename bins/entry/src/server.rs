//! Starts every part of a node and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use caller::{CallerListener, CallerSettings, listener::Dispatch};
use model::{ids, sizes};
use node::claims::BatchSettings;
use node::collector::CollectorUpdate;
use node::keys::NodeKeys;
use node::{FleetHandle, FleetSettings};
use platform::PlatformClient;
use policy::detection::{Verdict, VerdictChange};
use policy::membership::Member;
use telemetry::metrics::NodeMetrics;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time;
use upstream::dispatch::{ClaimCallbacks, Dispatcher};
use upstream::service::{ServiceDirectory, ServiceSettings, SettingsFactory};

use crate::directory::DirectoryParts;
use crate::ops::OpsEndpoint;
use crate::probes;
use crate::settings::EntrySettings;

/// News for the services that wait; when it is full the newest are dropped,
/// since verdicts and drains are told again.
const UPDATES_MAX: usize = 4096;

/// Where balancers ask whether a node is ready.
const READY_PATH: &str = "/ready";

/// A running entry node.
pub struct EntryServer {
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other nodes reach it.
    pub node_address: SocketAddr,
    /// Where operators reach it.
    pub ops_address: SocketAddr,
    settings: EntrySettings,
    fleet: FleetHandle,
    directory: watch::Receiver<Arc<ServiceDirectory>>,
    leaving: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    front: JoinHandle<()>,
    metrics: Arc<NodeMetrics>,
}

/// News from other nodes for the services of this one.
#[derive(Debug)]
enum ServiceUpdate {
    Collector(CollectorUpdate),
    Drained(ids::ServiceId, ids::UpstreamId),
}

impl EntryServer {
    /// Starts a node.
    ///
    /// # Errors
    /// When an address cannot be bound or the keys cannot be used.
    pub async fn start(settings: EntrySettings) -> io::Result<Self> {
        let metrics = Arc::new(NodeMetrics::new().map_err(io::Error::other)?);
        let keys = NodeKeys::issue(&settings.ca).map_err(io::Error::other)?;
        let (update, update_inbox) = mpsc::channel(UPDATES_MAX);
        let fleet = start_fleet(&settings, keys, &metrics, &update)?;
        let (publish, directory) = watch::channel(Arc::new(ServiceDirectory::default()));
        let parts = DirectoryParts {
            snapshots: fleet.follower.watch(),
            members: fleet.members.clone(),
            settings_factory: settings_factory(&settings, &fleet),
            publish,
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(parts.run());
        tokio::spawn(pass_updates(
            update_inbox,
            directory.clone(),
            Arc::clone(&metrics),
        ));
        tokio::spawn(probes::run(directory.clone(), fleet.members.clone()));
        let (leaving, leaving_watch) = watch::channel(false);
        let (stopping, stopping_watch) = watch::channel(false);
        let (closed, closed_watch) = watch::channel(false);
        let claims = claim_callbacks(&fleet, &metrics);
        let dispatcher = Dispatcher::new(
            &settings.node,
            directory.clone(),
            claims,
            Arc::clone(&metrics),
        );
        let front = CallerListener::bind(
            settings.caller_address,
            CallerSettings {
                limits: watch::channel(settings.limits).1,
                headers: Arc::default(),
                dispatch: dispatch_to(dispatcher),
            },
            leaving_watch.clone(),
        )
        .await?;
        let caller_address = front.address()?;
        let endpoint = OpsEndpoint {
            directory: directory.clone(),
            members: fleet.members.clone(),
            metrics: Arc::clone(&metrics),
            leaving: leaving_watch,
            ready_path: READY_PATH.into(),
        };
        let ops_address = endpoint.start(settings.ops_address, closed_watch).await?;
        let front = tokio::spawn(front.run(stopping_watch));
        log::info!(target: "entry", "Node {} serves callers at {caller_address}.", settings.node);
        Ok(Self {
            caller_address,
            node_address: fleet.address,
            ops_address,
            settings,
            fleet,
            directory,
            leaving,
            stopping,
            closed,
            front,
            metrics,
        })
    }

    /// Follows the services of this node.
    pub fn directory(&self) -> watch::Receiver<Arc<ServiceDirectory>> {
        self.directory.clone()
    }

    /// Its part in the fleet.
    pub const fn fleet(&self) -> &FleetHandle {
        &self.fleet
    }

    /// Its metrics in the text format that scrapers read.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Stops the node as planned: no request in flight is cut.
    pub async fn stop(self) {
        log::info!(target: "entry", "Node {} stops.", self.settings.node);
        self.leaving.send_replace(true);
        self.fleet.members.mark_leaving().await;
        time::sleep(self.settings.stop_delay.get()).await;
        self.stopping.send_replace(true);
        let closing = time::timeout(self.settings.stop_timeout.get(), self.front).await;
        if closing.is_err() {
            log::warn!(target: "entry", "Work in flight outlasted the stop's timeout.");
        }
        time::sleep(SETTLE_PAUSE).await;
        self.closed.send_replace(true);
        self.fleet.close();
        self.metrics.stop();
    }

    /// Ends the node at once, as a failing VM would.
    pub fn kill(self) {
        self.front.abort();
        self.closed.send_replace(true);
        self.fleet.close();
    }
}

/// Time for the last outcomes to reach the batchers.
const SETTLE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Hands the calls of a front end to a dispatcher.
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
    update: &mpsc::Sender<ServiceUpdate>,
) -> io::Result<FleetHandle> {
    let calls = Arc::clone(metrics);
    let observer = Arc::new(move |operation| calls.record_platform_call(operation));
    let platform = PlatformClient::start(settings.platform, observer);
    let collector_update = update.clone();
    let drain_update = update.clone();
    let sent = Arc::clone(metrics);
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
            interval: settings.claim_pace.get(),
        },
        on_update: Arc::new(move |update| {
            let _ = collector_update.try_send(ServiceUpdate::Collector(update));
        }),
        on_drain: Arc::new(move |service, upstream| {
            let _ = drain_update.try_send(ServiceUpdate::Drained(service, upstream));
        }),
        on_sent: Arc::new(move |bytes| sent.record_node_bytes(bytes as u64)),
    })
}

fn settings_factory(settings: &EntrySettings, fleet: &FleetHandle) -> SettingsFactory {
    let node = settings.node.clone();
    let data_centre = settings.data_centre.clone();
    let fleet = fleet.clone();
    Arc::new(move |_| {
        let evidence = fleet.clone();
        let drains = fleet.clone();
        ServiceSettings {
            node: node.clone(),
            data_centre: data_centre.clone(),
            seed: rand::random(),
            evidence: Arc::new(move |report| evidence.report(report)),
            drains: Arc::new(move |service, upstream| drains.notify_drain(service, upstream)),
            signals: Arc::new(|_| {}),
            loads: Arc::new(|_| {}),
            retry_tokens: None,
            headers: Arc::default(),
        }
    })
}

fn claim_callbacks(fleet: &FleetHandle, metrics: &Arc<NodeMetrics>) -> ClaimCallbacks {
    let claims = fleet.claims.clone();
    let settles = fleet.claims.clone();
    let metrics = Arc::clone(metrics);
    ClaimCallbacks {
        claim: Arc::new(move |command| {
            let claims = claims.clone();
            let metrics = Arc::clone(&metrics);
            Box::pin(async move {
                let result = claims.claim(command).await;
                metrics.record_claim(match &result {
                    Ok(policy::claim::ClaimVerdict::Granted) => "granted",
                    Ok(_) => "refused",
                    Err(_) => "unavailable",
                });
                result
            })
        }),
        settle: Arc::new(move |key, settlement| settles.settle(key, settlement)),
    }
}

/// Hands verdicts and drains to the services' tasks.
async fn pass_updates(
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
                metrics.record_verdict(&service, verdict_word(&verdict));
                if let Some(handle) = current.handles.get(&service) {
                    handle.send_verdict(upstream, verdict).await;
                }
            }
            ServiceUpdate::Collector(CollectorUpdate::Latency(estimate)) => {
                if let Some(handle) = current.handles.get(&estimate.service) {
                    handle.send_estimate(estimate).await;
                }
            }
            ServiceUpdate::Drained(service, upstream) => {
                if let Some(handle) = current.handles.get(&service) {
                    handle.report_drain(upstream).await;
                }
            }
        }
    }
}

const fn verdict_word(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Clear => "clear",
        Verdict::Avoid(_) => "avoid",
        Verdict::Eject => "eject",
    }
}
