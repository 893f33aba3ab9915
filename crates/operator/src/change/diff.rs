//! The difference between two configurations, for plans and the audit trail.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use model::config::{FleetConfig, Service, Upstream, UpstreamState};
use model::ids;

model::text_enum! {
    /// What happens to a thing.
    pub enum DifferenceKind {
        /// It is new.
        Adds = "adds",
        /// Its settings change.
        Changes = "changes",
        /// It starts to drain.
        Drains = "drains",
        /// It takes work again.
        Undrains = "undrains",
        /// It goes away.
        Removes = "removes",
    }
}

model::record! {
    /// One line of a difference.
    #[derive(Eq)]
    pub struct Difference {
        /// What happens.
        pub kind: DifferenceKind,
        /// What it happens to.
        pub subject: Arc<str>,
        /// The service that it belongs to, for an upstream.
        pub service: Option<ids::ServiceId>,
        /// What changes about it.
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

/// Lists what differs between two configurations.
pub fn compare(before: &FleetConfig, after: &FleetConfig) -> Vec<Difference> {
    let mut lines = Vec::new();
    compare_maps(
        "service",
        &before.services,
        &after.services,
        &mut lines,
        service_detail,
    );
    let upstreams =
        |config: &FleetConfig| -> BTreeMap<ids::UpstreamId, (ids::ServiceId, Upstream)> {
            let services = config.services.values();
            let named = services.flat_map(|service| {
                let owner = service.id.clone();
                service
                    .upstreams
                    .iter()
                    .map(move |up| (up.id.clone(), (owner.clone(), up.clone())))
            });
            named.collect()
        };
    compare_upstreams(&upstreams(before), &upstreams(after), &mut lines);
    compare_maps(
        "route",
        &before.routes,
        &after.routes,
        &mut lines,
        detail_of,
    );
    compare_maps(
        "workspace",
        &before.workspaces,
        &after.workspaces,
        &mut lines,
        detail_of,
    );
    lines
}

fn compare_maps<K: Ord + std::fmt::Display, V: PartialEq>(
    what: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    lines: &mut Vec<Difference>,
    detail: impl Fn(&V, &V) -> Option<String>,
) {
    let line = |kind, id: &K, detail: String| Difference {
        kind,
        subject: format!("{what} {id}").into(),
        service: None,
        detail: detail.into(),
    };
    for (id, new) in after {
        match before.get(id) {
            None => lines.push(line(DifferenceKind::Adds, id, String::new())),
            Some(old) => {
                let changed = detail(old, new);
                lines.extend(changed.map(|detail| line(DifferenceKind::Changes, id, detail)));
            }
        }
    }
    let gone = before.keys().filter(|id| !after.contains_key(id));
    lines.extend(gone.map(|id| line(DifferenceKind::Removes, id, String::new())));
}

/// What changes about a service, its upstreams left out.
fn service_detail(old: &Arc<Service>, new: &Arc<Service>) -> Option<String> {
    let bare = |service: &Service| Service {
        upstreams: Vec::new(),
        ..service.clone()
    };
    detail_of(&bare(old), &bare(new))
}

type OwnedUpstreams = BTreeMap<ids::UpstreamId, (ids::ServiceId, Upstream)>;

fn compare_upstreams(before: &OwnedUpstreams, after: &OwnedUpstreams, lines: &mut Vec<Difference>) {
    let line = |kind, service: &ids::ServiceId, id: &ids::UpstreamId, detail: String| Difference {
        kind,
        subject: format!("upstream {id} of {service}").into(),
        service: Some(service.clone()),
        detail: detail.into(),
    };
    for (id, (service, new)) in after {
        let Some((_, old)) = before.get(id) else {
            lines.push(line(
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
        let changed = detail_of(old, new);
        lines.extend(changed.map(|detail| line(kind, service, id, detail)));
    }
    for (id, (service, _)) in before {
        if !after.contains_key(id) {
            lines.push(line(DifferenceKind::Removes, service, id, String::new()));
        }
    }
}

/// The fields that differ, with their values before and after.
fn detail_of<T: serde::Serialize + PartialEq + Debug>(old: &T, new: &T) -> Option<String> {
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
