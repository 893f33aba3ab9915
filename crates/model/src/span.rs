//! Durations in the text form that settings use.

use std::fmt;
use std::str;
use std::time::Duration;

use crate::error;

/// Milliseconds in one second.
const MILLIS_PER_SECOND: u64 = 1_000;
/// Milliseconds in one minute.
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
/// Milliseconds in one hour.
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;
/// Limit on a span: one year, in milliseconds.
const SPAN_MILLIS_MAX: u64 = 24 * 365 * MILLIS_PER_HOUR;

/// A duration in whole milliseconds, written `250ms`, `3s`, `5m` or `24h`.
///
/// # Examples
/// ```
/// let span: gooseberrydyke_model::span::TimeSpan = "1500ms".parse().unwrap();
/// assert_eq!(span.get(), std::time::Duration::from_millis(1500));
/// assert_eq!(span.to_string(), "1500ms");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// A span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(Duration::from_secs(seconds))
    }

    /// The span as a standard [`Duration`].
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX);
        let units = [
            (MILLIS_PER_HOUR, "h"),
            (MILLIS_PER_MINUTE, "m"),
            (MILLIS_PER_SECOND, "s"),
        ];
        let unit = units
            .iter()
            .find(|(unit_millis, _)| millis >= *unit_millis && millis % unit_millis == 0);
        match unit {
            Some((unit_millis, suffix)) => write!(f, "{}{suffix}", millis / unit_millis),
            None => write!(f, "{millis}ms"),
        }
    }
}

impl str::FromStr for TimeSpan {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [
            ("ms", 1),
            ("s", MILLIS_PER_SECOND),
            ("m", MILLIS_PER_MINUTE),
            ("h", MILLIS_PER_HOUR),
        ];
        let parsed = units.iter().find_map(|(suffix, unit_millis)| {
            let digits = text.strip_suffix(suffix)?;
            digits.parse::<u64>().ok()?.checked_mul(*unit_millis)
        });
        let Some(millis) = parsed.filter(|millis| *millis <= SPAN_MILLIS_MAX) else {
            let allowed = "a whole number with ms, s, m or h, at most a year";
            return Err(error::ValueError::new(text, allowed));
        };
        Ok(Self::from_millis(millis))
    }
}

impl TryFrom<String> for TimeSpan {
    type Error = error::ValueError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<TimeSpan> for String {
    fn from(span: TimeSpan) -> Self {
        span.to_string()
    }
}
