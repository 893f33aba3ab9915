//! Encoding of calls, responses and errors as HTTP/1.1 messages.

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Version, header,
};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use http1::header as http1_header;
use http1::server::RequestBody;
use hyper::body::Body as _;
use model::call::{self, BodyError, BodyStream, Call, CallHead, CallResponse};
use model::error::{ErrorKind, FleetError, Outcome};
use model::sizes;

use crate::credential::CredentialHeader;
use crate::target::RequestTarget;

/// Request header: the caller's workspace.
pub const WORKSPACE: &str = "workspace";
/// Request header: the key under which a once-only request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header: milliseconds that the caller waits for the response.
pub const DEADLINE_MILLIS: &str = "request-deadline-ms";
/// Response header of errors: the [`Outcome`] of the request.
pub const OUTCOME: &str = "gooseberrydyke-outcome";
/// Response header of errors: the [`ErrorKind`].
pub const ERROR_KIND: &str = "gooseberrydyke-error";

/// Delay before callers should retry a rejected request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names of the headers that callers and the fleet exchange; an optional one that is none
/// is neither read nor sent.
#[derive(Debug, Clone)]
pub struct CallerHeaders {
    /// Request header: the caller's id for the request.
    pub request_id: Option<HeaderName>,
    /// Request header: the caller's workspace.
    pub workspace: Option<HeaderName>,
    /// Request header: the caller's API key.
    pub credential: Option<CredentialHeader>,
    /// Request header: the key under which a once-only request runs at most once.
    pub idempotency_key: Option<HeaderName>,
    /// Request header: milliseconds that the caller waits for the response.
    pub deadline_millis: HeaderName,
    /// Response header of errors: the outcome of the request.
    pub outcome: Option<HeaderName>,
    /// Response header of errors: the kind of error.
    pub error_kind: Option<HeaderName>,
    /// Value of `Retry-After`: delay before callers should retry a rejected request.
    pub retry_after: Duration,
}

impl Default for CallerHeaders {
    fn default() -> Self {
        Self {
            request_id: None,
            workspace: Some(HeaderName::from_static(WORKSPACE)),
            credential: None,
            idempotency_key: Some(HeaderName::from_static(IDEMPOTENCY_KEY)),
            deadline_millis: HeaderName::from_static(DEADLINE_MILLIS),
            outcome: Some(HeaderName::from_static(OUTCOME)),
            error_kind: Some(HeaderName::from_static(ERROR_KIND)),
            retry_after: RETRY_AFTER,
        }
    }
}

/// Limit on the length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Converts a request into a call.
///
/// # Errors
/// `BadRequest` when the request violates the HTTP standard or a header of the fleet is
/// invalid; `BodyTooLarge` when the declared length exceeds `body_limit`.
pub fn read_call(
    names: &CallerHeaders,
    body_limit: Option<sizes::ByteSize>,
    request: Request<RequestBody>,
) -> Result<Call, FleetError> {
    let (parts, incoming) = request.into_parts();
    check_method(&parts.method)?;
    check_transfer_coding(&parts)?;
    check_body_size(&parts.headers, body_limit)?;
    let target = RequestTarget::read(&parts)?;
    let mut headers = parts.headers;
    let workspace = read_header(&headers, names.workspace.as_ref())?
        .map(|text| {
            text.parse()
                .map_err(|error| invalid_header(WORKSPACE, &error))
        })
        .transpose()?;
    let idempotency_key = read_key(&headers, names)?;
    let request_id = read_request_id(&headers, names)?;
    let timeout = read_timeout(&headers, names)?;
    // Read before the hop-by-hop headers are removed: a caller may list the header as one.
    let credential = names.credential.as_ref();
    let credential = credential.map(|header| header.read(&mut headers));
    http1_header::strip_hop_by_hop(&mut headers, |_| false);
    let consumed = [
        names.workspace.as_ref(),
        Some(&names.deadline_millis),
        Some(&header::HOST),
        Some(&header::EXPECT),
    ];
    for name in consumed.into_iter().flatten() {
        headers.remove(name);
    }
    let body = limit_body(incoming, body_limit);
    let head = CallHead {
        method: parts.method,
        target: target.path,
        host: target.host,
        headers,
        workspace,
        credential,
        idempotency_key,
        request_id,
        timeout,
    };
    Ok(Call { head, body })
}

/// Limits the size of a body whose length is not declared in the head.
fn limit_body(incoming: RequestBody, limit: Option<sizes::ByteSize>) -> BodyStream {
    let has_unknown_size = incoming.size_hint().exact().is_none();
    match limit.filter(|_| has_unknown_size) {
        Some(limit) => {
            let limit_bytes = usize::try_from(limit.get()).unwrap_or(usize::MAX);
            Limited::new(incoming, limit_bytes)
                .map_err(|error| {
                    if error.is::<LengthLimitError>() {
                        return BodyError::TooLarge;
                    }
                    error
                        .downcast_ref()
                        .map_or(BodyError::Broken, classify_body_error)
                })
                .boxed_unsync()
        }
        None => incoming
            .map_err(|error| classify_body_error(&error))
            .boxed_unsync(),
    }
}

/// Distinguishes invalid framing from a failed connection.
fn classify_body_error(error: &hyper::Error) -> BodyError {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData) => BodyError::Malformed,
        _ => BodyError::Broken,
    }
}

/// Rejects a body whose declared length exceeds the limit. Framing is checked by the HTTP
/// library: `Transfer-Encoding: chunked` overrides `Content-Length`, which is then not
/// forwarded, and conflicting `Content-Length` values are rejected.
fn check_body_size(headers: &HeaderMap, limit: Option<sizes::ByteSize>) -> Result<(), FleetError> {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|text| text.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    match (length, limit) {
        (Some(length), Some(limit)) if length > limit.get() => Err(FleetError::new(
            ErrorKind::BodyTooLarge,
            format!("request body of {length} bytes exceeds the limit of {limit} bytes"),
        )),
        _ => Ok(()),
    }
}

/// Rejects `CONNECT`, since the fleet opens no tunnels.
fn check_method(method: &Method) -> Result<(), FleetError> {
    if *method == Method::CONNECT {
        return Err(bad_request("CONNECT is not supported"));
    }
    Ok(())
}

/// Rejects a body that would be passed on without one of its transfer codings, and chunks in a
/// version that has none (RFC 9112, 6.1).
fn check_transfer_coding(parts: &http::request::Parts) -> Result<(), FleetError> {
    let has_codings = parts.headers.contains_key(header::TRANSFER_ENCODING);
    if has_codings && parts.version == Version::HTTP_10 {
        return Err(bad_request("HTTP/1.0 has no transfer codings"));
    }
    if http1_header::has_other_transfer_coding(&parts.headers) {
        return Err(bad_request("the only supported transfer coding is chunked"));
    }
    Ok(())
}

/// Reads the caller's id for the request; none if the deployment has no header for it.
///
/// An upstream would reject a request without an id, and one that the fleet assigns is one that
/// no caller sent.
fn read_request_id(
    headers: &HeaderMap,
    names: &CallerHeaders,
) -> Result<Option<HeaderValue>, FleetError> {
    let Some(name) = &names.request_id else {
        return Ok(None);
    };
    let id = read_value(headers, Some(name))?.filter(|id| !id.is_empty());
    let id = id.ok_or_else(|| bad_request(&format!("the {name} header is missing or empty")))?;
    Ok(Some(id.clone()))
}

fn read_key(headers: &HeaderMap, names: &CallerHeaders) -> Result<Option<Arc<str>>, FleetError> {
    let Some(key) = read_header(headers, names.idempotency_key.as_ref())? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > KEY_BYTES_MAX {
        return Err(bad_request("Idempotency-Key must be 1 to 256 bytes long"));
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
        return Err(bad_request(&format!(
            "{name} must be a positive whole number"
        )));
    };
    Ok(Some(Duration::from_millis(millis)))
}

fn read_header<'a>(
    headers: &'a HeaderMap,
    name: Option<&HeaderName>,
) -> Result<Option<&'a str>, FleetError> {
    let Some((name, value)) = name.zip(read_value(headers, name)?) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_request(&format!("the {name} header is not visible ASCII")))
}

fn read_value<'a>(
    headers: &'a HeaderMap,
    name: Option<&HeaderName>,
) -> Result<Option<&'a HeaderValue>, FleetError> {
    let Some(name) = name else {
        return Ok(None);
    };
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad_request(&format!("more than one {name} header")));
    }
    Ok(first)
}

fn bad_request(detail: &str) -> FleetError {
    FleetError::new(ErrorKind::BadRequest, detail)
}

fn invalid_header(name: &str, error: &model::error::ValueError) -> FleetError {
    bad_request(&format!("{name}: {error}"))
}

/// Converts the response to a call into an HTTP response.
pub fn write_response(call_response: CallResponse) -> Response<BodyStream> {
    let mut response = Response::new(call_response.body);
    *response.status_mut() = call_response.status;
    *response.headers_mut() = call_response.headers;
    response
}

/// Converts an error into the HTTP response of its kind, with a JSON body.
pub fn write_error(names: &CallerHeaders, error: &FleetError) -> Response<BodyStream> {
    let kind = error.kind();
    let error_response = kind.response();
    let text = serde_json::json!({
        "error": kind.as_str(),
        "outcome": error_response.outcome.as_str(),
        "retryable": error_response.retryable,
        "detail": error.detail(),
    });
    let mut response = Response::new(call::full_body(format!("{text}\n")));
    *response.status_mut() =
        StatusCode::from_u16(error_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let outcome = HeaderValue::from_static(error_response.outcome.as_str());
    let kind_text = HeaderValue::from_static(kind.as_str());
    let error_headers = [(&names.outcome, outcome), (&names.error_kind, kind_text)];
    for (name, value) in error_headers {
        if let Some(name) = name {
            headers.insert(name.clone(), value);
        }
    }
    if error_response.retryable && error_response.outcome == Outcome::NotRun {
        let known = error.retry_after().unwrap_or_default();
        let retry_after = match kind {
            // Another node can serve the request at once.
            ErrorKind::Stopping => known,
            _ => known.max(names.retry_after),
        };
        let seconds = retry_after.as_secs_f64().to_string();
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, seconds);
        }
    }
    // RFC 9110, 15.5.2: a response with status 401 names the scheme.
    if kind == ErrorKind::Unauthenticated
        && let Some(credential) = &names.credential
        && let Ok(scheme) = HeaderValue::from_str(&credential.scheme)
    {
        headers.insert(header::WWW_AUTHENTICATE, scheme);
    }
    let closes_connection = matches!(
        kind,
        ErrorKind::BadRequest
            | ErrorKind::BodyTooLarge
            | ErrorKind::BodyMalformed
            | ErrorKind::BodyOverrun
    );
    if closes_connection {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}
