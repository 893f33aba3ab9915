//! Snapshots of a configuration that has two writers: operators define routes and
//! services, upstreams register themselves. Each snapshot is versioned on its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{fleet, route, service};
use crate::{ids, sizes, span};

crate::record! {
    /// Limits on the requests and connections of callers.
    #[derive(Eq, Copy)]
    pub struct RequestLimits {
        /// The largest request head that is accepted.
        pub head: sizes::ByteSize,
        /// The largest request body that is accepted.
        pub body: sizes::ByteSize,
        /// The longest time in which a request head must arrive.
        pub head_timeout: span::TimeSpan,
        /// The longest time that a connection may stay idle.
        pub idle_timeout: span::TimeSpan,
    }

    /// What operators configure: routes, services without upstreams, and caller limits.
    pub struct RouteSnapshot {
        /// The version of the snapshot; a higher one replaces a lower one.
        pub generation: sizes::Generation,
        /// Services by name; their upstreams are in [`UpstreamSnapshot`].
        pub services: BTreeMap<ids::ServiceId, service::Service>,
        /// Routes by name.
        pub routes: BTreeMap<ids::RouteId, Arc<route::Route>>,
        /// Limits on callers.
        #[serde(rename = "bounds")]
        pub request_limits: RequestLimits,
    }

    /// An upstream as registered, with its service.
    pub struct ListedUpstream {
        /// The service that it belongs to.
        pub service: ids::ServiceId,
        /// The upstream itself.
        pub upstream: service::Upstream,
    }

    /// The version of an upstream snapshot, ordered by age.
    #[derive(Eq, Copy, PartialOrd, Ord, Default)]
    pub struct SnapshotVersion {
        /// The platform revision that the snapshot reflects.
        pub revision: sizes::ObjectVersion,
        /// Orders snapshots of one revision: grows as retained entries are dropped, and is
        /// at its maximum without any.
        pub settled: u32,
    }

    /// The registered upstreams of all services.
    pub struct UpstreamSnapshot {
        /// The version of the snapshot; a higher one replaces a lower one.
        #[serde(rename = "mark")]
        pub version: SnapshotVersion,
        /// Upstreams by name.
        pub entries: BTreeMap<ids::UpstreamId, ListedUpstream>,
        /// Entries that are retained although the platform no longer lists them, with
        /// the last revision at which it did.
        #[serde(rename = "held")]
        pub retained: BTreeMap<ids::UpstreamId, sizes::ObjectVersion>,
    }
}

impl SnapshotVersion {
    /// The version of a snapshot without retained entries.
    pub const fn settled_at(revision: sizes::ObjectVersion) -> Self {
        Self {
            revision,
            settled: u32::MAX,
        }
    }

    /// The version of a snapshot with `retained` retained entries.
    pub const fn with_retained(revision: sizes::ObjectVersion, retained: u32) -> Self {
        Self {
            revision,
            settled: u32::MAX - retained,
        }
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
        }
    }
}
