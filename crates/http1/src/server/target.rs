//! The targets of requests as they were sent.
//!
//! hyper passes a target on as a URI, without what a URI of a request has no place for, such as
//! a fragment. So the request lines are found in the bytes that hyper reads.

use std::task::{Context, Poll, ready};

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

/// The target of a request as it was sent, an extension of the request.
#[derive(Debug, Clone)]
pub struct RawTarget(Bytes);

impl RawTarget {
    /// The target's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// What follows the head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// Nothing; the next request begins.
    None,
    /// A body of this many bytes.
    Sized(u64),
    /// A body in chunks.
    Chunked,
}

/// Where in a request the next byte belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// To the request line, or to empty lines before it.
    RequestLine,
    /// To a header line; whether nothing of it has arrived yet.
    HeaderLine { is_empty: bool },
    /// After a head, whose body has yet to be announced.
    HeadEnd,
    /// To a body with this many bytes left.
    Body(u64),
    /// To the line with the size of a chunk, up to its extensions.
    ChunkSize(u64),
    /// To the extensions behind the size of a chunk.
    ChunkExtension(u64),
    /// To a chunk with this many bytes left, the line break after it included.
    Chunk(u64),
    /// To a line of the trailers; whether nothing of it has arrived yet.
    TrailerLine { is_empty: bool },
}

/// Bytes of the line break after a chunk.
const LINE_BREAK_BYTES: u64 = 2;

/// Follows the bytes of a connection through its requests and tells the target of each.
///
/// It stops at the end of a head until the body is announced, so it never has to find out by
/// itself how a request is framed.
#[derive(Debug)]
pub(super) struct TargetTracker {
    position: Position,
    /// The request line so far.
    line: Vec<u8>,
    targets: watch::Sender<RawTarget>,
    framings: mpsc::Receiver<BodyFraming>,
}

/// The other side of a [`TargetTracker`]: receives the targets and announces the bodies.
#[derive(Debug)]
pub(super) struct TargetReceiver {
    targets: watch::Receiver<RawTarget>,
    framings: mpsc::Sender<BodyFraming>,
}

impl TargetReceiver {
    /// Takes the target of the request whose head has just been parsed, and announces the
    /// request's body.
    pub(super) fn start_request(&self, framing: BodyFraming) -> RawTarget {
        if self.framings.try_send(framing).is_err() {
            log::warn!(target: "http", "The body of a request was announced twice.");
        }
        self.targets.borrow().clone()
    }
}

impl TargetTracker {
    /// A tracker at the beginning of a connection.
    pub(super) fn new() -> (Self, TargetReceiver) {
        // One head at a time is between its end and the announcement of its body.
        let (targets, target_inbox) = watch::channel(RawTarget(Bytes::new()));
        let (framing_sender, framings) = mpsc::channel(1);
        let tracker = Self {
            position: Position::RequestLine,
            line: Vec::new(),
            targets,
            framings,
        };
        let receiver = TargetReceiver {
            targets: target_inbox,
            framings: framing_sender,
        };
        (tracker, receiver)
    }

    /// Waits until the body of the last head has been announced.
    pub(super) fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.position != Position::HeadEnd {
            return Poll::Ready(());
        }
        let framing = ready!(self.framings.poll_recv(context));
        self.position = match framing {
            Some(BodyFraming::Sized(size)) => Position::Body(size),
            Some(BodyFraming::Chunked) => Position::ChunkSize(0),
            Some(BodyFraming::None) | None => Position::RequestLine,
        };
        Poll::Ready(())
    }

    /// Follows the bytes up to the end of a head; returns how many that are.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while used < bytes.len() && self.position != Position::HeadEnd {
            used += self.step(&bytes[used..]);
        }
        used
    }

    /// Follows some of the bytes, of which there is at least one; returns how many.
    fn step(&mut self, bytes: &[u8]) -> usize {
        let (position, used) = match self.position {
            Position::Body(left) => skip(bytes, left, Position::Body, Position::RequestLine),
            Position::Chunk(left) => skip(bytes, left, Position::Chunk, Position::ChunkSize(0)),
            _ => (self.after(bytes[0]), 1),
        };
        self.position = position;
        used
    }

    /// The position after one byte that is not counted.
    fn after(&mut self, byte: u8) -> Position {
        let is_break = byte == b'\n';
        match self.position {
            Position::RequestLine if is_break => self.end_request_line(),
            Position::RequestLine => {
                self.line.push(byte);
                Position::RequestLine
            }
            Position::HeaderLine { is_empty: true } if is_break => {
                self.end_head();
                Position::HeadEnd
            }
            Position::HeaderLine { is_empty } => Position::HeaderLine {
                is_empty: is_break || (is_empty && byte == b'\r'),
            },
            Position::ChunkSize(size) | Position::ChunkExtension(size) if is_break => match size {
                0 => Position::TrailerLine { is_empty: true },
                size => Position::Chunk(size.saturating_add(LINE_BREAK_BYTES)),
            },
            Position::ChunkSize(size) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    Position::ChunkSize(size.saturating_mul(16).saturating_add(digit.into()))
                }
                None => Position::ChunkExtension(size),
            },
            Position::TrailerLine { is_empty: true } if is_break => Position::RequestLine,
            Position::TrailerLine { is_empty } => Position::TrailerLine {
                is_empty: is_break || (is_empty && byte == b'\r'),
            },
            position => position,
        }
    }

    fn end_request_line(&mut self) -> Position {
        if self.line.trim_ascii().is_empty() {
            self.line.clear();
            return Position::RequestLine;
        }
        Position::HeaderLine { is_empty: true }
    }

    /// Sends the target of the head that has ended.
    fn end_head(&mut self) {
        let mut words = self.line.split(|byte| *byte == b' ');
        let target = Bytes::copy_from_slice(words.nth(1).unwrap_or_default());
        self.targets.send_replace(RawTarget(target));
        self.line.clear();
    }
}

/// Counts off bytes of which `left` are left; returns the position after them and their number.
fn skip(
    bytes: &[u8],
    left: u64,
    within: fn(u64) -> Position,
    after: Position,
) -> (Position, usize) {
    let left = usize::try_from(left).unwrap_or(usize::MAX);
    let used = left.min(bytes.len());
    match left - used {
        0 => (after, used),
        left => (within(left as u64), used),
    }
}
