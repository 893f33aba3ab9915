//! What passes between the nodes of the simulated fleet, and the timers of each.

use gooseberrydyke_policy::office::HolderTime;
use gooseberrydyke_policy::quota::QuotaGrant;
use tokio::time::Instant;

/// A message or a timer of one process.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Request,
    Vote {
        node: usize,
        run: u32,
    },
    Compare {
        node: usize,
        run: u32,
    },
    Learn {
        node: usize,
        run: u32,
    },
    Message {
        from: (usize, u32),
        to: usize,
        content: Content,
    },
    /// Decides on requests that wait for too long.
    Settle {
        node: usize,
        run: u32,
    },
    /// Checks whether the exchange with a number has ended.
    GiveUp {
        node: usize,
        run: u32,
        exchange: u64,
    },
    Forget {
        node: usize,
        run: u32,
        exchange: u64,
    },
}

#[derive(Debug, Clone)]
pub(crate) enum Content {
    Vote {
        exchange: u64,
        heard: Option<HolderTime>,
        voters: usize,
    },
    Release {
        exchange: u64,
    },
    Time {
        exchange: u64,
        time: HolderTime,
    },
    Draw {
        exchange: u64,
        count: u32,
        deposit: u32,
        is_new: bool,
    },
    Grant {
        exchange: u64,
        grant: QuotaGrant,
    },
    Contact,
    Heartbeat,
    Leaving,
}

/// An exchange that waits for its reply.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) to: usize,
    pub(crate) asked_at: Instant,
    pub(crate) kind: ExchangeKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeKind {
    Vote,
    Release,
    Draw { is_given_up: bool },
}
