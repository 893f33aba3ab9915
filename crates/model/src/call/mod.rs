//! A request and its response, independent of their encoding.

mod body;
mod credential;

use std::sync::Arc;
use std::time::Duration;

pub use body::{BodyError, BodyStream, empty_body, full_body};
pub use credential::{CallerCredential, CallerKey};

use crate::ids;

/// A caller's request, ready to be routed.
#[derive(Debug)]
pub struct Call {
    /// Everything except the body.
    pub head: CallHead,
    /// The body, streamed as it is received.
    pub body: BodyStream,
}

/// The head of a request, with the values decoded from the fleet's own headers.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// The request method.
    pub method: http::Method,
    /// Path and query as they were sent.
    pub target: http::uri::PathAndQuery,
    /// The host from the request target or the `Host` header.
    pub host: Arc<str>,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// The workspace: the one that the caller names, or the one that its key belongs to.
    pub workspace: Option<ids::WorkspaceId>,
    /// The credential; none where callers send no credentials.
    pub credential: Option<CallerCredential>,
    /// The key under which the request runs at most once.
    pub idempotency_key: Option<Arc<str>>,
    /// The caller's id for the request as it was sent; none where callers send no ids.
    pub request_id: Option<http::HeaderValue>,
    /// How long the caller waits for the response, if it sent a deadline.
    pub timeout: Option<Duration>,
}

impl CallHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.path()
    }
}

/// The response to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// The body, streamed as it is received; after an error the rest is lost.
    pub body: BodyStream,
}
