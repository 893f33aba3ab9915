//! Snapshots of a configuration that has two sources: operators define routes and
//! services, and upstreams register themselves. Each source has a snapshot with a version
//! of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{access, fleet, route, service};
use crate::position::SourcePosition;
use crate::{ids, sizes, span};

crate::record! {
    /// Limits on the requests and connections of callers.
    #[derive(Eq, Copy)]
    pub struct RequestLimits {
        /// Limit on the size of a request head.
        pub head: sizes::ByteSize,
        /// Limit on the size of a request body.
        pub body: sizes::ByteSize,
        /// Time within which a request head must arrive.
        pub head_timeout: span::TimeSpan,
        /// Limit on the time that a connection may stay idle.
        pub idle_timeout: span::TimeSpan,
    }

    /// What operators configure: routes, services without upstreams, and caller limits.
    pub struct RouteSnapshot {
        /// The version of the snapshot; a higher one replaces a lower one.
        pub generation: sizes::Generation,
        /// Services by id; their upstreams are in [`UpstreamSnapshot`].
        pub services: BTreeMap<ids::ServiceId, service::Service>,
        /// Routes by id.
        pub routes: BTreeMap<ids::RouteId, Arc<route::Route>>,
        /// Limits on callers.
        #[serde(rename = "bounds")]
        pub request_limits: RequestLimits,
        /// Which callers may use the fleet; all of them, without a key, if none. Nodes of earlier
        /// releases cannot decode it, so it is sent beside the snapshot.
        #[serde(skip)]
        pub access: Option<Arc<access::AccessTable>>,
    }

    /// An upstream as registered, with its service.
    pub struct ListedUpstream {
        /// The service that it belongs to.
        pub service: ids::ServiceId,
        /// The upstream itself.
        pub upstream: service::Upstream,
    }

    /// The version of an upstream snapshot; a newer snapshot has a greater version.
    #[derive(Eq, Copy, PartialOrd, Ord, Default)]
    pub struct SnapshotVersion {
        /// The position in the platform's history that the snapshot reflects.
        #[serde(rename = "revision")]
        pub position: SourcePosition,
        /// Orders snapshots of one position: `u32::MAX` minus the number of retained entries,
        /// so that it grows as they are dropped.
        pub settled: u32,
    }

    /// The registered upstreams of all services.
    pub struct UpstreamSnapshot {
        /// The version of the snapshot; a higher one replaces a lower one.
        #[serde(rename = "mark")]
        pub version: SnapshotVersion,
        /// Upstreams by id.
        pub entries: BTreeMap<ids::UpstreamId, ListedUpstream>,
        /// Entries that are retained although the platform no longer lists them, with
        /// the last position at which it did.
        #[serde(rename = "held")]
        pub retained: BTreeMap<ids::UpstreamId, SourcePosition>,
    }
}

impl SnapshotVersion {
    /// The version of a snapshot without retained entries.
    pub const fn settled_at(position: SourcePosition) -> Self {
        Self {
            position,
            settled: u32::MAX,
        }
    }

    /// The version of a snapshot with `retained` retained entries.
    pub const fn with_retained(position: SourcePosition, retained: u32) -> Self {
        Self {
            position,
            settled: u32::MAX - retained,
        }
    }
}

impl UpstreamSnapshot {
    /// This snapshot, with the given upstreams draining.
    #[must_use]
    pub fn with_draining(&self, draining: &BTreeSet<ids::UpstreamId>) -> Self {
        let mut snapshot = self.clone();
        for id in draining {
            if let Some(entry) = snapshot.entries.get_mut(id) {
                entry.upstream.state = service::UpstreamState::Draining;
            }
        }
        snapshot
    }
}

impl RouteSnapshot {
    /// Joins the snapshot with the upstreams of its services.
    pub fn join(&self, upstreams: &UpstreamSnapshot) -> fleet::FleetConfig {
        let mut services = self.services.clone();
        for listed in upstreams.entries.values() {
            if let Some(service) = services.get_mut(&listed.service) {
                service.upstreams.push(listed.upstream.clone());
            }
        }
        let services = services.into_iter();
        fleet::FleetConfig {
            generation: self.generation,
            services: services
                .map(|(id, service)| (id, Arc::new(service)))
                .collect(),
            routes: self.routes.clone(),
            workspaces: BTreeMap::new(),
            access: self.access.clone(),
        }
    }
}
