//! Pauses that upstreams ask for.

use std::fmt;
use std::str;
use std::time::Duration;

use crate::error;

/// Limit on a pause. An upstream that is away for longer says so at the source of upstreams.
const PAUSE_MAX: Duration = Duration::from_mins(5);

/// Time for which an upstream asks to get no requests, written in seconds (`1.5`). Longer
/// pauses than five minutes are shortened to that.
///
/// # Examples
/// ```
/// let pause: gooseberrydyke_model::pause::PauseTime = "1.5".parse().unwrap();
/// assert_eq!(pause.get(), std::time::Duration::from_millis(1500));
/// assert_eq!(pause.to_string(), "1.5");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseTime(Duration);

impl PauseTime {
    /// Creates a pause; shortens one that is too long.
    pub fn new(duration: Duration) -> Self {
        Self(duration.min(PAUSE_MAX))
    }

    /// The pause as a standard [`Duration`].
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for PauseTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl str::FromStr for PauseTime {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let seconds = text.parse::<f64>().ok().filter(|_| is_decimal);
        let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        let Some(duration) = duration else {
            return Err(error::ValueError::new(text, "a number of seconds"));
        };
        Ok(Self::new(duration))
    }
}
