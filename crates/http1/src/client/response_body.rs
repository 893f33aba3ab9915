//! The body of a response, which signals the task of its connection when it is complete.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use model::call::BodyError;
use model::sizes::ByteSize;
use tokio::sync::oneshot;

use super::head_limit::ReadLimit;

/// A streaming response body. When it is dropped before its end, the connection closes.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    complete: Option<oneshot::Sender<()>>,
    reads: ReadLimit,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming, complete: oneshot::Sender<()>, reads: ReadLimit) -> Self {
        let mut body = Self {
            incoming,
            complete: Some(complete),
            reads,
        };
        if body.incoming.is_end_stream() {
            body.signal_complete();
        }
        body
    }

    /// The limit on how much of the body is read at once.
    pub fn read_limit(&self) -> ReadLimit {
        self.reads.clone()
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// `TooLarge` once the body exceeds `limit`, or the error of the body.
    pub async fn collect_up_to(self, limit: ByteSize) -> Result<Bytes, BodyError> {
        let limit_bytes = usize::try_from(limit.get()).unwrap_or(usize::MAX);
        let collected = Limited::new(self, limit_bytes).collect().await;
        let body = collected.map_err(|error| {
            let error = error.downcast::<BodyError>();
            error.map_or(BodyError::TooLarge, |error| *error)
        })?;
        Ok(body.to_bytes())
    }

    fn signal_complete(&mut self) {
        if let Some(complete) = self.complete.take() {
            let _ = complete.send(());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        let ended = frame.is_none() || self.incoming.is_end_stream();
        match frame {
            Some(Err(_)) => {
                self.complete = None;
                Poll::Ready(Some(Err(BodyError::Broken)))
            }
            Some(Ok(frame)) => {
                if ended {
                    self.signal_complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            None => {
                self.signal_complete();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
