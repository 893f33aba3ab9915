//! The routing table, built once per configuration.

use std::collections::HashMap;
use std::sync::Arc;

use model::{call, config};

/// A route with the services that its requests go to.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// The route that matched.
    pub route: Arc<config::Route>,
    /// The service of the route, the first one if the route splits its requests; `None` if
    /// no service of the route exists.
    service: Option<Arc<config::Service>>,
    /// Weights and services of a split route; empty if all requests go to one service.
    shares: Vec<(u32, Arc<config::Service>)>,
}

impl RouteMatch {
    fn build(route: &Arc<config::Route>, fleet: &config::FleetConfig) -> Self {
        let find = |id| fleet.services.get(id).map(Arc::clone);
        let shares: Vec<_> = route
            .options
            .weighted_services
            .iter()
            .filter(|share| share.weight > 0)
            .filter_map(|share| Some((share.weight, find(&share.service)?)))
            .collect();
        let first = shares.first().map(|(_, service)| Arc::clone(service));
        Self {
            service: first.or_else(|| find(route.service.as_ref()?)),
            route: Arc::clone(route),
            shares,
        }
    }

    /// Selects the service of one request by weight; `draw` is a random number. `None` if
    /// no service of the route exists.
    ///
    /// A request keeps the service drawn for it even if that service is at capacity, so that
    /// an overloaded service does not shift its load to the others.
    pub fn service_for(&self, draw: u64) -> Option<&Arc<config::Service>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|(weight, _)| u64::from(*weight))
            .sum();
        let mut remaining = draw.checked_rem(total).unwrap_or_default();
        for (weight, service) in &self.shares {
            if remaining < u64::from(*weight) {
                return Some(service);
            }
            remaining -= u64::from(*weight);
        }
        self.service.as_ref()
    }
}

/// Routes by host and by the first path segment of their prefix, best match first.
///
/// The order is total: a named host before any host, a longer prefix before a shorter
/// one, listed methods before any method, then the id of the route.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<Arc<str>, HostRoutes>,
    any_host: HostRoutes,
}

#[derive(Debug, Default)]
struct HostRoutes {
    by_segment: HashMap<Arc<str>, Vec<RouteMatch>>,
    by_root: Vec<RouteMatch>,
}

impl RouteTable {
    /// Builds the table. A route to a service that does not exist stays in it, so that its
    /// requests do not go where a less specific route leads.
    pub fn build(fleet: &config::FleetConfig) -> Self {
        let mut table = Self::default();
        for route in fleet.routes.values() {
            let entry = RouteMatch::build(route, fleet);
            let host = match &route.host {
                Some(host) => table.by_host.entry(to_lower(host)).or_default(),
                None => &mut table.any_host,
            };
            host.add(entry);
        }
        table.by_host.values_mut().for_each(HostRoutes::sort);
        table.any_host.sort();
        table
    }

    /// Returns the best matching route of a request.
    pub fn find(&self, head: &call::CallHead) -> Option<&RouteMatch> {
        let without_port = head.host.rsplit_once(':').filter(|(_, port)| is_port(port));
        let host = to_lower(without_port.map_or(head.host.as_ref(), |(name, _)| name));
        let named = self.by_host.get(&host).and_then(|routes| routes.find(head));
        named.or_else(|| self.any_host.find(head))
    }
}

impl HostRoutes {
    fn add(&mut self, entry: RouteMatch) {
        match first_segment(&entry.route.prefix) {
            "" => self.by_root.push(entry),
            segment => self
                .by_segment
                .entry(segment.into())
                .or_default()
                .push(entry),
        }
    }

    fn sort(&mut self) {
        let lists = self.by_segment.values_mut().chain([&mut self.by_root]);
        for list in lists {
            list.sort_by(|a, b| sort_key(&a.route).cmp(&sort_key(&b.route)));
        }
    }

    fn find(&self, head: &call::CallHead) -> Option<&RouteMatch> {
        let path = head.path();
        let by_prefix = self
            .by_segment
            .get(first_segment(path))
            .into_iter()
            .flatten();
        by_prefix
            .chain(&self.by_root)
            .find(|entry| matches(&entry.route, path, &head.method))
    }
}

fn sort_key(route: &config::Route) -> (std::cmp::Reverse<usize>, bool, &str) {
    (
        std::cmp::Reverse(route.prefix.len()),
        route.methods.is_empty(),
        route.id.as_str(),
    )
}

fn matches(route: &config::Route, path: &str, method: &http::Method) -> bool {
    let rest = path.strip_prefix(route.prefix.as_ref());
    let ends_segment = |rest: &str| rest.is_empty() || rest.starts_with('/');
    let on_boundary = rest.is_some_and(|rest| route.prefix.ends_with('/') || ends_segment(rest));
    let methods = &route.methods;
    on_boundary && (methods.is_empty() || methods.iter().any(|name| **name == *method.as_str()))
}

fn first_segment(path: &str) -> &str {
    path.trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default()
}

/// Whether a text is a port, which may be empty (RFC 3986, 3.2.3).
fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

fn to_lower(host: &str) -> Arc<str> {
    host.to_ascii_lowercase().into()
}
