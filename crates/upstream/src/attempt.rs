//! One attempt at one upstream.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header;
use http_body_util::BodyExt as _;
use http1::client::{AnswerBody, ExchangeError};
use hyper::body::{Body, Frame, SizeHint};
use model::call::{BodyError, BodyStream, CallAnswer, CallHead};
use model::ids;
use policy::retry::AttemptEnd;
use tokio::time::{self, Instant, Sleep};

use crate::pool::{Freshness, PooledConnection};
use crate::service::{AttemptLease, ServiceHandle};
use crate::wire::{UpstreamHeaders, UpstreamRefusal, UpstreamSignals};

/// Share of the time left for which a body may stand still.
const STALL_DIVISOR: u32 = 4;

/// What one attempt needs besides its lease and body.
#[derive(Debug, Clone)]
pub struct AttemptCase {
    /// The head as the caller sent it.
    pub head: CallHead,
    /// Names the request.
    pub request: ids::RequestId,
    /// Whether the request may run again.
    pub repeatable: bool,
    /// When this attempt must have its head.
    pub head_deadline: Instant,
    /// When the whole request ends.
    pub deadline: Instant,
    /// What is wrong with the caller's body, once that shows.
    pub body_fault: BodyFault,
}

/// Set when the caller's body ends early, which no upstream is to blame for.
pub type BodyFault = Arc<OnceLock<BodyError>>;

/// An attempt without a usable answer.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How it ended.
    pub end: AttemptEnd,
    /// The upstream's own answer, when it gave a whole head.
    pub answer: Option<CallAnswer>,
}

impl AttemptFailure {
    const fn new(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// Makes one attempt and returns the answer's head with its streaming body.
///
/// The body is taken from `body` only once there is a connection.
///
/// # Errors
/// [`AttemptFailure`] says how the attempt ended.
pub async fn run(
    handle: &ServiceHandle,
    lease: AttemptLease,
    case: &AttemptCase,
    body: &mut Option<BodyStream>,
) -> Result<CallAnswer, AttemptFailure> {
    let freshness = if case.repeatable {
        Freshness::Any
    } else {
        Freshness::Proven
    };
    let taking = time::timeout_at(case.head_deadline, lease.pool().take(freshness));
    let Ok(Ok(pooled)) = taking.await else {
        lease.end(AttemptEnd::ConnectFailed);
        return Err(AttemptFailure::new(AttemptEnd::ConnectFailed));
    };
    let PooledConnection {
        connection,
        suspect,
    } = pooled;
    if suspect {
        lease.suspect();
    }
    let request = build_request(
        handle.headers(),
        case,
        &lease,
        body.take().unwrap_or_else(model::call::empty_body),
    );
    let exchanging = time::timeout_at(case.head_deadline, connection.exchange(request));
    let Ok(exchanged) = exchanging.await else {
        let end = if suspect {
            AttemptEnd::Unresponsive
        } else {
            AttemptEnd::TimedOut
        };
        if suspect {
            lease.pool().flush().await;
        }
        lease.end(end);
        return Err(AttemptFailure::new(end));
    };
    let (response, given_back) = match exchanged {
        Ok(exchange) => exchange,
        Err(error) => {
            let end = match error {
                ExchangeError::NotSent => AttemptEnd::NotSent,
                _ if case.body_fault.get().is_some() => AttemptEnd::Cancelled,
                ExchangeError::Broken if suspect => AttemptEnd::Unresponsive,
                ExchangeError::Broken => AttemptEnd::Broken,
            };
            lease.end(end);
            return Err(AttemptFailure::new(end));
        }
    };
    let pool = lease.pool().clone();
    tokio::spawn(async move {
        if let Some(returned) = given_back.await {
            pool.give_back(returned.connection).await;
        }
    });
    lease.head();
    take_answer(handle, lease, case, response).await
}

fn build_request(
    names: &UpstreamHeaders,
    case: &AttemptCase,
    lease: &AttemptLease,
    body: BodyStream,
) -> http::Request<BodyStream> {
    let mut request = http::Request::new(body);
    *request.method_mut() = case.head.method.clone();
    *request.uri_mut() = case.head.target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&case.head.headers);
    let host = case
        .head
        .host
        .parse()
        .or_else(|_| lease.upstream().address.to_string().parse());
    if let Ok(host) = host {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = case.request.as_str().parse() {
        headers.insert(names.request_id.clone(), id);
    }
    if let Some((name, instance)) = names
        .instance
        .as_ref()
        .zip(lease.upstream().instance.as_ref())
        && let Ok(instance) = instance.parse()
    {
        headers.insert(name.clone(), instance);
    }
    names.put_deadline(
        headers,
        case.deadline.saturating_duration_since(Instant::now()),
    );
    request
}

async fn take_answer(
    handle: &ServiceHandle,
    lease: AttemptLease,
    case: &AttemptCase,
    response: http::Response<AnswerBody>,
) -> Result<CallAnswer, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let names = handle.headers();
    let signals = names.read_signals(parts.status, &parts.headers);
    pass_signals_on(handle, &lease, signals).await;
    if let Some(fault) = find_fault(names, case, &parts, signals) {
        log::info!(
            target: "attempt",
            request:% = case.request,
            upstream:% = lease.upstream().id,
            status = parts.status.as_u16();
            "An answer is dropped: {fault}."
        );
        lease.end(AttemptEnd::Broken);
        return Err(AttemptFailure::new(AttemptEnd::Broken));
    }
    let mut headers = parts.headers;
    http1::header::strip_hop_by_hop(&mut headers);
    names.strip_signals(&mut headers);
    if case.head.request.is_none() {
        headers.remove(&names.request_id);
    }
    let failed = parts.status.is_server_error() || names.promises.contains(&parts.status);
    let end = match signals.refusal {
        Some(UpstreamRefusal::Misdirected) => AttemptEnd::Misdirected,
        Some(UpstreamRefusal::Shed) => AttemptEnd::Shed,
        None if failed => AttemptEnd::ServerError,
        None => AttemptEnd::Answered,
    };
    let kept_back = end != AttemptEnd::Answered && names.promises.contains(&parts.status);
    let held = lease.service().held_answer;
    let stall = if held.is_some() {
        BodyPatience::UntilDeadline
    } else {
        BodyPatience::UntilStall
    };
    let body = LeasedBody::new(body, lease, end, case.deadline, stall).boxed_unsync();
    let body = match held {
        Some(bound) => hold(body, bound.get()).await?,
        None => body,
    };
    if kept_back {
        return Err(AttemptFailure::new(end));
    }
    let answer = CallAnswer {
        status: parts.status,
        headers,
        body,
    };
    if end == AttemptEnd::Answered {
        return Ok(answer);
    }
    Err(AttemptFailure {
        end,
        answer: Some(answer),
    })
}

/// Reads an answer whole, up to a bound, before any of it is passed on.
async fn hold(mut body: BodyStream, bound: u64) -> Result<BodyStream, AttemptFailure> {
    let mut held = VecDeque::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(BodyError::Deadline) => return Err(AttemptFailure::new(AttemptEnd::TimedOut)),
            Err(_) => return Err(AttemptFailure::new(AttemptEnd::Truncated)),
        };
        size += data.len() as u64;
        held.push_back(data);
        if size > bound {
            return Ok(HeldBody { held, rest: body }.boxed_unsync());
        }
    }
    Ok(match held.len() {
        0 | 1 => model::call::full_body(held.pop_front().unwrap_or_default()),
        _ => model::call::full_body(held.make_contiguous().concat()),
    })
}

/// An answer whose beginning is at hand.
struct HeldBody {
    held: VecDeque<Bytes>,
    rest: BodyStream,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.held.pop_front() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }
}

async fn pass_signals_on(handle: &ServiceHandle, lease: &AttemptLease, signals: UpstreamSignals) {
    let id = || lease.upstream().id.clone();
    if signals.draining || signals.refusal == Some(UpstreamRefusal::Misdirected) {
        handle.drain(id()).await;
    }
    if let Some(load) = signals.load {
        handle.load(id(), load).await;
    }
}

/// Why an answer cannot be the upstream's own answer to this request.
fn find_fault(
    names: &UpstreamHeaders,
    case: &AttemptCase,
    parts: &http::response::Parts,
    signals: UpstreamSignals,
) -> Option<&'static str> {
    let echoed = http1::header::text(&parts.headers, names.request_id.as_str());
    if echoed.is_some_and(|id| id != case.request.as_str()) {
        return Some("it names another request");
    }
    if !signals.signed && signals.refusal.is_none() {
        return Some("it has no signature");
    }
    let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    if encoded && !case.head.headers.contains_key(header::ACCEPT_ENCODING) {
        return Some("it has an encoding that was not asked for");
    }
    None
}

/// An answer's body that ends its lease.
struct LeasedBody {
    inner: AnswerBody,
    lease: Option<AttemptLease>,
    end: AttemptEnd,
    deadline: Instant,
    patience: BodyPatience,
    stall: Option<Pin<Box<Sleep>>>,
}

/// How long an answer's body may stand still.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyPatience {
    /// For a share of the time left; another upstream may continue it.
    UntilStall,
    /// For all of the time left.
    UntilDeadline,
}

impl LeasedBody {
    fn new(
        inner: AnswerBody,
        lease: AttemptLease,
        end: AttemptEnd,
        deadline: Instant,
        patience: BodyPatience,
    ) -> Self {
        let mut body = Self {
            inner,
            lease: Some(lease),
            end,
            deadline,
            patience,
            stall: None,
        };
        if body.inner.is_end_stream() {
            body.finish(end);
        }
        body
    }

    fn finish(&mut self, end: AttemptEnd) {
        if let Some(lease) = self.lease.take() {
            lease.end(end);
        }
    }

    /// Waits for the deadline or for a standstill, whichever is first.
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let deadline = self.deadline;
        let divisor = match self.patience {
            BodyPatience::UntilStall => STALL_DIVISOR,
            BodyPatience::UntilDeadline => 1,
        };
        let stall = self.stall.get_or_insert_with(|| {
            let left = deadline.saturating_duration_since(Instant::now());
            Box::pin(time::sleep(left / divisor))
        });
        stall.as_mut().poll(context).map(|()| {
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
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let Poll::Ready(error) = self.poll_stall(context) else {
                    return Poll::Pending;
                };
                Some(Err(error))
            }
        };
        self.stall = None;
        match &frame {
            Some(Err(_)) => self.finish(AttemptEnd::Truncated),
            None => {
                let end = self.end;
                self.finish(end);
            }
            Some(Ok(_)) if self.inner.is_end_stream() => {
                let end = self.end;
                self.finish(end);
            }
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
