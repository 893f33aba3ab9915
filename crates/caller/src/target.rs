//! The target and the host of a request, in the forms of RFC 9112, section 3.2.

use std::sync::Arc;

use http::uri::{Authority, PathAndQuery};
use http::{HeaderValue, Method, Version, header, request};
use http1::server::RawTarget;
use model::error::{ErrorKind, FleetError};

/// The target of a request to a whole server.
const WHOLE_SERVER: &str = "*";
/// The only scheme that callers use.
const SCHEME: &str = "http";

/// Where a request goes: what selects its route, and what its upstream receives.
#[derive(Debug, PartialEq)]
pub(crate) struct RequestTarget {
    /// The host as it was sent: of the target if that names one, else of the `Host` header.
    pub(crate) host: Arc<str>,
    /// Path and query as they were sent, or `*`. An empty path is `/`.
    pub(crate) path: PathAndQuery,
}

impl RequestTarget {
    /// Reads the target and the host of a request.
    ///
    /// # Errors
    /// `BadRequest` when the target has a form that its method does not allow, a fragment or
    /// another scheme than `http`, or when the host is missing, repeated or invalid.
    pub(crate) fn read(parts: &request::Parts) -> Result<Self, FleetError> {
        let host = read_host(parts)?;
        let target = parts.extensions.get::<RawTarget>();
        let target = target.ok_or_else(|| bad_request("the request has no target"))?;
        let target = std::str::from_utf8(target.as_bytes());
        let target = target.map_err(|_| bad_request("the request target is not UTF-8"))?;
        if target.contains('#') {
            return Err(bad_request("the request target has a fragment"));
        }
        let is_options = parts.method == Method::OPTIONS;
        if target.starts_with('/') || (target == WHOLE_SERVER && is_options) {
            return Self::new(host, target);
        }
        let Some((scheme, rest)) = target.split_once("://") else {
            return Err(bad_request("the request target is not a path"));
        };
        if !scheme.eq_ignore_ascii_case(SCHEME) {
            return Err(bad_request("the scheme of the request target is not http"));
        }
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (host, path) = rest.split_at(end);
        if !is_host(host) || host.is_empty() {
            return Err(bad_request("the request target has no valid host"));
        }
        let host = host.into();
        match path {
            "" if is_options => Self::new(host, WHOLE_SERVER),
            path if path.starts_with('/') => Self::new(host, path),
            query => Self::new(host, &format!("/{query}")),
        }
    }

    fn new(host: Arc<str>, path: &str) -> Result<Self, FleetError> {
        let path = path.parse();
        let path = path.map_err(|_| bad_request("the request target is no valid path"))?;
        Ok(Self { host, path })
    }
}

/// Reads the `Host` header; empty if a request of HTTP/1.0 has none.
fn read_host(parts: &request::Parts) -> Result<Arc<str>, FleetError> {
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let host = hosts.next();
    if hosts.next().is_some() {
        return Err(bad_request("more than one Host header"));
    }
    let Some(host) = host else {
        let may_lack_host = parts.version == Version::HTTP_10;
        return if may_lack_host {
            Ok("".into())
        } else {
            Err(bad_request("the Host header is missing"))
        };
    };
    let host = HeaderValue::to_str(host).ok().filter(|host| is_host(host));
    host.map(Arc::from)
        .ok_or_else(|| bad_request("the Host header is invalid"))
}

/// Whether a text is a host, with or without a port, or empty.
fn is_host(text: &str) -> bool {
    if text.is_empty() {
        return true;
    }
    let Ok(authority) = text.parse::<Authority>() else {
        return false;
    };
    let port = text.strip_prefix(authority.host());
    let is_port = |port: &str| port.bytes().all(|byte| byte.is_ascii_digit());
    port.is_some_and(|port| port.is_empty() || port.strip_prefix(':').is_some_and(is_port))
        && !authority.host().is_empty()
}

fn bad_request(detail: &str) -> FleetError {
    FleetError::new(ErrorKind::BadRequest, detail)
}
