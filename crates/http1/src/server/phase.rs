//! Tracks what an accepted connection is doing, from its bytes and its messages.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use model::ids;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::target::{BodyFraming, TargetTracker};
use crate::header;

/// What a connection is doing, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// No request is in progress.
    Idle(Instant),
    /// Part of a request head has arrived.
    Head(Instant),
    /// A request is being handled, up to the end of its response body.
    Busy,
    /// The end of a response is buffered and waits to be sent; since the last progress.
    Flushing(Instant),
    /// The response has been sent, and the rest of the request's body is still arriving. How
    /// long that may take is up to the handler that reads it.
    Receiving,
}

/// The phase of a connection, and what decides which one comes next.
#[derive(Debug, Clone)]
pub(super) struct ConnectionState {
    pub(super) phase: ConnectionPhase,
    /// Requests whose heads have arrived.
    pub(super) requests: u64,
    /// Since when the peer has taken nothing of a response that is still being made.
    pub(super) blocked_since: Option<Instant>,
    /// Names the last request whose response has begun.
    label: Option<ids::RequestId>,
    /// The body of the current request.
    pub(super) body: BodyState,
    /// Whether the connection closes after the current response, as its request or the
    /// response says.
    pub(super) closes: bool,
    /// Whether the end of the connection is the end of the current response, which has neither a
    /// length nor chunks.
    pub(super) is_unframed: bool,
}

/// What has become of the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyState {
    /// Still arriving, with a known length.
    Sized,
    /// Still arriving in chunks, which trailers may follow.
    Chunked,
    /// Read to its end.
    Ended,
    /// Failed, or dropped before its end.
    Abandoned,
}

impl BodyState {
    /// Whether the body is still arriving.
    pub(super) const fn is_open(self) -> bool {
        matches!(self, Self::Sized | Self::Chunked)
    }
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            phase: ConnectionPhase::Idle(Instant::now()),
            requests: 0,
            blocked_since: None,
            label: None,
            body: BodyState::Ended,
            closes: false,
            is_unframed: false,
        }
    }

    /// A head has arrived, and its request is passed to the handler.
    fn start_request(&mut self, body: BodyState, closes: bool) {
        self.phase = ConnectionPhase::Busy;
        self.requests += 1;
        self.blocked_since = None;
        self.label = None;
        self.body = body;
        self.closes = closes;
        self.is_unframed = false;
    }

    fn end_request_body(&mut self, end: BodyState) {
        self.body = end;
        if self.phase == ConnectionPhase::Receiving {
            self.phase = ConnectionPhase::Idle(Instant::now());
        }
    }

    fn end_response(&mut self) {
        self.phase = ConnectionPhase::Flushing(Instant::now());
    }

    /// Bytes have arrived; returns whether that changed the phase.
    fn receive(&mut self) -> bool {
        let is_idle = matches!(self.phase, ConnectionPhase::Idle(_));
        if is_idle {
            self.phase = ConnectionPhase::Head(Instant::now());
        }
        is_idle
    }

    /// Buffered bytes have been sent; returns whether that changed the phase.
    fn progress(&mut self) -> bool {
        let was_blocked = self.blocked_since.take().is_some();
        let is_flushing = matches!(self.phase, ConnectionPhase::Flushing(_));
        if is_flushing {
            self.phase = ConnectionPhase::Flushing(Instant::now());
        }
        is_flushing || was_blocked
    }

    /// The peer takes no more bytes for now; returns whether that is new.
    fn block(&mut self) -> bool {
        let is_new = self.phase == ConnectionPhase::Busy && self.blocked_since.is_none();
        if is_new {
            self.blocked_since = Some(Instant::now());
        }
        is_new
    }

    /// All buffered bytes have been sent; returns whether that changed the phase.
    fn flush(&mut self) -> bool {
        let is_flushing = matches!(self.phase, ConnectionPhase::Flushing(_));
        if is_flushing {
            self.phase = if self.body.is_open() {
                ConnectionPhase::Receiving
            } else {
                ConnectionPhase::Idle(Instant::now())
            };
        }
        is_flushing
    }

    /// The request in progress, or the last one; `none` without a name.
    pub(super) fn label(&self) -> &str {
        self.label.as_ref().map_or("none", ids::RequestId::as_str)
    }

    /// Whether the response has ended while its request's body still arrives in chunks, on a
    /// connection that stays open.
    pub(super) fn is_receiving_chunks(&self) -> bool {
        let has_responded = matches!(
            self.phase,
            ConnectionPhase::Flushing(_) | ConnectionPhase::Receiving
        );
        has_responded && self.body == BodyState::Chunked && !self.closes
    }
}

/// Publishes the state to the task that enforces the timeouts.
#[derive(Debug, Clone)]
pub(super) struct StateSender(Arc<watch::Sender<ConnectionState>>);

impl StateSender {
    /// The state of a new connection.
    pub(super) fn new() -> (Self, watch::Receiver<ConnectionState>) {
        let (sender, receiver) = watch::channel(ConnectionState::new());
        (Self(Arc::new(sender)), receiver)
    }

    /// Records the start of a request.
    pub(super) fn start_request(&self, request: &http::Request<Incoming>, framing: BodyFraming) {
        let body = match framing {
            BodyFraming::None => BodyState::Ended,
            BodyFraming::Sized(_) => BodyState::Sized,
            BodyFraming::Chunked => BodyState::Chunked,
        };
        let closes = header::announces_close(request.headers());
        self.0
            .send_modify(|state| state.start_request(body, closes));
    }

    /// Records that the current response ends its connection.
    pub(super) fn close_after_response(&self) {
        self.0.send_modify(|state| state.closes = true);
    }

    /// Records that the current response ends where its connection does.
    pub(super) fn start_unframed_response(&self) {
        self.0.send_modify(|state| state.is_unframed = true);
    }

    /// Records the name of the current request.
    pub(super) fn set_label(&self, label: Option<ids::RequestId>) {
        self.0.send_if_modified(|state| {
            state.label = label;
            // No timeout depends on it.
            false
        });
    }

    pub(super) fn current(&self) -> watch::Ref<'_, ConnectionState> {
        self.0.borrow()
    }
}

/// A stream that detects the first byte of a request head and the last byte of a
/// response.
pub(super) struct PhaseTrackingStream {
    pub(super) stream: TcpStream,
    /// Bytes that hyper has read and given back; they come before all others.
    pub(super) returned: Bytes,
    /// Bytes that have been read from the stream and come before the rest of it.
    unread: Bytes,
    targets: TargetTracker,
    state: StateSender,
    /// Whether the system resets the connection when it is closed, for whatever reason.
    resets_when_closed: bool,
}

impl PhaseTrackingStream {
    pub(super) fn new(stream: TcpStream, targets: TargetTracker, state: StateSender) -> Self {
        Self {
            stream,
            returned: Bytes::new(),
            unread: Bytes::new(),
            targets,
            state,
            resets_when_closed: false,
        }
    }

    /// Lets a response that ends where its connection does look incomplete until it is whole: the
    /// process may be killed before.
    fn guard_unframed_response(&mut self) -> io::Result<()> {
        if self.state.current().is_unframed && !self.resets_when_closed {
            self.stream.set_zero_linger()?;
            self.resets_when_closed = true;
        }
        Ok(())
    }

    /// Records that the last response has been written whole.
    pub(super) fn end_response(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.resets_when_closed) {
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Ok(())
    }

    /// A caller that reads slowly has time for all of its response.
    fn record_progress(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.state.0.send_if_modified(ConnectionState::progress),
            Poll::Ready(Err(_)) => false,
            Poll::Pending => self.state.0.send_if_modified(ConnectionState::block),
        };
    }

    fn poll_read_bytes(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.returned.is_empty() {
            let size = self.returned.len().min(buffer.remaining());
            buffer.put_slice(&self.returned.split_to(size));
            return Poll::Ready(Ok(()));
        }
        ready!(self.targets.poll_ready(context));
        if !self.unread.is_empty() {
            let size = self.unread.len().min(buffer.remaining());
            let used = self.targets.advance(&self.unread[..size]);
            buffer.put_slice(&self.unread.split_to(used));
            return Poll::Ready(Ok(()));
        }
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let end = start + self.targets.advance(&buffer.filled()[start..]);
        self.unread = Bytes::copy_from_slice(&buffer.filled()[end..]);
        buffer.set_filled(end);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for PhaseTrackingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = self.poll_read_bytes(context, buffer);
        if buffer.filled().len() > before {
            self.state.0.send_if_modified(ConnectionState::receive);
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
        self.guard_unframed_response()?;
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_progress(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard_unframed_response()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_progress(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the stream only after its own write buffer is empty, so a
    /// successful flush means that the response has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = polled {
            self.state.0.send_if_modified(ConnectionState::flush);
        }
        polled
    }

    /// Leaves the stream open; whoever serves the connection closes it.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The body of a request. Its connection is in use until it ends or is dropped; dropping it
/// earlier closes the connection after the response.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    state: StateSender,
    /// Which request of the connection this is the body of.
    number: u64,
    is_open: bool,
}

impl RequestBody {
    /// The body of the current request.
    pub(super) fn new(incoming: Incoming, state: StateSender) -> Self {
        let number = state.current().requests;
        Self {
            incoming,
            state,
            number,
            is_open: true,
        }
    }

    fn end(&mut self, end: BodyState) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        self.state.0.send_if_modified(|state| {
            // The next request may have arrived before the end of this body was read.
            let is_current = state.requests == self.number;
            if is_current {
                state.end_request_body(end);
            }
            is_current
        });
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let end = if self.incoming.is_end_stream() {
            BodyState::Ended
        } else {
            BodyState::Abandoned
        };
        self.end(end);
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if !self.is_open {
            // hyper may not say that a body has ended before the next request arrives.
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Err(_))) => self.end(BodyState::Abandoned),
            Poll::Ready(None) => self.end(BodyState::Ended),
            // Trailers are the last frame.
            Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => self.end(BodyState::Ended),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => {
                self.end(BodyState::Ended);
            }
            Poll::Ready(_) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        !self.is_open || self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A response body that records when hyper has taken the last of it.
pub(super) struct PhaseTrackingBody<B> {
    body: Pin<Box<B>>,
    state: StateSender,
}

impl<B> PhaseTrackingBody<B> {
    pub(super) fn new(body: B, state: StateSender) -> Self {
        Self {
            body: Box::pin(body),
            state,
        }
    }
}

impl<B> Drop for PhaseTrackingBody<B> {
    fn drop(&mut self) {
        self.state.0.send_modify(ConnectionState::end_response);
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
