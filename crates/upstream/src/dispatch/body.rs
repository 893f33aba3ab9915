//! Request bodies: small ones are buffered for further attempts, others are streamed once.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{self, BodyError, BodyStream};
use model::error::{ErrorKind, FleetError};
use tokio::runtime::Handle;
use tokio::time::{self, Instant, Sleep};

use crate::attempt::BodyFault;
use crate::buffer::{self, CollectedBody};

/// The largest body that is buffered for further attempts.
const BUFFERED_BYTES_MAX: u64 = 64 * 1024;

/// Longest time for which the body of a rejected request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and discards the body of a rejected request, beside its response. The connection would
/// close after a response to a request whose body is not read, and the requests that wait behind
/// it would be lost.
pub(super) fn discard_rejected(body: BodyStream) {
    if !body.is_end_stream() {
        tokio::spawn(time::timeout(DISCARD_TIMEOUT, discard(body)));
    }
}

/// A request's body across its attempts.
pub(super) enum RequestBody {
    /// The whole body is in memory.
    Buffered(Bytes),
    /// The body is forwarded as it arrives, in one attempt only; none once an attempt
    /// uses it.
    Streaming(Option<BodyStream>),
}

impl RequestBody {
    /// Buffers a body of up to [`BUFFERED_BYTES_MAX`], so that it can be sent again and
    /// recognised. Of a larger one without a declared size, the beginning is read first.
    pub(super) async fn prepare(
        body: BodyStream,
        deadline: Instant,
        fault: &BodyFault,
    ) -> Result<Self, FleetError> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > BUFFERED_BYTES_MAX) {
            let streamed = StreamedBody::boxed(body, deadline, fault);
            return Ok(Self::Streaming(Some(streamed)));
        }
        let collected =
            time::timeout_at(deadline, buffer::collect_up_to(body, BUFFERED_BYTES_MAX)).await;
        let timed_out = |_| {
            FleetError::new(
                ErrorKind::RequestTimeout,
                "the request body did not arrive before the deadline",
            )
        };
        let failed = |error: BodyError| {
            let kind = match error {
                BodyError::TooLarge => ErrorKind::BodyTooLarge,
                _ => ErrorKind::BadRequest,
            };
            FleetError::new(kind, error.to_string())
        };
        Ok(match collected.map_err(timed_out)?.map_err(failed)? {
            CollectedBody::Whole(bytes) => Self::Buffered(bytes),
            CollectedBody::Part(body) => {
                Self::Streaming(Some(StreamedBody::boxed(body, deadline, fault)))
            }
        })
    }

    /// The body for one attempt.
    pub(super) fn take(&mut self) -> Option<BodyStream> {
        match self {
            Self::Buffered(bytes) => Some(call::full_body(bytes.clone())),
            Self::Streaming(body) => body.take(),
        }
    }

    /// Puts back a streaming body that an attempt did not use.
    pub(super) fn put_back(&mut self, unused: Option<BodyStream>) {
        if let (Self::Streaming(body), Some(unused)) = (self, unused) {
            *body = Some(unused);
        }
    }

    /// Whether the body is available for another attempt.
    pub(super) const fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(body) => body.is_some(),
        }
    }

    /// Whether the body can be sent in two concurrent attempts.
    pub(super) const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// A streaming body that records why it ended early, and ends with an error at the deadline of
/// its request. What an upstream does not read of it is read and discarded until then: closing
/// the caller's connection before would destroy the response on its way.
struct StreamedBody {
    /// None once the body has failed.
    inner: Option<BodyStream>,
    fault: BodyFault,
    deadline: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StreamedBody {
    fn boxed(inner: BodyStream, deadline: Instant, fault: &BodyFault) -> BodyStream {
        let body = Self {
            inner: Some(inner),
            fault: BodyFault::clone(fault),
            deadline,
            timer: Box::pin(time::sleep_until(deadline)),
        };
        body.boxed_unsync()
    }

    /// Ends the body early.
    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.inner = None;
        // Only the first error is kept: later ones are its consequences.
        let _ = self.fault.set(error);
        Poll::Ready(Some(Err(error)))
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        let Some(inner) = self.inner.take().filter(|inner| !inner.is_end_stream()) else {
            return;
        };
        let draining = time::timeout_at(self.deadline, discard(inner));
        // Without a runtime the process is ending, and its connections with it.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(draining);
        }
    }
}

/// Reads a body until it ends or fails.
async fn discard(mut body: BodyStream) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn is_trailers(polled: &Poll<Option<Result<Frame<Bytes>, BodyError>>>) -> bool {
    matches!(polled, Poll::Ready(Some(Ok(frame))) if frame.is_trailers())
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(inner).poll_frame(context);
        if is_trailers(&polled) {
            // Trailers are not forwarded, and nothing follows them.
            self.inner = None;
            return Poll::Ready(None);
        }
        if let Poll::Ready(Some(Err(error))) = polled {
            return self.fail(error);
        }
        let has_expired = self.timer.as_mut().poll(context).is_ready();
        if has_expired && !matches!(polled, Poll::Ready(None)) {
            return self.fail(BodyError::Deadline);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map_or_else(SizeHint::default, Body::size_hint)
    }
}
