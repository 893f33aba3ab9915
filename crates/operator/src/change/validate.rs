//! Validation of a whole configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use model::config::{FleetConfig, Route, Service};
use model::ids;

model::record! {
    /// One rule that a configuration violates.
    #[derive(Eq)]
    pub struct ConfigFault {
        /// The kind and id of the faulty part, such as `service view`.
        pub subject: Arc<str>,
        /// What is wrong, or what is required.
        pub detail: Arc<str>,
    }
}

impl ConfigFault {
    /// A fault of the part `subject`.
    pub fn new(subject: &str, detail: impl Into<Arc<str>>) -> Self {
        Self {
            subject: subject.into(),
            detail: detail.into(),
        }
    }
}

impl std::fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.subject, self.detail)
    }
}

/// Returns all faults of a configuration; none if it is valid.
pub fn validate(config: &FleetConfig) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    for service in config.services.values() {
        check_service(service, &mut faults);
    }
    check_unique_upstreams(config, &mut faults);
    for route in config.routes.values() {
        check_route(config, route, &mut faults);
    }
    faults
}

fn check_service(service: &Service, faults: &mut Vec<ConfigFault>) {
    let subject = format!("service {}", service.id);
    let active = service.active_slots();
    if !service.upstreams.is_empty() && active < service.floor {
        let detail = format!(
            "{active} slots take new work, the floor is {}",
            service.floor
        );
        faults.push(ConfigFault::new(&subject, detail));
    }
    if !service.probe_path.starts_with('/') {
        faults.push(ConfigFault::new(
            &subject,
            "the probe path must start with '/'",
        ));
    }
    if service.deadline.get().is_zero() {
        faults.push(ConfigFault::new(&subject, "the deadline must be above 0ms"));
    }
    let mut addresses: BTreeMap<SocketAddr, &ids::UpstreamId> = BTreeMap::new();
    for up in &service.upstreams {
        if let Some(other) = addresses.insert(up.address, &up.id) {
            let detail = format!("{} and {other} have the same address {}", up.id, up.address);
            faults.push(ConfigFault::new(&subject, detail));
        }
        if up.slots.get() == 0 {
            faults.push(ConfigFault::new(
                &subject,
                format!("{} must have at least 1 slot", up.id),
            ));
        }
    }
}

fn check_unique_upstreams(config: &FleetConfig, faults: &mut Vec<ConfigFault>) {
    let mut owners: BTreeMap<&ids::UpstreamId, &ids::ServiceId> = BTreeMap::new();
    for service in config.services.values() {
        for up in &service.upstreams {
            if let Some(other) = owners.insert(&up.id, &service.id) {
                let detail = format!("belongs to {other} and to {}", service.id);
                faults.push(ConfigFault::new(&format!("upstream {}", up.id), detail));
            }
        }
    }
}

fn check_route(config: &FleetConfig, route: &Route, faults: &mut Vec<ConfigFault>) {
    let subject = format!("route {}", route.id);
    match &route.service {
        Some(service) if config.services.contains_key(service) => {}
        Some(service) => faults.push(ConfigFault::new(
            &subject,
            format!("service {service} does not exist"),
        )),
        None => faults.push(ConfigFault::new(&subject, "names no service")),
    }
    if !route.prefix.starts_with('/') {
        faults.push(ConfigFault::new(&subject, "the prefix must start with '/'"));
    }
    for method in &route.methods {
        if http::Method::from_bytes(method.as_bytes()).is_err() {
            faults.push(ConfigFault::new(
                &subject,
                format!("{method:?} is not an HTTP method"),
            ));
        }
    }
}
