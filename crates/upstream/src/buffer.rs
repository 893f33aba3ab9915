//! Buffers the beginning of a body, of a request or a response.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{BodyError, BodyStream};

/// A body of which a limited part was read.
pub(crate) enum CollectedBody {
    /// The body did not exceed the limit.
    Whole(Bytes),
    /// The body exceeds the limit: what was read, then the rest as it arrives.
    Part(BodyStream),
}

/// Reads a body until it ends or exceeds `limit_bytes`.
///
/// # Errors
/// The error of the body, if it fails before that.
pub(crate) async fn collect_up_to(
    mut body: BodyStream,
    limit_bytes: u64,
) -> Result<CollectedBody, BodyError> {
    let mut buffered = VecDeque::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        size += data.len() as u64;
        buffered.push_back(data);
        if size > limit_bytes {
            let rest = body;
            return Ok(CollectedBody::Part(
                BufferedBody { buffered, rest }.boxed_unsync(),
            ));
        }
    }
    Ok(CollectedBody::Whole(match buffered.len() {
        0 | 1 => buffered.pop_front().unwrap_or_default(),
        _ => buffered.make_contiguous().concat().into(),
    }))
}

/// A body that is larger than the buffer: the buffered data, then the rest as it
/// arrives.
struct BufferedBody {
    buffered: VecDeque<Bytes>,
    rest: BodyStream,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.buffered.pop_front() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
