//! A node whose configuration and upstreams come from a source outside the fleet.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use caller::wire::CallerHeaders;
use caller::{CallerLimits, CallerListener, CallerSettings};
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes, span};
use node::keys::{FleetCa, NodeKeys};
use node::replica::{FleetSource, NodeUpdate, ReplicaFleet, ReplicaSettings};
use policy::membership::Member;
use telemetry::metrics::NodeMetrics;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time;
use upstream::dispatch::{ClaimCallbacks, Dispatcher};
use upstream::service::{RetryTokenSource, ServiceDirectory, ServiceSettings, SettingsFactory};
use upstream::wire::UpstreamHeaders;

use crate::books::BookParts;
use crate::ops::OpsEndpoint;
use crate::server::dispatch_to;

/// News of other nodes that wait for the services; when it is full the newest
/// are dropped, since suspicion fades and loads are told again.
const NEWS_MAX: usize = 1_024;

/// Everything that a gateway is started from.
pub struct GatewaySettings {
    /// The node's name.
    pub node: ids::NodeId,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
    /// What it can do for other nodes.
    pub capacity: sizes::NodeCapacity,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other nodes reach it.
    pub node_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    /// The path of that question.
    pub ready_path: Arc<str>,
    /// Where operators and scrapers reach it.
    pub ops_address: Option<SocketAddr>,
    /// Where nodes listen that may know the fleet; may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The fleet's certificate authority.
    pub ca: FleetCa,
    /// Where configuration and upstreams come from.
    pub source: FleetSource,
    /// Names of headers towards callers.
    pub caller_headers: CallerHeaders,
    /// Names of headers towards upstreams.
    pub upstream_headers: UpstreamHeaders,
    /// Connections from callers that are open at once.
    pub connections: usize,
    /// How long a stopping node keeps accepting while the balancer takes notice.
    pub stop_delay: span::TimeSpan,
    /// The longest that a stopping node waits for work in flight.
    pub stop_timeout: span::TimeSpan,
    /// The instruments.
    pub metrics: Arc<NodeMetrics>,
}

/// A running gateway.
pub struct GatewayServer {
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    /// Where other nodes reach it.
    pub node_address: SocketAddr,
    node: ids::NodeId,
    stop_delay: span::TimeSpan,
    stop_timeout: span::TimeSpan,
    fleet: ReplicaFleet,
    leaving: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    front: JoinHandle<()>,
}

impl GatewayServer {
    /// Starts a node.
    ///
    /// # Errors
    /// When an address cannot be bound or the keys cannot be used.
    pub async fn start(settings: GatewaySettings) -> io::Result<Self> {
        let metrics = Arc::clone(&settings.metrics);
        let (news, news_inbox) = mpsc::channel(NEWS_MAX);
        let fleet = start_fleet(&settings, news)?;
        let (publish, directory) = watch::channel(Arc::new(ServiceDirectory::default()));
        tokio::spawn(pass_news(news_inbox, directory.clone()));
        let (limits, limits_watch) = watch::channel(CallerLimits {
            connections: settings.connections,
            ..CallerLimits::default()
        });
        let parts = BookParts {
            fleet: fleet.clone(),
            settings_factory: settings_factory(&settings, &fleet),
            publish,
            limits,
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(parts.run());
        let (leaving, leaving_watch) = watch::channel(false);
        let (stopping, stopping_watch) = watch::channel(false);
        let (closed, closed_watch) = watch::channel(false);
        let dispatcher = Dispatcher::new(
            &settings.node,
            directory.clone(),
            refuse_claims(),
            Arc::clone(&metrics),
        );
        let front = CallerListener::bind(
            settings.caller_address,
            CallerSettings {
                limits: limits_watch,
                headers: Arc::new(settings.caller_headers),
                dispatch: dispatch_to(dispatcher),
            },
            leaving_watch.clone(),
        )
        .await?;
        let endpoint = OpsEndpoint {
            directory,
            members: fleet.members.clone(),
            metrics,
            leaving: leaving_watch,
            ready_path: settings.ready_path,
        };
        let ready = endpoint.clone();
        let ready_address = ready
            .start(settings.ready_address, closed_watch.clone())
            .await?;
        if let Some(address) = settings.ops_address {
            endpoint.start(address, closed_watch).await?;
        }
        let caller_address = front.address()?;
        let front = tokio::spawn(front.run(stopping_watch));
        log::info!(
            target: "gateway",
            "Node {} serves callers at {caller_address}.",
            settings.node
        );
        Ok(Self {
            caller_address,
            ready_address,
            node_address: fleet.address,
            node: settings.node,
            stop_delay: settings.stop_delay,
            stop_timeout: settings.stop_timeout,
            fleet,
            leaving,
            stopping,
            closed,
            front,
        })
    }

    /// Stops the node as planned: no request in flight is cut.
    pub async fn stop(self) {
        log::info!(target: "gateway", "Node {} stops.", self.node);
        self.leaving.send_replace(true);
        self.fleet.members.mark_leaving().await;
        time::sleep(self.stop_delay.get()).await;
        self.stopping.send_replace(true);
        let closing = time::timeout(self.stop_timeout.get(), self.front).await;
        if closing.is_err() {
            log::warn!(target: "gateway", "Work in flight outlasted the stop's timeout.");
        }
        self.closed.send_replace(true);
        self.fleet.close();
        log::info!(target: "gateway", "Node {} has stopped.", self.node);
    }
}

fn start_fleet(
    settings: &GatewaySettings,
    news: mpsc::Sender<NodeUpdate>,
) -> io::Result<ReplicaFleet> {
    let sent = Arc::clone(&settings.metrics);
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
        on_sent: Arc::new(move |bytes| sent.record_node_bytes(bytes as u64)),
        updates: news,
        first_start: settings.first_start,
    })
}

fn settings_factory(settings: &GatewaySettings, fleet: &ReplicaFleet) -> SettingsFactory {
    let node = settings.node.clone();
    let data_centre = settings.data_centre.clone();
    let headers = Arc::new(settings.upstream_headers.clone());
    let fleet = fleet.clone();
    Arc::new(move |service| {
        let (fleet, neighbours, pool) = (fleet.clone(), fleet.clone(), fleet.clone());
        let service = service.clone();
        ServiceSettings {
            node: node.clone(),
            data_centre: data_centre.clone(),
            seed: rand::random(),
            evidence: Arc::new(|_| {}),
            drains: Arc::new(|_, _| {}),
            signals: Arc::new(move |signals| fleet.publish_signals(&signals)),
            loads: Arc::new(move |report| neighbours.report_loads(report)),
            retry_tokens: Some(RetryTokenSource::new(move || {
                let (pool, service) = (pool.clone(), service.clone());
                Box::pin(async move { pool.draw_retry_token(service).await })
            })),
            headers: Arc::clone(&headers),
        }
    })
}

/// Hands news of other nodes to the services' tasks.
async fn pass_news(
    mut inbox: mpsc::Receiver<NodeUpdate>,
    directory: watch::Receiver<Arc<ServiceDirectory>>,
) {
    while let Some(news) = inbox.recv().await {
        let current = Arc::clone(&directory.borrow());
        match news {
            NodeUpdate::Signal(signal) => {
                if let Some(handle) = current.handles.get(&signal.service) {
                    handle.send_signal(signal).await;
                }
            }
            NodeUpdate::Load(load) => {
                if let Some(handle) = current.handles.get(&load.service) {
                    handle.report_data_centre_load(load).await;
                }
            }
        }
    }
}

/// Refuses claims: callers of a gateway send no keys.
fn refuse_claims() -> ClaimCallbacks {
    ClaimCallbacks {
        claim: Arc::new(|_| {
            Box::pin(async {
                let detail = "this node keeps no claims";
                Err(FleetError::new(ErrorKind::ClaimUnavailable, detail))
            })
        }),
        settle: Arc::new(|_, _| {}),
    }
}
