//! Resuming a download whose body broke off, on another upstream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{BodyError, BodyStream, CallAnswer};
use policy::retry::{AttemptEnd, RetryCharge, RetryContext};
use policy::service::AttemptPurpose;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::dispatcher::{CallPlan, run_attempt};

/// Frames that wait for a slow caller; the pump waits when it is full.
const FRAMES_MAX: usize = 4;

/// What makes a download resumable.
struct ResumeMark {
    tag: HeaderValue,
    length: u64,
}

/// Wraps the body of a download that can be resumed; returns other answers as they are.
pub(super) fn wrap(plan: CallPlan, answer: CallAnswer) -> CallAnswer {
    let Some(mark) = read_mark(&plan, &answer) else {
        return answer;
    };
    let (frames, inbox) = mpsc::channel(FRAMES_MAX);
    let left = mark.length;
    tokio::spawn(pump(plan, mark, answer.body, frames));
    let body = PumpedBody { inbox, left }.boxed_unsync();
    CallAnswer { body, ..answer }
}

fn read_mark(plan: &CallPlan, answer: &CallAnswer) -> Option<ResumeMark> {
    let head = &plan.case.head;
    let unranged = head.method == Method::GET && !head.headers.contains_key(header::RANGE);
    let whole = answer.status == StatusCode::OK && !answer.body.is_end_stream();
    if !(plan.case.repeatable && unranged && whole) {
        return None;
    }
    let tag = strong_tag(&answer.headers)?.clone();
    let length = answer.body.size_hint().exact()?;
    Some(ResumeMark { tag, length })
}

fn strong_tag(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers
        .get(header::ETAG)
        .filter(|tag| tag.as_bytes().starts_with(b"\""))
}

/// Passes frames on; fetches what is missing when the body breaks off.
async fn pump(
    mut plan: CallPlan,
    mark: ResumeMark,
    mut body: BodyStream,
    frames: mpsc::Sender<Result<Bytes, BodyError>>,
) {
    let mut passed = 0;
    while passed < mark.length {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = frames.closed() => return,
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                passed += data.len() as u64;
                if frames.send(Ok(data)).await.is_err() {
                    return;
                }
            }
            Some(Err(BodyError::Broken)) | None => {
                let Some(rest) = resume(&mut plan, &mark, passed).await else {
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
    let _ = body.frame().await;
}

/// Asks another upstream for the rest.
async fn resume(plan: &mut CallPlan, mark: &ResumeMark, passed: u64) -> Option<BodyStream> {
    let context = RetryContext {
        end: AttemptEnd::Truncated,
        repeatable: true,
        shed_is_not_run: plan.service.shed_is_not_run,
        charge: RetryCharge::Budget,
        body_retained: true,
        attempts: plan.attempts,
        attempts_max: plan.attempts_max,
        time_left: plan.case.deadline.saturating_duration_since(Instant::now()),
    };
    plan.handle.decide_retry(context).await.ok()?;
    let lease = plan
        .handle
        .admit(
            plan.attempt_request(AttemptPurpose::Retry),
            plan.case.deadline,
        )
        .await
        .ok()?;
    plan.attempts += 1;
    plan.tried.push(lease.upstream().id.clone());
    let mut case = plan.case.clone();
    let range = HeaderValue::from_str(&format!("bytes={passed}-")).ok()?;
    case.head.headers.insert(header::RANGE, range);
    case.head.headers.insert(header::IF_RANGE, mark.tag.clone());
    let answer = run_attempt(&plan.handle, lease, &case, &mut None)
        .await
        .ok()?;
    plan.count(AttemptEnd::Answered);
    let fits = continues(&answer, mark, passed);
    log::info!(target: "dispatch", "Resumed {} at byte {passed}: {fits}.", plan.case.request);
    fits.then_some(answer.body)
}

/// Whether an answer is the rest of the same representation.
fn continues(answer: &CallAnswer, mark: &ResumeMark, passed: u64) -> bool {
    let last = mark.length.saturating_sub(1);
    let wanted = format!("bytes {passed}-{last}/{}", mark.length);
    let range = http1::header::text(&answer.headers, header::CONTENT_RANGE.as_str());
    answer.status == StatusCode::PARTIAL_CONTENT
        && strong_tag(&answer.headers) == Some(&mark.tag)
        && range == Some(wanted.as_str())
}

/// A body that a pump fills.
struct PumpedBody {
    inbox: mpsc::Receiver<Result<Bytes, BodyError>>,
    left: u64,
}

impl Body for PumpedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let polled = self.inbox.poll_recv(context);
        polled.map(|item| match item {
            Some(Ok(data)) => {
                self.left = self.left.saturating_sub(data.len() as u64);
                Some(Ok(Frame::data(data)))
            }
            Some(Err(error)) => Some(Err(error)),
            None => Some(Err(BodyError::Broken)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
