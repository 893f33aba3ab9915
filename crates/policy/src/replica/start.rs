//! When a starting node reads the source itself instead of waiting for another node.

use std::time::Duration;

use tokio::time::Instant;

/// At the first start of a fleet nobody calls yet, so nodes wait until they have found each
/// other; then only a few of them read the source.
const FIRST_START: StartDelay = StartDelay {
    relay: Duration::from_millis(700),
    relay_max: Duration::from_secs(4),
    other: Duration::from_secs(5),
    // Longer than the interval at which nodes tell each other the members they know.
    settle: Duration::from_millis(1_300),
};
/// At a restart callers wait, and a running seed replies within two round trips.
const RESTART: StartDelay = StartDelay {
    relay: Duration::from_millis(100),
    relay_max: Duration::from_millis(100),
    other: Duration::from_millis(400),
    settle: Duration::ZERO,
};

#[derive(Debug, Clone, Copy)]
struct StartDelay {
    /// Least and longest delay of the node that takes itself for the relay.
    relay: Duration,
    relay_max: Duration,
    /// Delay of every other node.
    other: Duration,
    /// Time without a new member after which the relay is taken to be known.
    settle: Duration,
}

/// Watches the members that a starting node finds.
#[derive(Debug)]
pub struct StartWatch {
    delay: StartDelay,
    started: Instant,
    members: usize,
    grown_at: Instant,
}

impl StartWatch {
    /// A node that starts now; `first_start` if the whole fleet starts for the first time.
    pub const fn new(now: Instant, first_start: bool) -> Self {
        Self {
            delay: if first_start { FIRST_START } else { RESTART },
            started: now,
            members: 0,
            grown_at: now,
        }
    }

    /// Records how many members the node knows.
    pub fn record_members(&mut self, now: Instant, members: usize) {
        if members > self.members {
            self.members = members;
            self.grown_at = now;
        }
    }

    /// Whether the node may read the source if it has to.
    pub fn may_read(&self, now: Instant, is_relay: bool) -> bool {
        let age = now.saturating_duration_since(self.started);
        if !is_relay {
            return age >= self.delay.other;
        }
        let settled = now.saturating_duration_since(self.grown_at) >= self.delay.settle;
        age >= self.delay.relay_max || (age >= self.delay.relay && settled)
    }
}
