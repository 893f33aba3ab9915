//! Routes from requests to services.

use std::sync::Arc;

use crate::ids;

crate::choice! {
    /// When a request may be sent a second time.
    pub enum RepeatRule {
        /// Only when its method is safe (GET, HEAD, OPTIONS, TRACE).
        SafeMethods = "safe-methods",
        /// Always.
        Always = "always",
        /// Never: the request is an action that runs at most once.
        OnceOnly = "once-only",
    }
}

impl RepeatRule {
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
        pub repeat: RepeatRule,
    }
}
