//! Tracks what an accepted connection is doing, from the bytes that it reads and writes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// What a connection is doing, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// No request is in progress.
    Idle(Instant),
    /// Part of a request head has arrived.
    Head(Instant),
    /// A request is being handled, up to the end of its response body.
    Busy,
    /// The end of a response is buffered and waits to be sent.
    Flushing(Instant),
}

/// Publishes the phase to the task that enforces the timeouts.
pub(super) type PhaseSender = Arc<watch::Sender<ConnectionPhase>>;

/// A stream that detects the first byte of a request head and the last byte of a
/// response.
pub(super) struct PhaseTrackingStream {
    pub(super) stream: TcpStream,
    pub(super) phase: PhaseSender,
}

impl AsyncRead for PhaseTrackingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.phase.send_if_modified(|phase| {
                let idle = matches!(phase, ConnectionPhase::Idle(_));
                if idle {
                    *phase = ConnectionPhase::Head(Instant::now());
                }
                idle
            });
        }
        polled
    }
}

impl AsyncWrite for PhaseTrackingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the stream only after its own write buffer is empty, so a
    /// successful flush means that the response has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = polled {
            self.phase.send_if_modified(|phase| {
                let flushed = matches!(phase, ConnectionPhase::Flushing(_));
                if flushed {
                    *phase = ConnectionPhase::Idle(Instant::now());
                }
                flushed
            });
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A response body that records when hyper has taken the last of it.
pub(super) struct PhaseTrackingBody<B> {
    body: Pin<Box<B>>,
    phase: PhaseSender,
}

impl<B> PhaseTrackingBody<B> {
    pub(super) fn new(body: B, phase: PhaseSender) -> Self {
        Self {
            body: Box::pin(body),
            phase,
        }
    }
}

impl<B> Drop for PhaseTrackingBody<B> {
    fn drop(&mut self) {
        let flushing = ConnectionPhase::Flushing(Instant::now());
        self.phase.send_replace(flushing);
    }
}

impl<B: Body<Data = Bytes>> Body for PhaseTrackingBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
