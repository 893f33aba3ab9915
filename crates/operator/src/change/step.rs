//! One step of change to the configuration.

use std::sync::Arc;

use model::config::{FleetConfig, Route, Service, Upstream, UpstreamState, Workspace};
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes};

model::record! {
    /// What an operator asks for.
    pub enum ConfigStep {
        /// Creates or replaces a service's settings; its upstreams stay as they are
        /// unless the service is new.
        PutService(Service),
        /// Removes a service that no route names.
        RemoveService(ids::ServiceId),
        /// Creates or replaces an upstream.
        PutUpstream {
            /// The service.
            service: ids::ServiceId,
            /// The upstream.
            upstream: Upstream,
        },
        /// Removes an upstream.
        RemoveUpstream {
            /// The service.
            service: ids::ServiceId,
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// Lets an upstream finish its work and take no more, or takes that back.
        SetState {
            /// The service.
            service: ids::ServiceId,
            /// The upstream.
            upstream: ids::UpstreamId,
            /// The state wanted.
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
        /// Brings everything into line with a sheet: services, upstreams and routes.
        ApplySheet {
            /// What the sheet states.
            services: Vec<Service>,
            /// Routes that the sheet states.
            routes: Vec<Route>,
        },
    }
}

impl ConfigStep {
    /// Makes the step on a copy of the configuration.
    ///
    /// # Errors
    /// `NotFound` when the step names something that does not exist.
    pub fn apply(&self, config: &FleetConfig) -> Result<FleetConfig, FleetError> {
        let mut next = config.clone();
        match self {
            Self::PutService(service) => put_service(&mut next, service),
            Self::RemoveService(id) => {
                next.services
                    .remove(id)
                    .ok_or_else(|| missing("service", id.as_str()))?;
            }
            Self::PutUpstream { service, upstream } => {
                let service = service_mut(&mut next, service)?;
                service.upstreams.retain(|up| up.id != upstream.id);
                service.upstreams.push(upstream.clone());
                service.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
            }
            Self::RemoveUpstream { service, upstream } => {
                let service = service_mut(&mut next, service)?;
                find_upstream(service, upstream)?;
                service.upstreams.retain(|up| up.id != *upstream);
            }
            Self::SetState {
                service,
                upstream,
                state,
            } => {
                let service = service_mut(&mut next, service)?;
                find_upstream(service, upstream)?.state = *state;
            }
            Self::PutRoute(route) => {
                next.routes
                    .insert(route.id.clone(), Arc::new(route.clone()));
            }
            Self::RemoveRoute(id) => {
                next.routes
                    .remove(id)
                    .ok_or_else(|| missing("route", id.as_str()))?;
            }
            Self::PutWorkspace(workspace) => {
                next.workspaces
                    .insert(workspace.id.clone(), workspace.clone());
            }
            Self::RemoveWorkspace(id) => {
                next.workspaces
                    .remove(id)
                    .ok_or_else(|| missing("workspace", id.as_str()))?;
            }
            Self::ApplySheet { services, routes } => apply_sheet(&mut next, services, routes),
        }
        Ok(next)
    }

    /// One line for the audit trail.
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
    let known = next.services.get(&service.id);
    let upstreams = known.map_or_else(
        || service.upstreams.clone(),
        |known| known.upstreams.clone(),
    );
    let service = Service {
        upstreams,
        ..service.clone()
    };
    next.services.insert(service.id.clone(), Arc::new(service));
}

/// States the sheet's services and routes. What the sheet leaves out drains
/// first, and is removed by a later sheet that leaves it out again.
fn apply_sheet(next: &mut FleetConfig, services: &[Service], routes: &[Route]) {
    let before = std::mem::take(&mut next.services);
    for service in services {
        let mut stated = service.clone();
        let known = before
            .get(&service.id)
            .into_iter()
            .flat_map(|known| &known.upstreams);
        let left_out = known.filter(|up| !service.upstreams.iter().any(|kept| kept.id == up.id));
        stated.upstreams.extend(draining(left_out));
        stated.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        next.services.insert(stated.id.clone(), Arc::new(stated));
    }
    for (id, service) in before {
        let upstreams: Vec<_> = draining(service.upstreams.iter()).collect();
        if next.services.contains_key(&id) || upstreams.is_empty() {
            continue;
        }
        let floor = sizes::SlotCount::new(0);
        let leaving = Service {
            upstreams,
            floor,
            ..service.as_ref().clone()
        };
        next.services.insert(id, Arc::new(leaving));
    }
    next.routes = routes
        .iter()
        .map(|route| (route.id.clone(), Arc::new(route.clone())))
        .collect();
}

/// Upstreams that take work, told to drain; those that drain already are gone.
fn draining<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> impl Iterator<Item = Upstream> {
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
        .ok_or_else(|| missing("service", id.as_str()))?;
    Ok(Arc::make_mut(service))
}

fn find_upstream<'a>(
    service: &'a mut Service,
    id: &ids::UpstreamId,
) -> Result<&'a mut Upstream, FleetError> {
    let upstream = service.upstreams.iter_mut().find(|up| up.id == *id);
    upstream.ok_or_else(|| missing("upstream", id.as_str()))
}

fn missing(what: &str, id: &str) -> FleetError {
    FleetError::new(ErrorKind::NotFound, format!("{what} {id} does not exist"))
}
