//! The body of an answer, which tells its connection how it ended.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use model::call::BodyError;
use tokio::sync::oneshot;

/// A streaming body; when it is dropped before its end its connection closes.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    whole: Option<oneshot::Sender<()>>,
}

impl AnswerBody {
    pub(super) fn new(incoming: Incoming, whole: oneshot::Sender<()>) -> Self {
        let mut body = Self {
            incoming,
            whole: Some(whole),
        };
        if body.incoming.is_end_stream() {
            body.tell_whole();
        }
        body
    }

    fn tell_whole(&mut self) {
        if let Some(whole) = self.whole.take() {
            let _ = whole.send(());
        }
    }
}

impl Body for AnswerBody {
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
                self.whole = None;
                Poll::Ready(Some(Err(BodyError::Broken)))
            }
            Some(Ok(frame)) => {
                if ended {
                    self.tell_whole();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            None => {
                self.tell_whole();
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
