//! Request bodies: small ones are kept for another attempt, others pass once.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{self, BodyError, BodyStream};
use model::error::{ErrorKind, FleetError};
use tokio::time::{self, Instant};

use crate::attempt::BodyFault;

/// The largest body that is kept for another attempt.
const KEPT_BYTES_MAX: u64 = 64 * 1024;

/// A request's body across its attempts.
pub(super) enum PlanBody {
    /// All of it is at hand.
    Kept(Bytes),
    /// It passes once; none when it was taken.
    Passing(Option<BodyStream>),
}

impl PlanBody {
    /// Reads a small body whole, so that it can be sent again.
    pub(super) async fn prepare(
        body: BodyStream,
        deadline: Instant,
        fault: &BodyFault,
    ) -> Result<Self, FleetError> {
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|size| size <= KEPT_BYTES_MAX);
        if !small {
            let watched = WatchedBody {
                inner: body,
                fault: BodyFault::clone(fault),
            };
            return Ok(Self::Passing(Some(watched.boxed_unsync())));
        }
        let collected = time::timeout_at(deadline, body.collect()).await;
        let slow =
            |_| FleetError::new(ErrorKind::RequestTimeout, "the body did not arrive in time");
        let broken = |error: BodyError| {
            let kind = match error {
                BodyError::TooLarge => ErrorKind::BodyTooLarge,
                _ => ErrorKind::BadRequest,
            };
            FleetError::new(kind, error.to_string())
        };
        Ok(Self::Kept(
            collected.map_err(slow)?.map_err(broken)?.to_bytes(),
        ))
    }

    /// The body for one attempt.
    pub(super) fn take(&mut self) -> Option<BodyStream> {
        match self {
            Self::Kept(bytes) => Some(call::full_body(bytes.clone())),
            Self::Passing(body) => body.take(),
        }
    }

    /// Puts back a body that an attempt did not use.
    pub(super) fn put_back(&mut self, unused: Option<BodyStream>) {
        if let (Self::Passing(body), Some(unused)) = (self, unused) {
            *body = Some(unused);
        }
    }

    /// Whether another attempt can be made.
    pub(super) const fn is_at_hand(&self) -> bool {
        match self {
            Self::Kept(_) => true,
            Self::Passing(body) => body.is_some(),
        }
    }

    /// Whether two attempts can be under way at once.
    pub(super) const fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }
}

/// A body that notes why it ended early.
struct WatchedBody {
    inner: BodyStream,
    fault: BodyFault,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(Some(Err(error))) = &polled {
            // The first fault is the cause, later ones follow from it.
            let _ = self.fault.set(*error);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
