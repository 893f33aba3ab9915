//! How an upstream behaves, changed while it runs.

use std::time::Duration;

model::text_enum! {
    /// The ways in which an upstream fails while it passes health checks.
    pub enum GrayMode {
        /// It does not fail.
        None = "none",
        /// It answers with a server error.
        Errors = "errors",
        /// It takes five times as long.
        Slow = "slow",
        /// Half of the requests get no answer.
        Hang = "hang",
        /// Answers break off in the middle.
        Truncate = "truncate",
    }
}

/// Everything that can be changed.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// How it fails.
    pub gray: GrayMode,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Whether its health endpoint says the opposite of the truth.
    pub health_wrong: bool,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Requests run at once.
    pub slots: usize,
    /// Requests that wait for a slot before further ones are shed.
    pub queue: usize,
    /// How long it is slow after its start.
    pub cold: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            gray: GrayMode::None,
            draining: false,
            health_wrong: false,
            service_time: Duration::from_millis(5),
            slots: 4,
            queue: 16,
            cold: Duration::ZERO,
        }
    }
}
