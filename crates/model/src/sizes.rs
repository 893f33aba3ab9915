//! Quantities: counts, sizes, shares, rates and versions.

use std::fmt;
use std::str;

use crate::error;

crate::quantity! {
    /// A number of slots; an upstream runs one request at a time in each.
    SlotCount, u32, 0, 100_000, "a whole number from 0 to 100000"
}
crate::quantity! {
    /// A number of requests in flight or queued.
    RequestCount, u32, 1, 1_000_000, "a whole number from 1 to 1000000"
}
crate::quantity! {
    /// Requests that may be sent at once on top of a rate.
    BurstSize, u32, 0, 1_000_000, "a whole number from 0 to 1000000"
}
crate::quantity! {
    /// A size in bytes.
    ByteSize, u64, 1, 1_099_511_627_776, "a whole number of bytes from 1 to 1099511627776"
}
crate::quantity! {
    /// A number of bytes that are held in memory.
    HeldBytes, u64, 0, u64::MAX, "a whole number of bytes"
}
crate::quantity! {
    /// The generation of the configuration; increases with every accepted change.
    Generation, u64, 0, u64::MAX, "a whole number"
}
crate::quantity! {
    /// The version of one object in the platform's store.
    ObjectVersion, u64, 0, u64::MAX, "a whole number"
}
crate::quantity! {
    /// Work that a node can do for other nodes, in thousandths of a core, as limited by its
    /// CPU share and its bandwidth.
    NodeCapacity, u32, 0, u32::MAX, "a whole number of thousandths of a core"
}
crate::quantity! {
    /// The local port of a connection. Together with a time, it identifies the connection in logs
    /// and packet captures.
    LocalPort, u16, 0, u16::MAX, "a whole number from 0 to 65535"
}
crate::quantity! {
    /// A number of exchanges that a connection has completed.
    ExchangeCount, u64, 0, u64::MAX, "a whole number"
}

impl HeldBytes {
    /// The size of data.
    pub const fn of(data: &[u8]) -> Self {
        Self(data.len() as u64)
    }
}

impl ExchangeCount {
    /// The count after one more exchange.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Generation {
    /// The next generation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A fraction from 0 to 1, written as a percentage (`25%`).
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// Wraps a fraction, clamped to the range from 0 to 1.
    pub const fn new(fraction: f64) -> Self {
        Self(fraction.clamp(0.0, 1.0))
    }

    /// The fraction, from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = (self.0 * 10_000.0).round() / 100.0;
        write!(f, "{percent}%")
    }
}

impl str::FromStr for Share {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text
            .strip_suffix('%')
            .and_then(|digits| digits.parse::<f64>().ok());
        let Some(percent) = number.filter(|percent| (0.0..=100.0).contains(percent)) else {
            return Err(error::ValueError::new(text, "a percentage from 0% to 100%"));
        };
        Ok(Self(percent / 100.0))
    }
}

/// A rate in events per second, written with its unit (`70/s`).
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Wraps a number of events per second.
    pub const fn per_second(events: f64) -> Self {
        Self(events)
    }

    /// The rate in events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for Rate {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse::<f64>().ok();
        let Some(rate) = number.filter(|rate| *rate > 0.0 && *rate <= 1_000_000.0) else {
            return Err(error::ValueError::new(
                text,
                "a rate above 0/s, at most 1000000/s",
            ));
        };
        Ok(Self(rate))
    }
}

/// The requests per second that an upstream takes from the whole fleet, written as a
/// decimal number (`1.5`). An upstream that takes none has the limit 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Wraps a number of requests per second without checking its range.
    pub const fn per_second(requests: f64) -> Self {
        Self(requests)
    }

    /// The limit in requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// The lower of two limits.
    #[must_use]
    pub const fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for RateLimit {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<f64>().ok();
        let Some(requests) = number.filter(|number| (0.0..=1_000_000.0).contains(number)) else {
            return Err(error::ValueError::new(
                text,
                "a number of requests per second from 0 to 1000000",
            ));
        };
        Ok(Self(requests))
    }
}
