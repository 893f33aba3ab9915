//! What a caller's connection is doing, as seen from its bytes.

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

/// What a connection is doing and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Nothing is under way.
    Idle(Instant),
    /// A head has begun to arrive.
    Head(Instant),
    /// A request is being served.
    Busy,
    /// The last of an answer waits to be sent.
    Flushing(Instant),
}

/// Tells the phase to whoever bounds it.
pub(super) type PhaseSender = Arc<watch::Sender<ConnectionPhase>>;

/// A stream that notes the first byte of a head and the last byte of an answer.
pub(super) struct PhasedStream {
    pub(super) stream: TcpStream,
    pub(super) phase: PhaseSender,
}

impl AsyncRead for PhasedStream {
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

impl AsyncWrite for PhasedStream {
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
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The library flushes only once its own buffer is empty.
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

/// An answer's body that notes when the last of it was taken.
pub(super) struct PhasedBody<B> {
    body: Pin<Box<B>>,
    phase: PhaseSender,
}

impl<B> PhasedBody<B> {
    pub(super) fn new(body: B, phase: PhaseSender) -> Self {
        Self {
            body: Box::pin(body),
            phase,
        }
    }
}

impl<B> Drop for PhasedBody<B> {
    fn drop(&mut self) {
        let now = ConnectionPhase::Flushing(Instant::now());
        self.phase.send_replace(now);
    }
}

impl<B: Body<Data = Bytes>> Body for PhasedBody<B> {
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
