//! Calls and answers as HTTP/1.1 messages.

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Version, header,
};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use http1::header as hop;
use hyper::body::{Body as _, Incoming};
use model::call::{self, BodyError, BodyStream, Call, CallHead, CallResponse};
use model::error::{ErrorKind, FleetError, Outcome};
use model::sizes;

/// Names the caller's workspace.
pub const WORKSPACE: &str = "workspace";
/// Names the key under which a once-only request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds that the caller waits.
pub const DEADLINE_MILLIS: &str = "request-deadline-ms";
/// On an answer of the fleet itself: what the caller may conclude.
pub const OUTCOME: &str = "gooseberrydyke-outcome";
/// On an answer of the fleet itself: the kind of error.
pub const ERROR_KIND: &str = "gooseberrydyke-error";

/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names of the headers that callers and the fleet use.
#[derive(Debug, Clone)]
pub struct CallerHeaders {
    /// The caller's own name for its request.
    pub request_id: Option<HeaderName>,
    /// The caller's workspace.
    pub workspace: Option<HeaderName>,
    /// The key under which a once-only request runs at most once.
    pub idempotency_key: Option<HeaderName>,
    /// Milliseconds that the caller waits.
    pub deadline_millis: HeaderName,
    /// On an answer of the fleet itself: what the caller may conclude.
    pub outcome: Option<HeaderName>,
    /// On an answer of the fleet itself: the kind of error.
    pub error_kind: Option<HeaderName>,
    /// How long a caller should wait before it sends a refused request again.
    pub retry_after: Duration,
}

impl Default for CallerHeaders {
    fn default() -> Self {
        Self {
            request_id: None,
            workspace: Some(HeaderName::from_static(WORKSPACE)),
            idempotency_key: Some(HeaderName::from_static(IDEMPOTENCY_KEY)),
            deadline_millis: HeaderName::from_static(DEADLINE_MILLIS),
            outcome: Some(HeaderName::from_static(OUTCOME)),
            error_kind: Some(HeaderName::from_static(ERROR_KIND)),
            retry_after: RETRY_AFTER,
        }
    }
}

/// The longest key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Turns a request into a call.
///
/// # Errors
/// `BadRequest` when the request breaks the standard or a header of the fleet is faulty.
pub fn read_call(
    names: &CallerHeaders,
    body_bound: Option<sizes::ByteSize>,
    request: Request<Incoming>,
) -> Result<Call, FleetError> {
    let (parts, incoming) = request.into_parts();
    check_method(&parts.method)?;
    check_size(&parts.headers, body_bound)?;
    let host = read_host(&parts)?;
    let target = read_target(&parts)?;
    let mut headers = parts.headers;
    let workspace = read_header(&headers, names.workspace.as_ref())?
        .map(|text| text.parse().map_err(|why| faulty(WORKSPACE, &why)))
        .transpose()?;
    let key = read_key(&headers, names)?;
    let request = read_header(&headers, names.request_id.as_ref())?.and_then(|id| id.parse().ok());
    let timeout = read_timeout(&headers, names)?;
    hop::strip_hop_by_hop(&mut headers);
    let ended = [
        names.workspace.as_ref(),
        Some(&names.deadline_millis),
        Some(&header::HOST),
        Some(&header::EXPECT),
    ];
    for name in ended.into_iter().flatten() {
        headers.remove(name);
    }
    let body = bound_body(incoming, body_bound);
    let head = CallHead {
        method: parts.method,
        target,
        host,
        headers,
        workspace,
        idempotency_key: key,
        request_id: request,
        timeout,
    };
    Ok(Call { head, body })
}

/// Bounds a body whose length is not told beforehand.
fn bound_body(incoming: Incoming, bound: Option<sizes::ByteSize>) -> BodyStream {
    let unbounded = incoming.size_hint().exact().is_none();
    match bound.filter(|_| unbounded) {
        Some(bound) => {
            let bound = usize::try_from(bound.get()).unwrap_or(usize::MAX);
            Limited::new(incoming, bound)
                .map_err(|error| {
                    if error.is::<LengthLimitError>() {
                        return BodyError::TooLarge;
                    }
                    error
                        .downcast_ref()
                        .map_or(BodyError::Broken, find_body_error)
                })
                .boxed_unsync()
        }
        None => incoming
            .map_err(|error| find_body_error(&error))
            .boxed_unsync(),
    }
}

/// Tells wrong framing from a connection that broke.
fn find_body_error(error: &hyper::Error) -> BodyError {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData) => BodyError::Malformed,
        _ => BodyError::Broken,
    }
}

/// Refuses a body that is too large. Framing itself is checked by the library:
/// chunks win over a length beside them, which is then not passed on, and two
/// lengths that differ are refused.
fn check_size(headers: &HeaderMap, bound: Option<sizes::ByteSize>) -> Result<(), FleetError> {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|text| text.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    match (length, bound) {
        (Some(length), Some(bound)) if length > bound.get() => Err(FleetError::new(
            ErrorKind::BodyTooLarge,
            format!("the body has {length} bytes, at most {bound} are allowed"),
        )),
        _ => Ok(()),
    }
}

/// Refuses tunnels.
fn check_method(method: &Method) -> Result<(), FleetError> {
    if *method == Method::CONNECT {
        return Err(bad("CONNECT is not served"));
    }
    Ok(())
}

fn read_host(parts: &http::request::Parts) -> Result<Arc<str>, FleetError> {
    let mut named = parts.headers.get_all(header::HOST).iter();
    let first = named.next();
    if named.next().is_some() {
        return Err(bad("Host is given twice"));
    }
    if let Some(authority) = parts.uri.authority() {
        return Ok(authority.as_str().into());
    }
    match first.map(HeaderValue::to_str) {
        Some(Ok(host)) => Ok(host.into()),
        Some(Err(_)) => Err(bad("Host cannot be read")),
        None if parts.version == Version::HTTP_10 => Ok("".into()),
        None => Err(bad("Host is missing")),
    }
}

fn read_target(parts: &http::request::Parts) -> Result<Arc<str>, FleetError> {
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    if target.starts_with('/') || target == "*" {
        return Ok(target.into());
    }
    Err(bad("the target is not a path"))
}

fn read_key(headers: &HeaderMap, names: &CallerHeaders) -> Result<Option<Arc<str>>, FleetError> {
    let Some(key) = read_header(headers, names.idempotency_key.as_ref())? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > KEY_BYTES_MAX {
        return Err(bad("Idempotency-Key must have 1 to 256 bytes"));
    }
    Ok(Some(key.into()))
}

fn read_timeout(
    headers: &HeaderMap,
    names: &CallerHeaders,
) -> Result<Option<Duration>, FleetError> {
    let Some(text) = read_header(headers, Some(&names.deadline_millis))? else {
        return Ok(None);
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    let Some(millis) = millis else {
        let name = &names.deadline_millis;
        return Err(bad(&format!("{name} must be a whole number above 0")));
    };
    Ok(Some(Duration::from_millis(millis)))
}

fn read_header<'a>(
    headers: &'a HeaderMap,
    name: Option<&HeaderName>,
) -> Result<Option<&'a str>, FleetError> {
    let Some(name) = name else {
        return Ok(None);
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(&format!("{name} is given twice")));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad(&format!("{name} cannot be read")))
}

fn bad(detail: &str) -> FleetError {
    FleetError::new(ErrorKind::BadRequest, detail)
}

fn faulty(name: &str, why: &model::error::ValueError) -> FleetError {
    bad(&format!("{name}: {why}"))
}

/// Turns an answer into a response.
pub fn write_answer(answer: CallResponse) -> Response<BodyStream> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Turns an error into the response of its kind.
pub fn write_error(names: &CallerHeaders, error: &FleetError) -> Response<BodyStream> {
    let kind = error.kind();
    let answer = kind.response();
    let text = serde_json::json!({
        "error": kind.as_str(),
        "outcome": answer.outcome.as_str(),
        "retryable": answer.retryable,
        "detail": error.detail(),
    });
    let mut response = Response::new(call::full_body(format!("{text}\n")));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let outcome = HeaderValue::from_static(answer.outcome.as_str());
    let kind_text = HeaderValue::from_static(kind.as_str());
    let own = [(&names.outcome, outcome), (&names.error_kind, kind_text)];
    for (name, value) in own {
        if let Some(name) = name {
            headers.insert(name.clone(), value);
        }
    }
    if answer.retryable && answer.outcome == Outcome::NotRun {
        let seconds = names.retry_after.as_secs_f64().to_string();
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, seconds);
        }
    }
    let ends_connection = matches!(
        kind,
        ErrorKind::BadRequest
            | ErrorKind::BodyTooLarge
            | ErrorKind::BodyMalformed
            | ErrorKind::BodyOverrun
    );
    if ends_connection {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}
