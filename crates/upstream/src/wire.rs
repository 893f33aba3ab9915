//! Headers that the fleet and its upstreams exchange.

use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http1::header;
use model::pause::PauseTime;
use model::{ids, sizes};
use policy::permit::LimitSignal;

/// The id of the request; an upstream may echo it in the response.
pub const REQUEST_ID: &str = "request-id";
/// Milliseconds left until the deadline of the request.
pub const DEADLINE_MILLIS: &str = "request-deadline-ms";
/// State of the upstream: `draining` when it accepts no new requests.
pub const STATE: &str = "upstream-state";
/// Load of the upstream, from 0 to 1.
pub const LOAD: &str = "upstream-load";
/// Requests per second that the upstream takes from the whole fleet; without the header, it
/// has no such limit.
pub const RATE_LIMIT: &str = "upstream-rate-limit";
/// Present on an unsuccessful response, such as 503, when the upstream did not run the
/// request.
pub const SHED: &str = "upstream-shed";

/// The value of [`STATE`] while the upstream drains.
pub const DRAINING: &str = "draining";

/// Names of the headers that a deployment and its upstreams use.
#[derive(Debug, Clone)]
pub struct UpstreamHeaders {
    /// The id of the request; an upstream may echo it in the response.
    pub request_id: HeaderName,
    /// Whether every upstream echoes the id, so that a response without it is not trusted.
    pub echoes_request_id: bool,
    /// Milliseconds left until the deadline of the request.
    pub deadline_millis: HeaderName,
    /// The only instance that may run the request.
    pub instance: Option<HeaderName>,
    /// The workspace of the request, where callers are known by key. A caller's own header of
    /// this name is then not forwarded.
    pub workspace: Option<HeaderName>,
    /// Present when the upstream did not run the request.
    pub shed: HeaderName,
    /// Present on every response that an upstream itself created.
    pub signature: Option<HeaderName>,
    /// State of the upstream; see [`STATE`].
    pub state: HeaderName,
    /// The value of the state while the upstream drains.
    pub draining: HeaderValue,
    /// Whether callers receive the state, too.
    pub forwards_state: bool,
    /// Load of the upstream, from 0 to 1.
    pub load: Option<HeaderName>,
    /// Requests per second that the upstream takes; see [`RATE_LIMIT`].
    pub rate_limit: HeaderName,
    /// Statuses that callers read as a promise that the request has not run. A
    /// response of an upstream with one of them is not forwarded, since the request
    /// may have run.
    pub not_run_statuses: Vec<StatusCode>,
}

impl Default for UpstreamHeaders {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static(REQUEST_ID),
            echoes_request_id: false,
            deadline_millis: HeaderName::from_static(DEADLINE_MILLIS),
            instance: None,
            workspace: None,
            shed: HeaderName::from_static(SHED),
            signature: None,
            state: HeaderName::from_static(STATE),
            draining: HeaderValue::from_static(DRAINING),
            forwards_state: false,
            load: Some(HeaderName::from_static(LOAD)),
            rate_limit: HeaderName::from_static(RATE_LIMIT),
            not_run_statuses: Vec::new(),
        }
    }
}

/// Why an upstream did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamRefusal {
    /// It has no capacity, or the deadline passed in its queue.
    Shed,
    /// The address now belongs to another instance.
    Misdirected,
}

/// What a response states about a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseSignal {
    /// The upstream asks for none.
    Absent,
    /// It asks for this time without requests.
    Asked(PauseTime),
    /// It asks for a pause whose time cannot be read.
    Unreadable,
}

/// What the head of a response states about its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// How long it asks to get no requests.
    pub pause: PauseSignal,
    /// Why it did not run the request; none when the request may have run.
    pub refusal: Option<UpstreamRefusal>,
    /// Whether the upstream itself created the response.
    pub signed: bool,
    /// Its load, from 0 to 1, when it reports one.
    pub load: Option<f64>,
    /// What it states about the rate of requests that it takes.
    pub limit: LimitSignal,
}

impl UpstreamHeaders {
    /// Reads the signals from the status and headers of a response.
    pub fn read_signals(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamSignals {
        let text = |name: &Option<HeaderName>| {
            let name = name.as_ref()?;
            header::text(headers, name.as_str())
        };
        let misdirected = self.instance.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
        let shed = !status.is_success() && headers.contains_key(&self.shed);
        let refusal = if misdirected {
            Some(UpstreamRefusal::Misdirected)
        } else {
            shed.then_some(UpstreamRefusal::Shed)
        };
        UpstreamSignals {
            draining: headers
                .get_all(&self.state)
                .iter()
                .any(|state| *state == self.draining),
            pause: read_pause(status, headers, SystemTime::now()),
            refusal,
            signed: self
                .signature
                .as_ref()
                .is_none_or(|name| headers.contains_key(name)),
            load: text(&self.load).and_then(|text| text.parse().ok()),
            limit: self.read_limit(headers),
        }
    }

    /// Whether a response names the request that it belongs to, and no other one.
    pub fn names_request(&self, headers: &HeaderMap, sent_id: &HeaderValue) -> bool {
        let mut echoed = headers.get_all(&self.request_id).iter().peekable();
        let is_named = echoed.peek().is_some() || !self.echoes_request_id;
        is_named && echoed.all(|id| id == sent_id)
    }

    /// Whether a header says whose response it is. An upstream that lists it in `Connection` does
    /// not mean that callers may do without it.
    pub fn identifies(&self, name: &HeaderName) -> bool {
        *name == self.request_id || self.signature.as_ref() == Some(name)
    }

    /// Reads the rate limit that an upstream names. Of several, the lowest one counts.
    fn read_limit(&self, headers: &HeaderMap) -> LimitSignal {
        let mut signal = LimitSignal::Absent;
        for value in headers.get_all(&self.rate_limit) {
            let limits = value.to_str().unwrap_or_default().split(',');
            for limit in limits.map(|text| text.trim().parse::<sizes::RateLimit>()) {
                signal = match (limit, signal) {
                    (Ok(limit), LimitSignal::Named(lowest)) => {
                        LimitSignal::Named(lowest.min(limit))
                    }
                    (Ok(limit), _) => LimitSignal::Named(limit),
                    (Err(_), LimitSignal::Absent) => LimitSignal::Unknown,
                    (Err(_), current) => current,
                };
            }
        }
        signal
    }

    /// Removes the state, the load and the mark of a request that did not run, which are
    /// internal to the fleet and its upstreams.
    pub fn strip_signals(&self, headers: &mut HeaderMap) {
        if !self.forwards_state {
            headers.remove(&self.state);
        }
        if let Some(name) = &self.load {
            headers.remove(name);
        }
        headers.remove(&self.shed);
    }

    /// Sets the workspace header, regardless of what the caller sent; removes it without a
    /// workspace.
    pub fn set_workspace(&self, headers: &mut HeaderMap, workspace: Option<&ids::WorkspaceId>) {
        let Some(name) = &self.workspace else { return };
        headers.remove(name);
        let value = workspace.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
        if let Some(value) = value {
            headers.insert(name.clone(), value);
        }
    }

    /// Sets the deadline header to the time left.
    pub fn insert_deadline(&self, headers: &mut HeaderMap, left: Duration) {
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(self.deadline_millis.clone(), HeaderValue::from(millis));
    }
}

/// Reads how long an upstream that rejects a request with status 503 asks to get no requests:
/// `Retry-After` in seconds, with or without fractions, or as a date.
pub fn read_pause(status: StatusCode, headers: &HeaderMap, now: SystemTime) -> PauseSignal {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return PauseSignal::Absent;
    }
    let mut values = headers.get_all(http::header::RETRY_AFTER).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return if headers.contains_key(http::header::RETRY_AFTER) {
            PauseSignal::Unreadable
        } else {
            PauseSignal::Absent
        };
    };
    let text = value.to_str().unwrap_or_default().trim();
    let until = || {
        let date = httpdate::parse_http_date(text).ok()?;
        // A date in the past asks for no pause.
        Some(PauseTime::new(date.duration_since(now).unwrap_or_default()))
    };
    let pause = text.parse().ok().or_else(until);
    pause.map_or(PauseSignal::Unreadable, PauseSignal::Asked)
}
