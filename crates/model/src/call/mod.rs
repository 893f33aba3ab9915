//! A request and its answer as the fleet's decisions see them.

mod body;

use std::sync::Arc;
use std::time::Duration;

pub use body::{BodyError, BodyStream, empty_body, full_body};

use crate::ids;

/// A caller's request, ready to be routed.
#[derive(Debug)]
pub struct Call {
    /// Method, target and end-to-end headers.
    pub head: CallHead,
    /// The body as it arrives.
    pub body: BodyStream,
}

/// Everything about a request but its body.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub target: Arc<str>,
    /// The host that the caller named.
    pub host: Arc<str>,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// The workspace, when the caller named one.
    pub workspace: Option<ids::WorkspaceId>,
    /// The key under which the request may run at most once.
    pub idempotency_key: Option<Arc<str>>,
    /// The caller's own name for the request, when it gave one.
    pub request_id: Option<ids::RequestId>,
    /// How long the caller waits, when it said so.
    pub timeout: Option<Duration>,
}

impl CallHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The answer to a request.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// The body as it arrives; an error means that the rest is lost.
    pub body: BodyStream,
}
