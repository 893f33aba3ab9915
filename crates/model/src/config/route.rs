//! Routes from requests to services.

use std::sync::Arc;

use crate::{ids, span};

crate::text_enum! {
    /// Which requests may be retried although they may have run already.
    pub enum RetryRule {
        /// Only requests with a safe method (GET, HEAD, OPTIONS, TRACE).
        SafeMethods = "safe-methods",
        /// All requests.
        Always = "always",
        /// None: each request is an action that must run at most once.
        OnceOnly = "once-only",
    }
}

impl RetryRule {
    /// Whether a request with this method may run more than once.
    pub fn allows(self, method: &http::Method) -> bool {
        match self {
            Self::SafeMethods => method.is_safe(),
            Self::Always => true,
            Self::OnceOnly => false,
        }
    }
}

crate::record! {
    /// Assigns matching requests to a service.
    pub struct Route {
        /// Unique id.
        pub id: ids::RouteId,
        /// Host to match; any host if none.
        pub host: Option<Arc<str>>,
        /// Path prefix to match, on segment boundaries. One that ends with a slash does not match
        /// the path without it.
        pub prefix: Arc<str>,
        /// Methods to match; any method if empty.
        pub methods: Vec<Arc<str>>,
        /// The service that handles the requests; they are rejected if none.
        pub service: Option<ids::ServiceId>,
        /// Which requests may run more than once.
        #[serde(rename = "repeat")]
        pub retry_rule: RetryRule,
        /// Optional settings.
        #[serde(default, rename = "terms")]
        pub options: RouteOptions,
    }

    /// One service of a route that splits traffic by weight.
    #[derive(Eq)]
    pub struct WeightedService {
        /// The service's id.
        pub service: ids::ServiceId,
        /// Weight relative to the route's other services.
        pub weight: u32,
    }

    /// Optional settings of a route.
    #[derive(Eq, Default)]
    pub struct RouteOptions {
        /// Services among which requests are split by weight; if empty, all requests go to
        /// the route's `service`.
        #[serde(rename = "shares")]
        pub weighted_services: Vec<WeightedService>,
        /// Limit on the duration of a request; the service's deadline if none.
        pub timeout: Option<span::TimeSpan>,
        /// Latency that callers expect; bounds the time after which an attempt is overdue.
        #[serde(rename = "target")]
        pub target_latency: Option<span::TimeSpan>,
        /// Limit on the attempts for one request; the fleet's default if none.
        #[serde(rename = "attempts")]
        pub max_attempts: Option<u32>,
        /// Priority under overload; 0 is the highest.
        pub priority: u32,
    }
}
