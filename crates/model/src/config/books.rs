//! The configuration where operators and upstreams write it apart: routes in one
//! book, upstreams in another, each with its own order.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{fleet, route, service};
use crate::{ids, sizes, span};

crate::record! {
    /// Bounds on what callers may send and how long they may stay idle.
    #[derive(Eq, Copy)]
    pub struct CallerBounds {
        /// The largest head of a request.
        pub head: sizes::ByteSize,
        /// The largest body of a request.
        pub body: sizes::ByteSize,
        /// How long a head may take to arrive.
        pub head_timeout: span::TimeSpan,
        /// How long a connection may stay idle.
        pub idle_timeout: span::TimeSpan,
    }

    /// What operators configure: routes, services without upstreams, bounds.
    pub struct RouteBook {
        /// Its number; a higher one replaces a lower one.
        pub generation: sizes::Generation,
        /// Services by name, without upstreams.
        pub services: BTreeMap<ids::ServiceId, service::Service>,
        /// Routes by name.
        pub routes: BTreeMap<ids::RouteId, Arc<route::Route>>,
        /// Bounds on callers.
        pub bounds: CallerBounds,
    }

    /// An upstream with the service that it belongs to.
    pub struct ListedUpstream {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: service::Upstream,
    }

    /// How new an upstream book is.
    #[derive(Eq, Copy, PartialOrd, Ord, Default)]
    pub struct UpstreamMark {
        /// The platform's revision that the book reflects.
        pub revision: sizes::ObjectVersion,
        /// Grows as removals that were held back at this revision take effect.
        pub settled: u32,
    }

    /// What upstreams say of themselves.
    pub struct UpstreamBook {
        /// How new it is; a higher mark replaces a lower one.
        pub mark: UpstreamMark,
        /// Upstreams by name.
        pub entries: BTreeMap<ids::UpstreamId, ListedUpstream>,
        /// Entries whose removal is held back, with the revision at which the
        /// platform last listed them.
        pub held: BTreeMap<ids::UpstreamId, sizes::ObjectVersion>,
    }
}

impl UpstreamMark {
    /// The mark of a book without held removals.
    pub const fn settled_at(revision: sizes::ObjectVersion) -> Self {
        Self {
            revision,
            settled: u32::MAX,
        }
    }

    /// The mark of a book in which some removals are held back.
    pub const fn holding(revision: sizes::ObjectVersion, held: u32) -> Self {
        Self {
            revision,
            settled: u32::MAX - held,
        }
    }
}

impl RouteBook {
    /// Joins the book with the upstreams of its services.
    pub fn join(&self, upstreams: &UpstreamBook) -> fleet::FleetConfig {
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
