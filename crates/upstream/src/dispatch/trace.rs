//! How a request ended, for the log.

use std::sync::Arc;

use model::call::CallResponse;
use model::error::{FleetError, Outcome};
use model::ids;
use tokio::time::Instant;

/// The log fields of one request that are known before its outcome.
pub(super) struct CallTrace {
    pub(super) started: Instant,
    pub(super) request: ids::RequestId,
    /// Generation of the configuration that routed the request.
    pub(super) generation: u64,
    pub(super) host: Arc<str>,
    pub(super) route: Option<ids::RouteId>,
    pub(super) service: Option<ids::ServiceId>,
    /// The workspace of the request's key, or one that the configuration names. A name that
    /// only the caller knows is left out: it may be a key.
    pub(super) workspace: Option<ids::WorkspaceId>,
}

/// What a caller may conclude from the result of its request.
pub(super) fn outcome(result: &Result<CallResponse, FleetError>) -> Outcome {
    result.as_ref().map_or_else(
        |error| error.kind().response().outcome,
        |_| Outcome::Responded,
    )
}

impl CallTrace {
    /// Logs how the request ended. Failures have a log target of their own, so that
    /// the rate limit on answered requests never suppresses them.
    pub(super) fn log_end(&self, result: &Result<CallResponse, FleetError>) {
        let Self {
            started,
            request,
            generation,
            host,
            route,
            service,
            workspace,
        } = self;
        let age_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let route = route.as_ref().map_or("none", ids::RouteId::as_str);
        let service = service.as_ref().map_or("none", ids::ServiceId::as_str);
        let workspace = workspace.as_ref().map(ids::WorkspaceId::as_str);
        match result {
            Ok(response) => log::info!(
                target: "answer",
                request:%, route, service, generation, age_ms,
                status = response.status.as_u16(),
                workspace;
                "A request was answered."
            ),
            Err(error) => log::info!(
                target: "failure",
                request:%, route, service, generation, age_ms,
                host = host.as_ref(),
                kind:% = error.kind(),
                outcome:% = error.kind().response().outcome,
                workspace;
                "A request failed: {}.", error.detail()
            ),
        }
    }
}
