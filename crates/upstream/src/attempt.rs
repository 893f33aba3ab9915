//! One attempt at one upstream.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::BodyExt as _;
use http1::client::{ExchangeError, ResponseBody};
use hyper::body::{Body, Frame, SizeHint};
use model::call::{self, BodyError, BodyStream, CallHead, CallResponse};
use model::ids;
use policy::access::CallerAccess;
use policy::exchange::CarriedId;
use policy::permit::LimitSignal;
use policy::retry::AttemptEnd;
use telemetry::metrics::NodeMetrics;
use tokio::time::{self, Instant, Sleep};

use crate::buffer::{self, CollectedBody};
use crate::crash::CrashWatch;
use crate::pool::{ConnectionNeed, ConnectionUse, Freshness, PooledConnection};
use crate::service::{AttemptLease, ServiceHandle};
use crate::wire::{PauseSignal, UpstreamHeaders, UpstreamRefusal, UpstreamSignals};

/// The time left is divided by this number to give the time for which a response body
/// may stall.
const STALL_DIVISOR: u32 = 4;

/// What one attempt needs besides its lease and body.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// The request head as the caller sent it.
    pub head: CallHead,
    /// For whom the request is sent; `None` if callers need no keys.
    pub access: Option<CallerAccess>,
    /// The id of the request in logs.
    pub request: ids::RequestId,
    /// The id that the upstream receives with the request and returns with its response.
    pub sent_id: HeaderValue,
    /// Whether the rule of the route allows the request to run more than once.
    pub repeatable: bool,
    /// When the head of the response must have arrived.
    pub head_deadline: Instant,
    /// The deadline of the whole request, over all attempts.
    pub deadline: Instant,
    /// The first error of the caller's body, once one has occurred.
    pub body_fault: BodyFault,
    /// Observes crashes of upstreams.
    pub crash: CrashWatch,
    /// Counts attempts and their connections.
    pub metrics: Arc<NodeMetrics>,
}

/// Holds the first error of the caller's body. An attempt that fails because of it ends
/// as cancelled and is no evidence against the upstream.
pub type BodyFault = Arc<OnceLock<BodyError>>;

/// An attempt that returned no usable response.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How it ended.
    pub end: AttemptEnd,
    /// The response of the upstream, when its head arrived and may be forwarded.
    pub response: Option<CallResponse>,
}

impl AttemptFailure {
    const fn new(end: AttemptEnd) -> Self {
        Self {
            end,
            response: None,
        }
    }
}

/// Makes one attempt and returns the head of the response with its streaming body.
///
/// The request body is taken out of `body` only after a connection is available, so that
/// a streaming body remains for another attempt when none can be opened.
///
/// # Errors
/// [`AttemptFailure`] says how the attempt ended.
pub async fn run(
    handle: &ServiceHandle,
    mut lease: AttemptLease,
    context: &AttemptContext,
    body: &mut Option<BodyStream>,
) -> Result<CallResponse, AttemptFailure> {
    let freshness = if context.repeatable {
        Freshness::Any
    } else {
        Freshness::Verified
    };
    let need = ConnectionNeed {
        freshness,
        id: CarriedId::of_bytes(context.sent_id.as_bytes()),
    };
    let acquiring = time::timeout_at(context.head_deadline, lease.pool().acquire(need));
    let Ok(Ok(pooled)) = acquiring.await else {
        lease.end(AttemptEnd::ConnectFailed);
        return Err(AttemptFailure::new(AttemptEnd::ConnectFailed));
    };
    let PooledConnection {
        connection,
        carried,
        origin,
        possibly_stale,
    } = pooled;
    let service = &lease.service().id;
    context.metrics.record_connection(service, origin.as_str());
    lease.record_connection(ConnectionUse {
        local_port: connection.local_port,
        exchanges: connection.exchanges,
    });
    if possibly_stale {
        lease.mark_possibly_stale();
    }
    let request = build_request(
        handle.headers(),
        context,
        &lease,
        body.take().unwrap_or_else(call::empty_body),
    );
    let exchanging = time::timeout_at(context.head_deadline, connection.exchange(request));
    let Ok(exchanged) = exchanging.await else {
        let end = if possibly_stale {
            AttemptEnd::Unresponsive
        } else {
            AttemptEnd::TimedOut
        };
        if possibly_stale {
            lease.pool().flush().await;
        }
        lease.end(end);
        return Err(AttemptFailure::new(end));
    };
    let (response, returned_connection) = match exchanged {
        Ok(exchange) => exchange,
        Err(error) => {
            let end = match error {
                ExchangeError::NotSent => AttemptEnd::NotSent,
                _ if context.body_fault.get().is_some() => AttemptEnd::Cancelled,
                ExchangeError::Broken if possibly_stale => AttemptEnd::Unresponsive,
                ExchangeError::Broken => AttemptEnd::Broken,
            };
            if matches!(end, AttemptEnd::Broken | AttemptEnd::Unresponsive) {
                context.crash.check_upstream(&lease);
            }
            lease.end(end);
            return Err(AttemptFailure::new(end));
        }
    };
    lease.record_head();
    let Some(signals) = check_response(handle.headers(), &lease, context, &response) else {
        // The connection closes: the response to the request is still due on it.
        lease.end(AttemptEnd::Broken);
        return Err(AttemptFailure::new(AttemptEnd::Broken));
    };
    let pool = lease.pool().clone();
    tokio::spawn(async move {
        if let Some(reusable) = returned_connection.await {
            pool.release(reusable.connection, carried).await;
        }
    });
    receive_response(handle, lease, context, signals, response).await
}

fn build_request(
    names: &UpstreamHeaders,
    context: &AttemptContext,
    lease: &AttemptLease,
    body: BodyStream,
) -> http::Request<BodyStream> {
    let mut request = http::Request::new(body);
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.target.clone().into();
    let headers = request.headers_mut();
    headers.clone_from(&context.head.headers);
    let host = context
        .head
        .host
        .parse()
        .or_else(|_| lease.upstream().address.to_string().parse());
    if let Ok(host) = host {
        headers.insert(header::HOST, host);
    }
    headers.insert(names.request_id.clone(), context.sent_id.clone());
    if let Some((name, instance)) = names
        .instance
        .as_ref()
        .zip(lease.upstream().instance.as_ref())
        && let Ok(instance) = instance.parse()
    {
        headers.insert(name.clone(), instance);
    }
    if let Some(access) = &context.access {
        names.set_workspace(headers, access.workspace.as_ref());
    }
    names.insert_deadline(
        headers,
        context.deadline.saturating_duration_since(Instant::now()),
    );
    request
}

/// Reads what a response states; `None` if it cannot be the response to the request.
fn check_response(
    names: &UpstreamHeaders,
    lease: &AttemptLease,
    context: &AttemptContext,
    response: &http::Response<ResponseBody>,
) -> Option<UpstreamSignals> {
    let signals = names.read_signals(response.status(), response.headers());
    let rejection = rejection_reason(names, context, lease, response, signals);
    lease.record_limit(trusted_limit(context, lease, signals, rejection.is_some()));
    let Some(reason) = rejection else {
        return Some(signals);
    };
    log::info!(
        target: "attempt",
        request:% = context.request,
        upstream:% = lease.upstream().id,
        status = response.status().as_u16();
        "A response was rejected: {reason}."
    );
    None
}

async fn receive_response(
    handle: &ServiceHandle,
    lease: AttemptLease,
    context: &AttemptContext,
    signals: UpstreamSignals,
    response: http::Response<ResponseBody>,
) -> Result<CallResponse, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let names = handle.headers();
    report_signals(handle, &lease, context, signals).await;
    let mut headers = parts.headers;
    http1::header::strip_hop_by_hop(&mut headers, |name| names.identifies(name));
    names.strip_signals(&mut headers);
    if context.head.request_id.is_none() {
        headers.remove(&names.request_id);
    }
    let failed = parts.status.is_server_error() || names.not_run_statuses.contains(&parts.status);
    let end = match signals.refusal {
        Some(UpstreamRefusal::Misdirected) => AttemptEnd::Misdirected,
        Some(UpstreamRefusal::Shed) => AttemptEnd::Shed,
        None if failed => AttemptEnd::ServerError,
        None => AttemptEnd::Answered,
    };
    let withheld = end != AttemptEnd::Answered && names.not_run_statuses.contains(&parts.status);
    let buffer_limit = lease.service().buffered_response_max;
    let stall_timeout = if buffer_limit.is_some() {
        StallTimeout::AllTimeLeft
    } else {
        StallTimeout::ShareOfTimeLeft
    };
    let crash = signals.refusal.is_none().then(|| context.crash.clone());
    let body = LeasedBody::new(body, lease, crash, end, context.deadline, stall_timeout);
    let body = body.boxed_unsync();
    let body = match buffer_limit {
        Some(limit) => buffer_body(body, limit.get()).await?,
        None => body,
    };
    if withheld {
        return Err(AttemptFailure::new(end));
    }
    let response = CallResponse {
        status: parts.status,
        headers,
        body,
    };
    if end == AttemptEnd::Answered {
        return Ok(response);
    }
    Err(AttemptFailure {
        end,
        response: Some(response),
    })
}

/// Buffers a response body of up to `limit_bytes` before any of it is forwarded, so
/// that a truncated one can still be retried.
async fn buffer_body(body: BodyStream, limit_bytes: u64) -> Result<BodyStream, AttemptFailure> {
    match buffer::collect_up_to(body, limit_bytes).await {
        Ok(CollectedBody::Whole(bytes)) => Ok(call::full_body(bytes)),
        Ok(CollectedBody::Part(body)) => Ok(body),
        Err(BodyError::Deadline) => Err(AttemptFailure::new(AttemptEnd::TimedOut)),
        Err(_) => Err(AttemptFailure::new(AttemptEnd::Truncated)),
    }
}

async fn report_signals(
    handle: &ServiceHandle,
    lease: &AttemptLease,
    context: &AttemptContext,
    signals: UpstreamSignals,
) {
    let id = || lease.upstream().id.clone();
    if signals.refusal == Some(UpstreamRefusal::Misdirected) {
        // Another instance responded, so its state says nothing about this one.
        handle.report_misdirected(id()).await;
        return;
    }
    if signals.draining {
        handle.report_drain(id()).await;
    }
    match signals.pause {
        PauseSignal::Absent => {}
        PauseSignal::Asked(pause) => {
            log::info!(
                target: "pause",
                request:% = context.request,
                upstream:% = lease.upstream().id,
                pause_s:% = pause;
                "An upstream asks for a pause."
            );
            handle.report_pause(id(), pause).await;
        }
        PauseSignal::Unreadable => log::warn!(
            target: "pause",
            request:% = context.request,
            upstream:% = lease.upstream().id;
            "An upstream asks for a pause whose time cannot be read."
        ),
    }
    if let Some(load) = signals.load {
        handle.report_load(id(), load).await;
    }
}

/// What a response states about the limit of the upstream that it was requested from. A
/// response of another instance states nothing, and a rejected one does not end a limit.
fn trusted_limit(
    context: &AttemptContext,
    lease: &AttemptLease,
    signals: UpstreamSignals,
    is_rejected: bool,
) -> LimitSignal {
    if signals.limit == LimitSignal::Unknown {
        log::warn!(
            target: "limits",
            request:% = context.request,
            upstream:% = lease.upstream().id;
            "An upstream names a limit that cannot be read."
        );
    }
    let is_other_instance = signals.refusal == Some(UpstreamRefusal::Misdirected);
    let is_untrusted_end = is_rejected && signals.limit == LimitSignal::Absent;
    if is_other_instance || is_untrusted_end {
        return LimitSignal::Unknown;
    }
    signals.limit
}

/// Why a response cannot be what the upstream itself returned for this request.
fn rejection_reason(
    names: &UpstreamHeaders,
    context: &AttemptContext,
    lease: &AttemptLease,
    response: &http::Response<ResponseBody>,
    signals: UpstreamSignals,
) -> Option<&'static str> {
    let headers = response.headers();
    if response.status().is_informational() {
        return Some("it is informational, and no response of its own follows it");
    }
    if http1::header::has_other_transfer_coding(headers) {
        return Some("it has a transfer coding other than chunks");
    }
    if !names.names_request(headers, &context.sent_id) {
        return Some("it does not carry the id of the request, or carries another one");
    }
    let is_named = headers.contains_key(&names.request_id);
    if signals.refusal.is_some() && !is_named && !lease.is_first_exchange() {
        return Some("it is a refusal without an id, and may be that of an earlier request");
    }
    if !signals.signed && signals.refusal.is_none() {
        return Some("it lacks the upstream's signature header");
    }
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    if encoded && !context.head.headers.contains_key(header::ACCEPT_ENCODING) {
        return Some("it has a content encoding that the request did not accept");
    }
    None
}

/// A response body that ends the lease of its attempt when it ends or fails.
struct LeasedBody {
    inner: ResponseBody,
    lease: Option<AttemptLease>,
    /// Observes whether the run completes; `None` if the upstream did not run the request.
    crash: Option<CrashWatch>,
    end: AttemptEnd,
    deadline: Instant,
    stall_timeout: StallTimeout,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

/// How long a response body may stall.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StallTimeout {
    /// A share of the time left, so that another upstream can continue a download.
    ShareOfTimeLeft,
    /// All of the time left.
    AllTimeLeft,
}

impl LeasedBody {
    fn new(
        inner: ResponseBody,
        lease: AttemptLease,
        crash: Option<CrashWatch>,
        end: AttemptEnd,
        deadline: Instant,
        stall_timeout: StallTimeout,
    ) -> Self {
        let mut body = Self {
            inner,
            lease: Some(lease),
            crash,
            end,
            deadline,
            stall_timeout,
            stall_timer: None,
        };
        if body.inner.is_end_stream() {
            body.complete();
        }
        body
    }

    /// Ends the attempt after the whole body.
    fn complete(&mut self) {
        if let Some(crash) = self.crash.take() {
            crash.record_completion();
        }
        if let Some(lease) = self.lease.take() {
            lease.end(self.end);
        }
    }

    /// Ends the attempt in the middle of the body.
    fn fail(&mut self, error: BodyError) {
        let crash = self.crash.take();
        let Some(lease) = self.lease.take() else {
            return;
        };
        // A body that is only late says nothing about the upstream's process.
        if let (Some(crash), BodyError::Broken) = (crash, error) {
            crash.check_upstream(&lease);
        }
        lease.end(AttemptEnd::Truncated);
    }

    /// Polls the timer that fails a body which has stalled for too long or past the
    /// deadline.
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let deadline = self.deadline;
        let divisor = match self.stall_timeout {
            StallTimeout::ShareOfTimeLeft => STALL_DIVISOR,
            StallTimeout::AllTimeLeft => 1,
        };
        let stall_timer = self.stall_timer.get_or_insert_with(|| {
            let left = deadline.saturating_duration_since(Instant::now());
            Box::pin(time::sleep(left / divisor))
        });
        stall_timer.as_mut().poll(context).map(|()| {
            if Instant::now() >= deadline {
                BodyError::Deadline
            } else {
                BodyError::Broken
            }
        })
    }
}

impl Body for LeasedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.inner).poll_frame(context) {
            // A body that always has data would never come to the timer below.
            Poll::Ready(Some(Ok(_))) if Instant::now() >= self.deadline => {
                Some(Err(BodyError::Deadline))
            }
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let Poll::Ready(error) = self.poll_stall(context) else {
                    return Poll::Pending;
                };
                Some(Err(error))
            }
        };
        self.stall_timer = None;
        match &frame {
            Some(Err(error)) => self.fail(*error),
            None => self.complete(),
            Some(Ok(_)) if self.inner.is_end_stream() => self.complete(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
