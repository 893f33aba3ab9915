//! One step by which an operator changes the configuration.

use std::sync::Arc;

use model::config::{FleetConfig, Route, Service, Upstream, UpstreamState, Workspace};
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes};

model::record! {
    /// A change that an operator requests.
    pub enum ConfigStep {
        /// Creates a service, or replaces the settings of an existing one. The upstreams of
        /// an existing service stay as they are.
        PutService(Service),
        /// Removes a service. Validation refuses this while a route names it.
        RemoveService(ids::ServiceId),
        /// Creates or replaces an upstream.
        PutUpstream {
            /// The service that the upstream belongs to.
            service: ids::ServiceId,
            /// The complete settings of the upstream.
            upstream: Upstream,
        },
        /// Removes an upstream.
        RemoveUpstream {
            /// The service that the upstream belongs to.
            service: ids::ServiceId,
            /// The upstream to remove.
            upstream: ids::UpstreamId,
        },
        /// Drains an upstream, which then takes no new work, or activates it again.
        SetState {
            /// The service that the upstream belongs to.
            service: ids::ServiceId,
            /// The upstream to drain or activate.
            upstream: ids::UpstreamId,
            /// The new state.
            state: UpstreamState,
        },
        /// Creates or replaces a route.
        PutRoute(Route),
        /// Removes a route.
        RemoveRoute(ids::RouteId),
        /// Creates or replaces a workspace.
        PutWorkspace(Workspace),
        /// Removes a workspace.
        RemoveWorkspace(ids::WorkspaceId),
        /// Replaces all services, upstreams and routes by those of a sheet. Upstreams that
        /// the sheet omits drain first.
        ApplySheet {
            /// The services of the sheet, with their upstreams.
            services: Vec<Service>,
            /// The routes of the sheet.
            routes: Vec<Route>,
        },
    }
}

impl ConfigStep {
    /// Applies the step to a copy of the configuration, without validating the result.
    ///
    /// # Errors
    /// `NotFound` if the step names something that does not exist.
    pub fn apply(&self, config: &FleetConfig) -> Result<FleetConfig, FleetError> {
        let mut next = config.clone();
        match self {
            Self::PutService(service) => put_service(&mut next, service),
            Self::RemoveService(id) => {
                next.services
                    .remove(id)
                    .ok_or_else(|| not_found("service", id.as_str()))?;
            }
            Self::PutUpstream { service, upstream } => {
                let service = service_mut(&mut next, service)?;
                service.upstreams.retain(|up| up.id != upstream.id);
                service.upstreams.push(upstream.clone());
                service.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
            }
            Self::RemoveUpstream { service, upstream } => {
                let service = service_mut(&mut next, service)?;
                upstream_mut(service, upstream)?;
                service.upstreams.retain(|up| up.id != *upstream);
            }
            Self::SetState {
                service,
                upstream,
                state,
            } => {
                let service = service_mut(&mut next, service)?;
                upstream_mut(service, upstream)?.state = *state;
            }
            Self::PutRoute(route) => {
                next.routes
                    .insert(route.id.clone(), Arc::new(route.clone()));
            }
            Self::RemoveRoute(id) => {
                next.routes
                    .remove(id)
                    .ok_or_else(|| not_found("route", id.as_str()))?;
            }
            Self::PutWorkspace(workspace) => {
                next.workspaces
                    .insert(workspace.id.clone(), workspace.clone());
            }
            Self::RemoveWorkspace(id) => {
                next.workspaces
                    .remove(id)
                    .ok_or_else(|| not_found("workspace", id.as_str()))?;
            }
            Self::ApplySheet { services, routes } => apply_sheet(&mut next, services, routes),
        }
        Ok(next)
    }

    /// One line for the audit trail. It is stored in audit entries and must not change.
    pub fn describe(&self) -> String {
        match self {
            Self::PutService(service) => format!("put service {}", service.id),
            Self::RemoveService(id) => format!("remove service {id}"),
            Self::PutUpstream { service, upstream } => {
                format!("put upstream {} of {service}", upstream.id)
            }
            Self::RemoveUpstream { service, upstream } => {
                format!("remove upstream {upstream} of {service}")
            }
            Self::SetState {
                service,
                upstream,
                state,
            } => {
                format!("set {upstream} of {service} to {state}")
            }
            Self::PutRoute(route) => format!("put route {}", route.id),
            Self::RemoveRoute(id) => format!("remove route {id}"),
            Self::PutWorkspace(workspace) => format!("put workspace {}", workspace.id),
            Self::RemoveWorkspace(id) => format!("remove workspace {id}"),
            Self::ApplySheet { services, routes } => {
                format!(
                    "apply sheet with {} services and {} routes",
                    services.len(),
                    routes.len()
                )
            }
        }
    }
}

fn put_service(next: &mut FleetConfig, service: &Service) {
    let existing = next.services.get(&service.id);
    let upstreams = existing.map_or_else(
        || service.upstreams.clone(),
        |existing| existing.upstreams.clone(),
    );
    let service = Service {
        upstreams,
        ..service.clone()
    };
    next.services.insert(service.id.clone(), Arc::new(service));
}

/// Replaces services and routes by those of a sheet. Upstreams that the sheet omits are
/// set to drain; a later sheet that omits them again removes them.
fn apply_sheet(next: &mut FleetConfig, services: &[Service], routes: &[Route]) {
    let before = std::mem::take(&mut next.services);
    for service in services {
        let mut updated = service.clone();
        let existing = before
            .get(&service.id)
            .into_iter()
            .flat_map(|existing| &existing.upstreams);
        let omitted = existing.filter(|up| !service.upstreams.iter().any(|kept| kept.id == up.id));
        updated.upstreams.extend(drain_active(omitted));
        updated.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        next.services.insert(updated.id.clone(), Arc::new(updated));
    }
    for (id, service) in before {
        let upstreams: Vec<_> = drain_active(service.upstreams.iter()).collect();
        if next.services.contains_key(&id) || upstreams.is_empty() {
            continue;
        }
        // A service that only drains has no active slots, so its floor is lifted.
        let floor = sizes::SlotCount::new(0);
        let draining = Service {
            upstreams,
            floor,
            ..service.as_ref().clone()
        };
        next.services.insert(id, Arc::new(draining));
    }
    next.routes = routes
        .iter()
        .map(|route| (route.id.clone(), Arc::new(route.clone())))
        .collect();
}

/// Sets active upstreams to drain and leaves out those that drain already.
fn drain_active<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> impl Iterator<Item = Upstream> {
    let active = upstreams.filter(|up| up.state == UpstreamState::Active);
    active.map(|up| Upstream {
        state: UpstreamState::Draining,
        ..up.clone()
    })
}

fn service_mut<'a>(
    config: &'a mut FleetConfig,
    id: &ids::ServiceId,
) -> Result<&'a mut Service, FleetError> {
    let service = config
        .services
        .get_mut(id)
        .ok_or_else(|| not_found("service", id.as_str()))?;
    Ok(Arc::make_mut(service))
}

fn upstream_mut<'a>(
    service: &'a mut Service,
    id: &ids::UpstreamId,
) -> Result<&'a mut Upstream, FleetError> {
    let upstream = service.upstreams.iter_mut().find(|up| up.id == *id);
    upstream.ok_or_else(|| not_found("upstream", id.as_str()))
}

fn not_found(part: &str, id: &str) -> FleetError {
    FleetError::new(ErrorKind::NotFound, format!("{part} {id} does not exist"))
}
