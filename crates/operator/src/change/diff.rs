//! The differences between two configurations, for plans and the audit trail.
//!
//! Their text form is stored in audit entries and must not change.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use model::config::{FleetConfig, Service, Upstream, UpstreamState};
use model::ids;

model::text_enum! {
    /// How a change affects one part of the configuration.
    pub enum DifferenceKind {
        /// The part is new.
        Adds = "adds",
        /// Settings of the part change.
        Changes = "changes",
        /// An upstream starts to drain.
        Drains = "drains",
        /// A draining upstream takes work again.
        Undrains = "undrains",
        /// The part is removed.
        Removes = "removes",
    }
}

model::record! {
    /// The difference in one part of the configuration.
    #[derive(Eq)]
    pub struct Difference {
        /// How the change affects the part.
        pub kind: DifferenceKind,
        /// The kind and id of the part; for an upstream also its service.
        pub subject: Arc<str>,
        /// For an upstream, its service; otherwise none.
        pub service: Option<ids::ServiceId>,
        /// The fields that change, with old and new values; the address of a new upstream.
        pub detail: Arc<str>,
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:8} {}", self.kind, self.subject)?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        Ok(())
    }
}

/// Lists the differences between two configurations, part by part.
pub fn compare(before: &FleetConfig, after: &FleetConfig) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare_maps(
        "service",
        &before.services,
        &after.services,
        &mut differences,
        service_detail,
    );
    let upstreams =
        |config: &FleetConfig| -> BTreeMap<ids::UpstreamId, (ids::ServiceId, Upstream)> {
            let services = config.services.values();
            let owned = services.flat_map(|service| {
                let owner = service.id.clone();
                service
                    .upstreams
                    .iter()
                    .map(move |up| (up.id.clone(), (owner.clone(), up.clone())))
            });
            owned.collect()
        };
    compare_upstreams(&upstreams(before), &upstreams(after), &mut differences);
    compare_maps(
        "route",
        &before.routes,
        &after.routes,
        &mut differences,
        changed_fields,
    );
    compare_maps(
        "workspace",
        &before.workspaces,
        &after.workspaces,
        &mut differences,
        changed_fields,
    );
    differences
}

fn compare_maps<K: Ord + std::fmt::Display, V: PartialEq>(
    part: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    differences: &mut Vec<Difference>,
    detail: impl Fn(&V, &V) -> Option<String>,
) {
    let difference = |kind, id: &K, detail: String| Difference {
        kind,
        subject: format!("{part} {id}").into(),
        service: None,
        detail: detail.into(),
    };
    for (id, new) in after {
        match before.get(id) {
            None => differences.push(difference(DifferenceKind::Adds, id, String::new())),
            Some(old) => {
                let changed = detail(old, new);
                differences
                    .extend(changed.map(|detail| difference(DifferenceKind::Changes, id, detail)));
            }
        }
    }
    let removed = before.keys().filter(|id| !after.contains_key(id));
    differences.extend(removed.map(|id| difference(DifferenceKind::Removes, id, String::new())));
}

/// The changed fields of a service without its upstreams, which are compared one by one.
fn service_detail(old: &Arc<Service>, new: &Arc<Service>) -> Option<String> {
    let without_upstreams = |service: &Service| Service {
        upstreams: Vec::new(),
        ..service.clone()
    };
    changed_fields(&without_upstreams(old), &without_upstreams(new))
}

type OwnedUpstreams = BTreeMap<ids::UpstreamId, (ids::ServiceId, Upstream)>;

fn compare_upstreams(
    before: &OwnedUpstreams,
    after: &OwnedUpstreams,
    differences: &mut Vec<Difference>,
) {
    let difference =
        |kind, service: &ids::ServiceId, id: &ids::UpstreamId, detail: String| Difference {
            kind,
            subject: format!("upstream {id} of {service}").into(),
            service: Some(service.clone()),
            detail: detail.into(),
        };
    for (id, (service, new)) in after {
        let Some((_, old)) = before.get(id) else {
            differences.push(difference(
                DifferenceKind::Adds,
                service,
                id,
                new.address.to_string(),
            ));
            continue;
        };
        let kind = match (old.state, new.state) {
            (UpstreamState::Active, UpstreamState::Draining) => DifferenceKind::Drains,
            (UpstreamState::Draining, UpstreamState::Active) => DifferenceKind::Undrains,
            _ => DifferenceKind::Changes,
        };
        let changed = changed_fields(old, new);
        differences.extend(changed.map(|detail| difference(kind, service, id, detail)));
    }
    for (id, (service, _)) in before {
        if !after.contains_key(id) {
            differences.push(difference(
                DifferenceKind::Removes,
                service,
                id,
                String::new(),
            ));
        }
    }
}

/// Lists the fields that differ, with their old and new values; none if all are equal.
fn changed_fields<T: serde::Serialize + PartialEq + Debug>(old: &T, new: &T) -> Option<String> {
    if old == new {
        return None;
    }
    let fields = |value: &T| serde_json::to_value(value).unwrap_or_default();
    let (old, new) = (fields(old), fields(new));
    let empty = serde_json::Map::new();
    let old = old.as_object().unwrap_or(&empty);
    let new = new.as_object().unwrap_or(&empty);
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(value));
    let texts = changed.map(|(name, value)| {
        let before = old
            .get(name)
            .map_or_else(|| "none".to_owned(), ToString::to_string);
        format!("{name}: {before} to {value}")
    });
    Some(texts.collect::<Vec<_>>().join(", "))
}
