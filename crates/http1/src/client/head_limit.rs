//! A stream that bounds what is read until the head of a response is complete, and how much is
//! read at once after that.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may arrive until the head of a response is complete, informational heads
/// before it and a part of its body among them.
const HEAD_PHASE_BYTES_MAX: usize = 256 * 1024;

/// Bytes that are read at once while reads are narrow. The HTTP library sizes its buffer by what
/// a read returns: up to 64 KiB otherwise.
const NARROW_READ_BYTES: usize = 8 * 1024;
/// Size of the socket's receive buffer once reads are narrow; the system doubles it. Without a
/// size it may grow to several MB for a peer that sends faster than the data is taken.
const NARROW_RECEIVE_BUFFER: usize = 16 * 1024;

/// Narrows the reads of a connection until its next exchange, for a response that is forwarded to
/// a slow reader while memory is short.
#[derive(Debug, Clone, Default)]
pub struct ReadLimit {
    is_narrow: Arc<AtomicBool>,
}

impl ReadLimit {
    /// Reads little at once from now on.
    pub fn narrow(&self) {
        self.is_narrow.store(true, Ordering::Relaxed);
    }
}

/// Sets and lifts the bound of a [`HeadLimitedStream`].
#[derive(Debug, Clone)]
pub(super) struct HeadLimit {
    bytes_left: Arc<AtomicUsize>,
    reads: ReadLimit,
}

impl HeadLimit {
    /// Bounds what is read from now on.
    pub(super) fn start(&self) {
        self.reads.is_narrow.store(false, Ordering::Relaxed);
        self.bytes_left
            .store(HEAD_PHASE_BYTES_MAX, Ordering::Relaxed);
    }

    /// Lifts the bound, since the head is complete.
    pub(super) fn lift(&self) {
        self.bytes_left.store(usize::MAX, Ordering::Relaxed);
    }

    /// The limit on single reads.
    pub(super) fn reads(&self) -> &ReadLimit {
        &self.reads
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
    has_narrow_buffer: bool,
}

impl HeadLimitedStream {
    /// Wraps a stream; the bound holds at once.
    pub(super) fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let limit = HeadLimit {
            bytes_left: Arc::new(AtomicUsize::new(HEAD_PHASE_BYTES_MAX)),
            reads: ReadLimit::default(),
        };
        let limited = Self {
            stream,
            limit: limit.clone(),
            has_narrow_buffer: false,
        };
        (limited, limit)
    }

    fn poll_narrow_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !std::mem::replace(&mut self.has_narrow_buffer, true) {
            let socket = SockRef::from(&self.stream);
            if let Err(error) = socket.set_recv_buffer_size(NARROW_RECEIVE_BUFFER) {
                log::debug!(target: "http", "Cannot set the size of a receive buffer: {error}.");
            }
        }
        let size = buffer.remaining().min(NARROW_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let filled = part.filled().len();
        buffer.advance(filled);
        Poll::Ready(Ok(()))
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
        if self.limit.reads.is_narrow.load(Ordering::Relaxed) {
            return self.poll_narrow_read(context, buffer);
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
