//! A stream that bounds what is read until the head of a response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may arrive until the head of a response is complete, informational heads
/// before it and a part of its body among them.
const HEAD_PHASE_BYTES_MAX: usize = 256 * 1024;

/// Sets and lifts the bound of a [`HeadLimitedStream`].
#[derive(Debug, Clone)]
pub(super) struct HeadLimit {
    bytes_left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Bounds what is read from now on.
    pub(super) fn start(&self) {
        self.bytes_left
            .store(HEAD_PHASE_BYTES_MAX, Ordering::Relaxed);
    }

    /// Lifts the bound, since the head is complete.
    pub(super) fn lift(&self) {
        self.bytes_left.store(usize::MAX, Ordering::Relaxed);
    }

    fn spend(&self, bytes: usize) {
        let left = self.bytes_left.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.bytes_left
                .store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }

    fn is_spent(&self) -> bool {
        self.bytes_left.load(Ordering::Relaxed) == 0
    }
}

/// A TCP stream whose reads fail beyond the bound.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    /// Wraps a stream; the bound holds at once.
    pub(super) fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let limit = HeadLimit {
            bytes_left: Arc::new(AtomicUsize::new(HEAD_PHASE_BYTES_MAX)),
        };
        let limited = Self {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_spent() {
            let detail = "the response has no complete head after 256 KiB";
            return Poll::Ready(Err(io::Error::other(detail)));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.spend(buffer.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
