//! Resumes a truncated download with a range request to another upstream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{BodyError, BodyStream, CallResponse};
use policy::retry::{AttemptEnd, RetryCharge, RetryContext};
use policy::service::AttemptPurpose;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::dispatcher::{CallState, run_attempt};

/// Body frames buffered for a slow caller; the upstream is not read while the buffer
/// is full.
const FRAMES_MAX: usize = 4;

/// The representation being downloaded. A range response continues it only when both
/// values match.
struct Representation {
    etag: HeaderValue,
    length: u64,
}

/// Wraps the body of a download that can be resumed; returns any other response
/// unchanged.
pub(super) fn wrap(state: CallState, response: CallResponse) -> CallResponse {
    let Some(representation) = resumable_representation(&state, &response) else {
        return response;
    };
    let (frames, inbox) = mpsc::channel(FRAMES_MAX);
    let remaining = representation.length;
    tokio::spawn(forward_frames(state, representation, response.body, frames));
    let body = ChannelBody { inbox, remaining }.boxed_unsync();
    CallResponse { body, ..response }
}

fn resumable_representation(state: &CallState, response: &CallResponse) -> Option<Representation> {
    let head = &state.context.head;
    let full_request = head.method == Method::GET && !head.headers.contains_key(header::RANGE);
    let complete = response.status == StatusCode::OK && !response.body.is_end_stream();
    if !(state.context.repeatable && full_request && complete) {
        return None;
    }
    let etag = strong_etag(&response.headers)?.clone();
    let length = response.body.size_hint().exact()?;
    Some(Representation { etag, length })
}

fn strong_etag(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers
        .get(header::ETAG)
        .filter(|etag| etag.as_bytes().starts_with(b"\""))
}

/// Forwards the frames of the body. When it is truncated, fetches the missing bytes
/// from another upstream and continues with those.
async fn forward_frames(
    mut state: CallState,
    representation: Representation,
    mut body: BodyStream,
    frames: mpsc::Sender<Result<Bytes, BodyError>>,
) {
    let mut forwarded = 0;
    while forwarded < representation.length {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = frames.closed() => return,
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                forwarded += data.len() as u64;
                if frames.send(Ok(data)).await.is_err() {
                    return;
                }
            }
            Some(Err(BodyError::Broken)) | None => {
                let Some(rest) = resume(&mut state, &representation, forwarded).await else {
                    let _ = frames.send(Err(BodyError::Broken)).await;
                    return;
                };
                body = rest;
            }
            Some(Err(error)) => {
                let _ = frames.send(Err(error)).await;
                return;
            }
        }
    }
    // Polls past the last byte, so that the body reaches its end and ends its lease.
    let _ = body.frame().await;
}

/// Requests the bytes from offset `forwarded` on from another upstream.
async fn resume(
    state: &mut CallState,
    representation: &Representation,
    forwarded: u64,
) -> Option<BodyStream> {
    let retry_context = RetryContext {
        end: AttemptEnd::Truncated,
        repeatable: true,
        shed_is_not_run: state.service.shed_is_not_run,
        charge: RetryCharge::Budget,
        body_retained: true,
        attempts: state.attempts,
        attempts_max: state.attempts_max,
        time_left: state
            .context
            .deadline
            .saturating_duration_since(Instant::now()),
    };
    state.handle.decide_retry(retry_context).await.ok()?;
    let lease = state
        .handle
        .admit(
            state.attempt_request(AttemptPurpose::Retry),
            state.context.deadline,
        )
        .await
        .ok()?;
    state.attempts += 1;
    state.tried.push(lease.upstream().id.clone());
    let mut context = state.context.clone();
    let range = HeaderValue::from_str(&format!("bytes={forwarded}-")).ok()?;
    context.head.headers.insert(header::RANGE, range);
    context
        .head
        .headers
        .insert(header::IF_RANGE, representation.etag.clone());
    let response = run_attempt(&state.handle, lease, &context, &mut None)
        .await
        .ok()?;
    state.count_attempt(AttemptEnd::Answered);
    let matches = is_continuation(&response, representation, forwarded);
    log::info!(target: "dispatch", "Resumed download of request {} at byte {forwarded}; the response continues it: {matches}.", state.context.request);
    matches.then_some(response.body)
}

/// Whether a response holds exactly the missing bytes of the same representation.
fn is_continuation(
    response: &CallResponse,
    representation: &Representation,
    forwarded: u64,
) -> bool {
    let last_byte = representation.length.saturating_sub(1);
    let expected = format!("bytes {forwarded}-{last_byte}/{}", representation.length);
    let range = http1::header::text(&response.headers, header::CONTENT_RANGE.as_str());
    response.status == StatusCode::PARTIAL_CONTENT
        && strong_etag(&response.headers) == Some(&representation.etag)
        && range == Some(expected.as_str())
}

/// A response body whose frames arrive over a channel.
struct ChannelBody {
    inbox: mpsc::Receiver<Result<Bytes, BodyError>>,
    remaining: u64,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let polled = self.inbox.poll_recv(context);
        polled.map(|item| match item {
            Some(Ok(data)) => {
                self.remaining = self.remaining.saturating_sub(data.len() as u64);
                Some(Ok(Frame::data(data)))
            }
            Some(Err(error)) => Some(Err(error)),
            None => Some(Err(BodyError::Broken)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}
