//! Routes from requests to services.

use std::sync::Arc;

use crate::{ids, span};

crate::text_enum! {
    /// When a request may be sent a second time.
    pub enum RetryRule {
        /// Only when its method is safe (GET, HEAD, OPTIONS, TRACE).
        SafeMethods = "safe-methods",
        /// Always.
        Always = "always",
        /// Never: the request is an action that runs at most once.
        OnceOnly = "once-only",
    }
}

impl RetryRule {
    /// Whether a request with this method may be sent again.
    pub fn allows(self, method: &http::Method) -> bool {
        match self {
            Self::SafeMethods => method.is_safe(),
            Self::Always => true,
            Self::OnceOnly => false,
        }
    }
}

crate::record! {
    /// Sends requests that match to one service.
    pub struct Route {
        /// Its name.
        pub id: ids::RouteId,
        /// The host it matches; none matches every host.
        pub host: Option<Arc<str>>,
        /// The path prefix it matches, on segment boundaries.
        pub prefix: Arc<str>,
        /// The methods it matches; none listed matches every method.
        pub methods: Vec<Arc<str>>,
        /// The service that answers.
        pub service: ids::ServiceId,
        /// When a request may be sent a second time.
        #[serde(rename = "repeat")]
        pub retry_rule: RetryRule,
        /// Bounds and shares beyond the service's own.
        #[serde(default, rename = "terms")]
        pub options: RouteOptions,
    }

    /// One service of a weighted route.
    #[derive(Eq)]
    pub struct WeightedService {
        /// The service.
        pub service: ids::ServiceId,
        /// Its weight among the route's services.
        pub weight: u32,
    }

    /// What a route may set besides its service.
    #[derive(Eq, Default)]
    pub struct RouteOptions {
        /// Services among which requests are spread by weight; empty when
        /// all go to the route's one service.
        #[serde(rename = "shares")]
        pub weighted_services: Vec<WeightedService>,
        /// The longest a request may take; the service's deadline when none.
        pub timeout: Option<span::TimeSpan>,
        /// The latency that callers expect.
        #[serde(rename = "target")]
        pub target_latency: Option<span::TimeSpan>,
        /// The most upstreams to which one request is sent; the fleet's own bound when none.
        #[serde(rename = "attempts")]
        pub max_attempts: Option<u32>,
        /// Rank under overload; 0 is served first.
        pub priority: u32,
    }
}
