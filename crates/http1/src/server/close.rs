//! The end of an accepted connection, and what is logged of it.

use std::fmt;
use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::phase::{ConnectionPhase, ConnectionState};

/// How far unread bytes are counted.
const UNREAD_BYTES_MAX: usize = 4 * 1024;

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
    /// Whether the connection was closed on purpose.
    has_ended: bool,
}

impl ConnectionLog {
    pub(super) fn new(stream: &TcpStream, states: watch::Receiver<ConnectionState>) -> Self {
        Self {
            peer: peer_name(stream),
            states,
            has_ended: false,
        }
    }

    /// Records that the connection ends on purpose.
    pub(super) fn end(&mut self) {
        self.has_ended = true;
    }

    /// Logs that a connection is closed before its peer has closed it.
    fn log_open(&self, reason: CloseReason, unread: usize) {
        let state = self.states.borrow();
        log::info!(
            target: "http",
            request = state.label(), peer = self.peer, requests = state.requests,
            reason:% = reason, unread;
            "Connection closed before its caller closed it; what the caller sends on it now resets it."
        );
    }
}

impl Drop for ConnectionLog {
    fn drop(&mut self) {
        let state = self.states.borrow();
        let is_cut = matches!(
            state.phase,
            ConnectionPhase::Busy | ConnectionPhase::Flushing(_)
        );
        if !self.has_ended && is_cut {
            log::info!(
                target: "http",
                request = state.label(), peer = self.peer, requests = state.requests;
                "Connection cut before its response was sent: the process ends."
            );
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

/// Closes a connection after its last response.
pub(super) async fn close(mut stream: TcpStream, log: &ConnectionLog, reason: CloseReason) {
    send_end(&mut stream).await;
    match peer_state(&stream) {
        Ok(PeerState::Closed) => {}
        Ok(PeerState::Open { unread }) => log.log_open(reason, unread),
        Err(error) => log::debug!(target: "http", "Connection broke at its end: {error}."),
    }
}

/// What the peer of a connection has done since its last request.
enum PeerState {
    Closed,
    /// It may send on.
    Open {
        /// Its bytes that are unread, counted up to [`UNREAD_BYTES_MAX`].
        unread: usize,
    },
}

fn peer_state(stream: &TcpStream) -> io::Result<PeerState> {
    let mut buffer = [MaybeUninit::uninit(); UNREAD_BYTES_MAX];
    match SockRef::from(stream).peek(&mut buffer) {
        Ok(0) => Ok(PeerState::Closed),
        Ok(unread) => Ok(PeerState::Open { unread }),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            Ok(PeerState::Open { unread: 0 })
        }
        Err(error) => Err(error),
    }
}
