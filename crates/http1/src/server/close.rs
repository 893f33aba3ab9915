//! The end of an accepted connection, and what is logged of it.

use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, Interest};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::phase::{ConnectionPhase, ConnectionState};

/// How long the peer of a connection has for reading the last response on it.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on what is read and discarded after the last response: a connection that is closed
/// with unread bytes is reset, and the reset may overtake the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
const LINGER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// The size of one read while discarding.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its last response has been sent, or its caller has closed it.
    Finished,
    /// The node stops.
    Stop,
    /// It had no request for too long.
    Idle,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Finished => "finished",
            Self::Stop => "stop",
            Self::Idle => "idle",
        })
    }
}

/// Logs the end of a connection where its caller may have lost a response.
pub(super) struct ConnectionLog {
    peer: String,
    states: watch::Receiver<ConnectionState>,
    end: ConnectionEnd,
}

/// How far a connection has come towards its end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Open,
    /// Its end has been sent, and its peer may still be reading.
    Closing(CloseReason),
    Ended,
}

impl ConnectionLog {
    pub(super) fn new(stream: &TcpStream, states: watch::Receiver<ConnectionState>) -> Self {
        Self {
            peer: peer_name(stream),
            states,
            end: ConnectionEnd::Open,
        }
    }

    /// Records that the connection ends on purpose.
    pub(super) fn end(&mut self) {
        self.end = ConnectionEnd::Ended;
    }

    /// Until when the peer of a closed connection has time to read the last response; none if
    /// there was no response.
    fn read_until(&self) -> Option<Instant> {
        let state = self.states.borrow();
        let written = match state.phase {
            ConnectionPhase::Idle(since) => since,
            _ => Instant::now(),
        };
        (state.requests > 0).then_some(written + READ_TIMEOUT)
    }

    fn log_open(&self, reason: CloseReason) {
        let state = self.states.borrow();
        log::info!(
            target: "http",
            request = state.label(), peer = self.peer.as_str(), requests = state.requests, reason:%;
            "Connection closed before its caller closed it; if that sends on, what it has not read is lost."
        );
    }

    fn log_cut(&self) {
        let state = self.states.borrow();
        if let ConnectionPhase::Busy | ConnectionPhase::Flushing(_) = state.phase {
            log::info!(
                target: "http",
                request = state.label(), peer = self.peer.as_str(), requests = state.requests;
                "Connection cut before its response was sent: the process ends."
            );
        }
    }
}

impl Drop for ConnectionLog {
    fn drop(&mut self) {
        match self.end {
            ConnectionEnd::Open => self.log_cut(),
            ConnectionEnd::Closing(reason) => self.log_open(reason),
            ConnectionEnd::Ended => {}
        }
    }
}

/// The address of a connection's peer, empty if the system does not tell it.
pub(super) fn peer_name(stream: &TcpStream) -> String {
    let peer = stream.peer_addr().map(|peer| peer.to_string());
    peer.unwrap_or_default()
}

/// Sends the end of a connection.
pub(super) async fn send_end(stream: &mut TcpStream) {
    if let Err(error) = stream.shutdown().await {
        log::debug!(target: "http", "Closing a connection failed: {error}.");
    }
}

/// Closes a connection after its last response, once its peer has closed it or has had time to
/// read that.
///
/// The system resets a connection that is closed with unread bytes, or that gets some after it was
/// closed, and discards what the peer has not acknowledged. Such bytes are requests behind
/// the last response. They stay unread until their peer has closed, so that it can know them not to
/// have been handled.
pub(super) async fn close_delivered(
    mut stream: TcpStream,
    log: &mut ConnectionLog,
    reason: CloseReason,
) {
    send_end(&mut stream).await;
    if let Some(end) = log.read_until() {
        log.end = ConnectionEnd::Closing(reason);
        match time::timeout_at(end, wait_closed(&stream)).await {
            Ok(Ok(())) => discard_unread(&stream),
            Ok(Err(error)) => {
                log::debug!(target: "http", "Connection broke at its end: {error}.");
            }
            Err(_) if has_unread(&stream) => log.log_open(reason),
            Err(_) => {}
        }
    }
    log.end();
}

/// Closes a connection on which the peer may still be sending: reads and discards until the
/// peer closes as well, within limits.
pub(super) async fn close_lingering(mut stream: TcpStream) {
    send_end(&mut stream).await;
    match time::timeout(LINGER_TIMEOUT, discard(&mut stream)).await {
        Ok(Ok(0)) => {}
        Ok(Ok(size)) => {
            log::debug!(target: "http", "Discarded {size} bytes after the last response.");
        }
        Ok(Err(error)) => log::debug!(target: "http", "Connection broke at its end: {error}."),
        Err(_) => log::debug!(target: "http", "The peer did not close its connection in time."),
    }
}

/// Reads up to [`LINGER_BYTES_MAX`], or until the peer closes; returns the bytes read.
async fn discard(stream: &mut TcpStream) -> io::Result<usize> {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < LINGER_BYTES_MAX {
        let size = stream.read(&mut buffer).await?;
        if size == 0 {
            break;
        }
        discarded += size;
    }
    Ok(discarded)
}

/// Waits until the peer has closed a connection, without reading from it.
async fn wait_closed(stream: &TcpStream) -> io::Result<()> {
    loop {
        let readiness = stream.ready(Interest::READABLE).await?;
        if readiness.is_read_closed() {
            return Ok(());
        }
        // While the peer is open this returns `WouldBlock`, so that the next wait lasts until more
        // arrives.
        match stream.try_io(Interest::READABLE, || peek_end(stream)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            ended => return ended,
        }
    }
}

/// Returns if the peer has closed a connection and nothing of it is unread.
fn peek_end(stream: &TcpStream) -> io::Result<()> {
    match peek(stream)? {
        0 => Ok(()),
        _ => Err(io::ErrorKind::WouldBlock.into()),
    }
}

/// Discards what is unread on a connection whose peer sends nothing more, but may still be reading.
fn discard_unread(stream: &TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    // Nothing is left at an error, either.
    while stream.try_read(&mut buffer).is_ok_and(|size| size > 0) {}
}

fn has_unread(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|size| size > 0)
}

/// Looks for one byte that is unread; returns 0 if the peer has closed the connection.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}
