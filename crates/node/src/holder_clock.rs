//! The clock of this process as the holder of an office.

use std::time::Duration;

use policy::office::HolderTime;
use rustix::time::{self, ClockId};
use tokio::time::Instant;

/// A clock that also counts the time for which the machine is suspended. The runtime's clock
/// leaves that out, and a holder would count votes that went to others meanwhile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HolderClock {
    started: Instant,
    booted: Duration,
}

impl HolderClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            booted: since_boot(),
        }
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> HolderTime {
        let elapsed = since_boot().saturating_sub(self.booted);
        HolderTime::since_start(elapsed.max(self.started.elapsed()))
    }
}

fn since_boot() -> Duration {
    let time = time::clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
