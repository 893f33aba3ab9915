//! The body of a response, which signals the task of its connection when it is complete.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use model::call::BodyError;
use tokio::sync::oneshot;

/// A streaming response body. When it is dropped before its end, the connection closes.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    complete: Option<oneshot::Sender<()>>,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming, complete: oneshot::Sender<()>) -> Self {
        let mut body = Self {
            incoming,
            complete: Some(complete),
        };
        if body.incoming.is_end_stream() {
            body.signal_complete();
        }
        body
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
