//! Buffers the beginning of a body, of a request or a response.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use model::call::{BodyError, BodyStream};
use model::sizes::HeldBytes;
use policy::memory::MemoryLevel;

use crate::memory::{MemoryBudget, MemoryCharge};

/// Charged for each streamed response beside its data: the buffer for reading from the upstream,
/// of 8 to 16 KiB while memory is short, and that for writing the head to the caller.
const STREAM_CHARGE: HeldBytes = HeldBytes::new(20 * 1024);

/// A body of which a limited part was read.
pub(crate) enum CollectedBody {
    /// The body did not exceed the limit.
    Whole(Bytes),
    /// The body exceeds the limit: what was read, then the rest as it arrives.
    Part(BodyStream),
    /// Memory became short before either: what was read, then the rest as it arrives.
    Unbuffered(BodyStream),
}

/// Reads a body until it ends, exceeds `limit_bytes`, or may no longer be held. `may_hold` gets
/// the level of the budget and the size of the body, or the limit if that is unknown.
///
/// # Errors
/// The error of the body, if it fails before that.
pub(crate) async fn collect_up_to(
    mut body: BodyStream,
    limit_bytes: u64,
    budget: &MemoryBudget,
    may_hold: impl Fn(MemoryLevel, HeldBytes) -> bool,
) -> Result<CollectedBody, BodyError> {
    let declared = body.size_hint().exact();
    let declared = declared.filter(|size| *size <= limit_bytes);
    let expected = HeldBytes::new(declared.unwrap_or(limit_bytes));
    let capacity = declared.and_then(|size| usize::try_from(size).ok());
    let mut buffered = Vec::with_capacity(capacity.unwrap_or(0));
    let mut charge = budget.charge(HeldBytes::default());
    while body.is_end_stream() || may_hold(budget.level(), expected) {
        let Some(frame) = body.frame().await else {
            return Ok(CollectedBody::Whole(finish(buffered, charge)));
        };
        // Trailers are not forwarded.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        charge.grow(HeldBytes::of(&data));
        buffered.extend_from_slice(&data);
        if buffered.len() as u64 > limit_bytes {
            let first = finish(buffered, charge);
            return Ok(CollectedBody::Part(stream(first, body, budget)));
        }
    }
    let first = finish(buffered, charge);
    Ok(CollectedBody::Unbuffered(stream(first, body, budget)))
}

fn finish(mut buffered: Vec<u8>, charge: MemoryCharge) -> Bytes {
    buffered.shrink_to_fit();
    charge.attach(buffered)
}

/// A body that begins with `first` and continues with `rest` as that arrives.
fn stream(first: Bytes, rest: BodyStream, budget: &MemoryBudget) -> BodyStream {
    let body = BufferedBody {
        first: Some(first).filter(|first| !first.is_empty()),
        rest,
        budget: budget.clone(),
        _charge: budget.charge(STREAM_CHARGE),
    };
    body.boxed_unsync()
}

/// A body that is not buffered whole: the buffered data, then the rest as it arrives.
struct BufferedBody {
    first: Option<Bytes>,
    rest: BodyStream,
    budget: MemoryBudget,
    _charge: MemoryCharge,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(context);
        if !self.budget.is_bounded() {
            return polled;
        }
        polled.map_ok(|frame| frame.map_data(|data| self.budget.copy(&data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
