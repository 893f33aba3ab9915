//! Wall-clock time that moves with the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time;

crate::quantity! {
    /// A point of wall-clock time in milliseconds since 1970-01-01 00:00 UTC.
    UnixMillis, u64, 0, u64::MAX, "milliseconds since 1970"
}

impl UnixMillis {
    /// The point that lies a span later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self::new(self.get().saturating_add(millis))
    }
}

/// Reads the system's time once and then follows the runtime's clock, which tests pause.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started: time::Instant,
    epoch: UnixMillis,
}

impl WallClock {
    /// Anchors the clock at the present moment.
    pub fn start() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let epoch = UnixMillis::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        Self {
            started: time::Instant::now(),
            epoch,
        }
    }

    /// The present wall-clock time.
    pub fn now(&self) -> UnixMillis {
        self.epoch.after(self.started.elapsed())
    }
}
