//! Wall-clock time that advances with the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time;

crate::quantity! {
    /// A point in time, in milliseconds since 1970-01-01 00:00 UTC.
    UnixMillis, u64, 0, u64::MAX, "milliseconds since 1970"
}

impl UnixMillis {
    /// Adds a duration; saturates at the maximum.
    #[must_use]
    pub fn saturating_add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self::new(self.get().saturating_add(millis))
    }
}

/// A clock that reads the system time once and then advances with the runtime's clock,
/// which tests can pause.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started_at: time::Instant,
    start_time: UnixMillis,
}

impl WallClock {
    /// Starts the clock at the current system time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start_time =
            UnixMillis::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
        Self {
            started_at: time::Instant::now(),
            start_time,
        }
    }

    /// The current wall-clock time.
    pub fn now(&self) -> UnixMillis {
        self.start_time.saturating_add(self.started_at.elapsed())
    }
}
