//! Where a request would go now, and why, without sending it.

use std::sync::Arc;

use model::call::{CallHead, CallerKey};
use model::config::{FleetConfig, WorkspaceQuota};
use model::error::{ErrorKind, FleetError};
use model::ids;
use policy::access::{self, CallerAccess};
use policy::retry::RetryCharge;
use policy::service::{AttemptPurpose, AttemptRequest, RequestPreview};

use super::{admission, target};
use crate::service::ServiceDirectory;

/// Where a request would go.
#[derive(Debug)]
pub struct CallPreview {
    /// The route that matches.
    pub route: ids::RouteId,
    /// The service; one drawn by weight if the route splits its requests.
    pub service: ids::ServiceId,
    /// The workspace for which it would be sent.
    pub workspace: Option<ids::WorkspaceId>,
    /// The quota of the workspace.
    pub quota: Option<WorkspaceQuota>,
    /// Requests of this node that wait for an upstream of the service. They may go first.
    pub waiting: usize,
    /// What the balancer of the service would decide.
    pub balancer: RequestPreview,
}

/// Previews the first attempt of a request for the workspace in its head, whatever its key.
///
/// # Errors
/// Why the request would be rejected before an upstream is selected.
pub async fn preview(
    directory: &ServiceDirectory,
    request_id: ids::RequestId,
    head: &CallHead,
) -> Result<CallPreview, FleetError> {
    let matched = target::match_route(directory, head)?;
    let route = &matched.route;
    let access = find_access(&directory.config, &route.id, head)?;
    let service = target::choose_service(matched, rand::random())?;
    let handle = target::find_handle(directory, service)?;
    let request = AttemptRequest {
        request_id,
        repeatable: route.retry_rule.allows(&head.method),
        exclude: Vec::new(),
        purpose: AttemptPurpose::First,
        charge: RetryCharge::Budget,
        target_latency: route.options.target_latency.map(model::span::TimeSpan::get),
        class: access
            .as_ref()
            .map(|access| Arc::new(admission::classify(access, route))),
    };
    let balancer = handle.preview(request).await.ok_or_else(|| {
        let detail = format!("the task of service {} has ended", service.id);
        FleetError::new(ErrorKind::NoUpstream, detail)
    })?;
    Ok(CallPreview {
        route: route.id.clone(),
        service: service.id.clone(),
        workspace: match &access {
            Some(access) => access.workspace.clone(),
            None => head.workspace.clone(),
        },
        quota: access.and_then(|access| access.terms.quota),
        waiting: handle.queue_length(),
        balancer,
    })
}

/// The access of a caller with a key of the workspace in the head, or of one without a key.
fn find_access(
    fleet: &FleetConfig,
    route: &ids::RouteId,
    head: &CallHead,
) -> Result<Option<CallerAccess>, FleetError> {
    let Some(table) = &fleet.access else {
        target::find_workspace(fleet, head)?;
        return Ok(None);
    };
    let Some(workspace) = &head.workspace else {
        let access = access::check(table, route, CallerKey::Missing);
        return access
            .map(Some)
            .map_err(|refusal| FleetError::new(ErrorKind::Unauthenticated, refusal.to_string()));
    };
    let terms = table.workspaces.get(workspace).ok_or_else(|| {
        let detail = format!("workspace {workspace} is not configured");
        FleetError::new(ErrorKind::UnknownWorkspace, detail)
    })?;
    Ok(Some(CallerAccess {
        workspace: Some(workspace.clone()),
        terms: *terms,
    }))
}
