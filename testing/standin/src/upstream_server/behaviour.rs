//! The behaviour of an upstream's stand-in, which can change while it runs.

use std::time::Duration;

model::text_enum! {
    /// How an upstream fails while it still passes health checks.
    pub enum GrayMode {
        /// Does not fail.
        None = "none",
        /// Responds to every request with status 500.
        Errors = "errors",
        /// Takes five times as long for every request.
        Slow = "slow",
        /// Lets half of the requests hang, picked at random, for two minutes before they run.
        Hang = "hang",
        /// Breaks off response bodies after half of their bytes.
        Truncate = "truncate",
    }
}

/// How an upstream handles requests.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// How the upstream fails.
    pub gray: GrayMode,
    /// Whether responses announce that the upstream is draining.
    pub draining: bool,
    /// Whether the health endpoint responds with status 503 although requests succeed.
    pub fails_health_checks: bool,
    /// Mean time that a request takes in its slot; it varies by up to 30% at random.
    pub service_time: Duration,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue: usize,
    /// How long requests take four times as long after the start.
    pub cold_duration: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            gray: GrayMode::None,
            draining: false,
            fails_health_checks: false,
            service_time: Duration::from_millis(5),
            slots: 4,
            queue: 16,
            cold_duration: Duration::ZERO,
        }
    }
}
