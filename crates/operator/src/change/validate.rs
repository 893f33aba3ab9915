//! What must hold within one configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use model::config::{FleetConfig, Route, Service};
use model::ids;

model::record! {
    /// One thing wrong with a configuration.
    #[derive(Eq)]
    pub struct Fault {
        /// What it concerns.
        pub subject: Arc<str>,
        /// What is wrong and what is allowed.
        pub detail: Arc<str>,
    }
}

impl Fault {
    /// Joins a subject with its detail.
    pub fn new(subject: &str, detail: impl Into<Arc<str>>) -> Self {
        Self {
            subject: subject.into(),
            detail: detail.into(),
        }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.subject, self.detail)
    }
}

/// Finds every fault of a configuration.
pub fn check(config: &FleetConfig) -> Vec<Fault> {
    let mut faults = Vec::new();
    for service in config.services.values() {
        check_service(service, &mut faults);
    }
    check_upstream_names(config, &mut faults);
    for route in config.routes.values() {
        check_route(config, route, &mut faults);
    }
    faults
}

fn check_service(service: &Service, faults: &mut Vec<Fault>) {
    let subject = format!("service {}", service.id);
    let active = service.active_slots();
    if !service.upstreams.is_empty() && active < service.floor {
        let detail = format!(
            "{active} slots take new work, the floor is {}",
            service.floor
        );
        faults.push(Fault::new(&subject, detail));
    }
    if !service.probe_path.starts_with('/') {
        faults.push(Fault::new(&subject, "the probe path must start with '/'"));
    }
    if service.deadline.get().is_zero() {
        faults.push(Fault::new(&subject, "the deadline must be above 0ms"));
    }
    let mut addresses: BTreeMap<SocketAddr, &ids::UpstreamId> = BTreeMap::new();
    for up in &service.upstreams {
        if let Some(other) = addresses.insert(up.address, &up.id) {
            let detail = format!("{} and {other} both stand at {}", up.id, up.address);
            faults.push(Fault::new(&subject, detail));
        }
        if up.slots.get() == 0 {
            faults.push(Fault::new(
                &subject,
                format!("{} must have at least 1 slot", up.id),
            ));
        }
    }
}

fn check_upstream_names(config: &FleetConfig, faults: &mut Vec<Fault>) {
    let mut owners: BTreeMap<&ids::UpstreamId, &ids::ServiceId> = BTreeMap::new();
    for service in config.services.values() {
        for up in &service.upstreams {
            if let Some(other) = owners.insert(&up.id, &service.id) {
                let detail = format!("belongs to {other} and to {}", service.id);
                faults.push(Fault::new(&format!("upstream {}", up.id), detail));
            }
        }
    }
}

fn check_route(config: &FleetConfig, route: &Route, faults: &mut Vec<Fault>) {
    let subject = format!("route {}", route.id);
    if !config.services.contains_key(&route.service) {
        faults.push(Fault::new(
            &subject,
            format!("service {} does not exist", route.service),
        ));
    }
    if !route.prefix.starts_with('/') {
        faults.push(Fault::new(&subject, "the prefix must start with '/'"));
    }
    for method in &route.methods {
        if http::Method::from_bytes(method.as_bytes()).is_err() {
            faults.push(Fault::new(&subject, format!("{method:?} is not a method")));
        }
    }
}
