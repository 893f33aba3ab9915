//! How much memory bodies may take, and what a node does beyond that.

use std::time::Duration;

use model::sizes::{ByteSize, HeldBytes};

/// Share of the process's memory beyond which response bodies are streamed, as a divisor: 9 MB on
/// the smallest nodes, with 112 MB. A gateway takes 10 to 46 MB by itself, so 66 MB are left.
/// On a busy machine, 500 slow readers take 62 MB of them; with 1/8 and 1/4 they took 70 MB, and
/// with 1/5 and 2/5 75 MB on a less busy one.
const STREAM_DIVISOR: u64 = 12;
/// The largest response body that is buffered also while memory is short. Streaming it would take
/// buffers of about that size, and a truncated response could not be retried.
const SMALL_RESPONSE: HeldBytes = HeldBytes::new(16 * 1024);
/// How many times as much is held when requests are rejected: 19 MB of 112 MB, which leaves 93 MB
/// for the process itself, for the buffers of its connections, for requests that are in flight by
/// then, and for fragmentation.
const REJECT_FACTOR: u64 = 2;
/// A level is left below seven eighths of the bound at which it is entered, so that it does not
/// change with every body.
const LEAVE_SHARE: (u64, u64) = (7, 8);

/// How long a peer may leave its response unread while memory is short. Its system asks for more
/// only after it took a part of the receive buffer: on loopback, with the usual buffer, one that
/// reads 40 kB/s needs 3 to 4 s, and one that reads 20 kB/s needs 6 to 9 s.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(9);
/// The same while requests are rejected for lack of memory, which costs more than a slow reader.
const EXHAUSTED_UNREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The size of a socket's send buffer is the process's memory divided by this number: 28 kB on the
/// smallest nodes, which is more than 10 Mbit/s carry in a round trip of 16 ms.
const SOCKET_BUFFER_DIVISOR: u64 = 4_000;

model::text_enum! {
    /// How short the memory for bodies is.
    pub enum MemoryLevel {
        /// Bodies are buffered.
        Ample = "ample",
        /// Response bodies are streamed with back-pressure.
        Short = "short",
        /// New requests are rejected.
        Exhausted = "exhausted",
    }
}

impl MemoryLevel {
    /// Whether a response body of this size may be buffered before its first byte is forwarded.
    pub fn buffers_response(self, size: HeldBytes) -> bool {
        self == Self::Ample || size <= SMALL_RESPONSE
    }

    /// Whether a new request is taken.
    pub const fn admits_requests(self) -> bool {
        !matches!(self, Self::Exhausted)
    }

    /// How long a peer may leave its response unread; none if the usual timeout holds.
    pub const fn unread_timeout(self) -> Option<Duration> {
        match self {
            Self::Ample => None,
            Self::Short => Some(UNREAD_TIMEOUT),
            Self::Exhausted => Some(EXHAUSTED_UNREAD_TIMEOUT),
        }
    }
}

/// The bounds on the bytes that a process holds for bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Beyond it, response bodies are streamed.
    pub stream: HeldBytes,
    /// Beyond it, requests are rejected.
    pub reject: HeldBytes,
    /// The size of a socket's send buffer.
    pub socket_buffer: ByteSize,
}

impl MemoryBounds {
    /// The bounds of a process with this much memory.
    pub const fn of(memory: ByteSize) -> Self {
        let stream = memory.get() / STREAM_DIVISOR;
        Self {
            stream: HeldBytes::new(stream),
            reject: HeldBytes::new(stream * REJECT_FACTOR),
            socket_buffer: ByteSize::new(memory.get() / SOCKET_BUFFER_DIVISOR),
        }
    }

    /// The level while this much is held.
    pub fn level(&self, held: HeldBytes) -> MemoryLevel {
        if held > self.reject {
            MemoryLevel::Exhausted
        } else if held > self.stream {
            MemoryLevel::Short
        } else {
            MemoryLevel::Ample
        }
    }

    /// The level after `current`, which is left only well below the bound at which it is entered.
    pub fn next_level(&self, current: MemoryLevel, held: HeldBytes) -> MemoryLevel {
        let (numerator, denominator) = LEAVE_SHARE;
        let lenient = HeldBytes::new(held.get().saturating_mul(denominator) / numerator);
        let kept = self.level(lenient).min(current);
        self.level(held).max(kept)
    }
}
