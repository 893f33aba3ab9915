//! The operations endpoint: readiness, status and metrics over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Response, StatusCode, Uri, header};
use http1::server::{self, ServeLimits};
use model::call::{self, BodyStream};
use model::sizes::RateLimit;
use node::members::MemberSet;
use node::replica::QuotaHandle;
use policy::invariant::{self, Invariant};
use policy::service::UpstreamStatus;
use telemetry::logs;
use telemetry::metrics::NodeMetrics;
use tokio::net::TcpListener;
use tokio::sync::watch;
use upstream::service::ServiceDirectory;

use crate::where_page;

/// The state that the endpoint reports.
#[derive(Clone)]
pub(crate) struct OpsEndpoint {
    pub(crate) directory: watch::Receiver<Arc<ServiceDirectory>>,
    pub(crate) members: MemberSet,
    /// The quotas of workspaces; `None` if none are enforced.
    pub(crate) quotas: Option<QuotaHandle>,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) leaving: watch::Receiver<bool>,
    /// Path of the load balancer's readiness checks.
    pub(crate) readiness_path: Arc<str>,
}

impl OpsEndpoint {
    /// Binds the endpoint, serves it until `stopping` turns true, and returns its address.
    pub(crate) async fn start(
        self,
        address: SocketAddr,
        stopping: watch::Receiver<bool>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handler: server::Handler<BodyStream> = Arc::new(move |request| {
            let endpoint = self.clone();
            Box::pin(async move { endpoint.respond(request.uri()).await })
        });
        tokio::spawn(server::listen(
            listener,
            ServeLimits::default(),
            handler,
            stopping,
        ));
        Ok(address)
    }

    async fn respond(&self, uri: &Uri) -> Response<BodyStream> {
        let path = uri.path();
        if path == self.readiness_path.as_ref() {
            return self.readiness();
        }
        match path {
            "/status" => self.status().await,
            "/metrics" => self.metrics_page().await,
            "/where" => self.where_page(uri.query().unwrap_or_default()).await,
            _ => text_response(
                StatusCode::NOT_FOUND,
                "text/plain",
                "available paths: /status, /metrics, /where and the readiness path\n",
            ),
        }
    }

    fn readiness(&self) -> Response<BodyStream> {
        let configured = self.directory.borrow().config.generation.get() > 0;
        let (status, body) = match (configured, *self.leaving.borrow()) {
            (true, false) => (StatusCode::OK, "ready\n"),
            (true, true) => (StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            (false, _) => (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n"),
        };
        text_response(status, "text/plain", body)
    }

    async fn status(&self) -> Response<BodyStream> {
        let directory = Arc::clone(&self.directory.borrow());
        let table = self.members.table();
        let mut services = serde_json::Map::new();
        for (id, handle) in directory.handles.iter() {
            let views = handle.views().await;
            let upstreams = views.into_values().map(|view| {
                serde_json::json!({
                    "upstream": view.upstream.as_str(),
                    "status": view.status.as_str(),
                    "in_flight": view.in_flight,
                    "limit": view.limit,
                    "unoffered": view.unoffered,
                    "rate_limit": view.rate_limit.map(RateLimit::get),
                    "pause_left_s": view.pause.map(|pause| pause.left.as_secs_f64()),
                    "preferred": view.preferred,
                    "sharing_nodes": view.sharing_nodes,
                    "pause_age_s": view.pause.map(|pause| pause.age.as_secs_f64()),
                })
            });
            services.insert(id.to_string(), upstreams.collect());
        }
        let status = serde_json::json!({
            "node": table.own().node.as_str(),
            "data_centre": table.own().data_centre.as_str(),
            "generation": directory.config.generation.get(),
            "nodes": table.len(),
            "services": services,
        });
        text_response(StatusCode::OK, "application/json", &format!("{status}\n"))
    }

    async fn where_page(&self, query: &str) -> Response<BodyStream> {
        let head = match where_page::decode_query(query) {
            Ok(head) => head,
            Err(detail) => {
                let detail = format!("{detail}\n");
                return text_response(StatusCode::BAD_REQUEST, "text/plain", &detail);
            }
        };
        let directory = Arc::clone(&self.directory.borrow());
        let page = where_page::describe(&directory, self.quotas.as_ref(), &head).await;
        text_response(StatusCode::OK, "application/json", &format!("{page}\n"))
    }

    /// Updates the gauges and returns every metric.
    async fn metrics_page(&self) -> Response<BodyStream> {
        let directory = Arc::clone(&self.directory.borrow());
        for (service, handle) in directory.handles.iter() {
            let views = handle.views().await;
            let in_flight = views.values().map(|view| u64::from(view.in_flight)).sum();
            self.metrics.set_in_flight(service, in_flight);
            let waiting = handle.queue_length() as u64;
            self.metrics.set_queue_length(service, waiting);
            let unoffered = views.values().filter(|view| view.unoffered).count();
            self.metrics.set_unoffered_count(service, unoffered as u64);
            let preferred = views.values().filter(|view| view.preferred).count();
            self.metrics.set_preferred_count(service, preferred as u64);
            let sharing_nodes = views.values().filter_map(|view| view.sharing_nodes);
            if let Some(most) = sharing_nodes.max() {
                self.metrics.set_sharing_nodes(service, u64::from(most));
            }
            let limited = views.values().filter(|view| view.rate_limit.is_some());
            self.metrics
                .set_rate_limited_count(service, limited.count() as u64);
            let paused = views.values().filter(|view| view.pause.is_some());
            self.metrics
                .set_paused_count(service, paused.count() as u64);
            for status in UpstreamStatus::ALL {
                let matching = views.values().filter(|view| view.status == *status);
                self.metrics
                    .set_upstream_count(service, status.as_str(), matching.count() as u64);
            }
        }
        self.metrics
            .set_node_count(self.members.table().len() as u64);
        self.metrics.set_dropped_lines(logs::dropped_lines());
        for invariant in Invariant::ALL {
            self.metrics
                .set_breaches(invariant.as_str(), invariant::breaches(*invariant));
        }
        text_response(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            &self.metrics.render(),
        )
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: &str,
) -> Response<BodyStream> {
    let mut response = Response::new(call::full_body(body.to_owned()));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
