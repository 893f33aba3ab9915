//! Headers between the fleet and its upstreams.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use http1::header;

/// Names the request; an upstream may send it back.
pub const REQUEST_ID: &str = "request-id";
/// Milliseconds that are left for the request.
pub const DEADLINE_MILLIS: &str = "request-deadline-ms";
/// `draining` when the upstream takes no new work.
pub const STATE: &str = "upstream-state";
/// Load of the upstream, from 0 to 1.
pub const LOAD: &str = "upstream-load";
/// Present on a 503 answer when the upstream did not run the request.
pub const SHED: &str = "upstream-shed";

/// The value of [`STATE`] in a drain.
pub const DRAINING: &str = "draining";

/// What an answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// It takes no new work.
    pub draining: bool,
    /// It did not run the request.
    pub shed: bool,
    /// Its load, from 0 to 1.
    pub load: Option<f64>,
}

/// Reads the signals of an answer.
pub fn read_signals(status: StatusCode, headers: &HeaderMap) -> UpstreamSignals {
    UpstreamSignals {
        draining: header::text(headers, STATE) == Some(DRAINING),
        shed: status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(SHED),
        load: header::text(headers, LOAD).and_then(|text| text.parse().ok()),
    }
}

/// Removes the signals, which are not for callers.
pub fn strip_signals(headers: &mut HeaderMap) {
    for name in [STATE, LOAD, SHED, REQUEST_ID] {
        headers.remove(name);
    }
}

/// Writes the time that is left.
pub fn put_deadline(headers: &mut HeaderMap, left: Duration) {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MILLIS, HeaderValue::from(millis));
}
