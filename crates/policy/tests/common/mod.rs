//! Helpers shared by several tests.

use std::sync::Arc;

use model::config::{DetectionProfile, Service, Upstream, UpstreamState};
use model::sizes::SlotCount;

/// Data centres of the test fleet.
pub(crate) const CENTRES: [&str; 3] = ["ikeja", "lekki", "ibadan"];

/// Parses an identifier.
pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a valid identifier"))
}

/// Builds a service whose upstreams `up-0`, `up-1`, … are spread over the data centres in
/// turn.
pub(crate) fn service(upstreams: usize, slots: u32, floor: u32) -> Arc<Service> {
    let mut service = Service::new(name("stocklist"), SlotCount::new(floor));
    service.profile = DetectionProfile::Detection;
    service.upstreams = (0..upstreams)
        .map(|number| Upstream {
            id: name(&format!("up-{number}")),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: name(CENTRES[number % CENTRES.len()]),
            slots: SlotCount::new(slots),
            state: UpstreamState::Active,
            instance: None,
        })
        .collect();
    Arc::new(service)
}
