//! The route, the service and the workspace of a request.

use std::sync::Arc;

use model::call::CallHead;
use model::error::{ErrorKind, FleetError};
use model::{config, ids};
use policy::routing::RouteMatch;

use crate::service::{ServiceDirectory, ServiceHandle};

/// Whether a configuration is in force.
pub(super) fn is_configured(directory: &ServiceDirectory) -> bool {
    directory.config.generation.get() > 0
}

/// Finds the route of a request.
///
/// # Errors
/// `NotReady` without a configuration, and `NoRoute` if none matches.
pub(super) fn match_route<'a>(
    directory: &'a ServiceDirectory,
    head: &CallHead,
) -> Result<&'a RouteMatch, FleetError> {
    if !is_configured(directory) {
        return Err(FleetError::new(
            ErrorKind::NotReady,
            "no configuration is in force yet",
        ));
    }
    directory.routes.find(head).ok_or_else(|| {
        let detail = format!("no route for {} {}", head.method, head.path());
        FleetError::new(ErrorKind::NoRoute, detail)
    })
}

/// Selects the service of a request by a random number.
///
/// # Errors
/// `NoUpstream` when no service of the route exists.
pub(super) fn choose_service(
    matched: &RouteMatch,
    draw: u64,
) -> Result<&Arc<config::Service>, FleetError> {
    matched.service_for(draw).ok_or_else(|| {
        let detail = format!("route {} leads to no service", matched.route.id);
        FleetError::new(ErrorKind::NoUpstream, detail)
    })
}

/// Finds the task of a service.
///
/// # Errors
/// `NoUpstream` when it has none.
pub(super) fn find_handle<'a>(
    directory: &'a ServiceDirectory,
    service: &config::Service,
) -> Result<&'a ServiceHandle, FleetError> {
    directory.handles.get(&service.id).ok_or_else(|| {
        let id = &service.id;
        let detail = format!("service {id} is routed to but has no running task");
        FleetError::new(ErrorKind::NoUpstream, detail)
    })
}

/// The workspace that a request names, if the configuration has it.
pub(super) fn configured_workspace(
    fleet: &config::FleetConfig,
    head: &CallHead,
) -> Option<ids::WorkspaceId> {
    let workspace = head.workspace.as_ref()?;
    let configured = fleet.workspaces.get(workspace)?;
    Some(configured.id.clone())
}

/// The workspace that a request names, with its limit; its name is new if the configuration names
/// no workspaces.
///
/// # Errors
/// `UnknownWorkspace` when the configuration names workspaces, but not this one.
pub(super) fn find_workspace(
    fleet: &config::FleetConfig,
    head: &CallHead,
) -> Result<Option<config::Workspace>, FleetError> {
    let Some(id) = &head.workspace else {
        return Ok(None);
    };
    if let Some(workspace) = fleet.workspaces.get(id) {
        return Ok(Some(workspace.clone()));
    }
    if fleet.workspaces.is_empty() {
        return Ok(Some(config::Workspace {
            id: id.clone(),
            limit: None,
        }));
    }
    Err(FleetError::new(
        ErrorKind::UnknownWorkspace,
        format!("workspace {id} is not configured"),
    ))
}
