//! What each group of callers got.

use std::fmt;
use std::time::Duration;

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Served,
    Rejected,
    TimedOut,
    Left,
}

/// What one group of callers got.
#[derive(Debug, Clone, Default)]
pub(crate) struct GroupCount {
    pub(crate) sent: u32,
    /// Served within the time that callers want.
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    /// Requests whose callers gave up after a rejection.
    pub(crate) rejected: u32,
    pub(crate) timed_out: u32,
    pub(crate) left: u32,
    /// Rejections, also those after which the caller returned.
    pub(crate) rejections: u32,
    served_time: Duration,
}

impl GroupCount {
    pub(crate) fn record(&mut self, end: CallEnd, took: Duration, wanted: Duration) {
        let count = match end {
            CallEnd::Served if took <= wanted => &mut self.in_time,
            CallEnd::Served => &mut self.late,
            CallEnd::Rejected => &mut self.rejected,
            CallEnd::TimedOut => &mut self.timed_out,
            CallEnd::Left => &mut self.left,
        };
        *count += 1;
        if end == CallEnd::Served {
            self.served_time += took;
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.timed_out += other.timed_out;
        self.left += other.left;
        self.rejections += other.rejections;
        self.served_time += other.served_time;
    }

    pub(crate) fn served(&self) -> u32 {
        self.in_time + self.late
    }

    /// The share of the requests that were served in the time that callers want.
    pub(crate) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    /// The mean time to the response, over the requests that were served.
    pub(crate) fn mean_time(&self) -> Duration {
        self.served_time / self.served().max(1)
    }
}

impl fmt::Display for GroupCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent {:5}, in time {:5} ({:.3}), late {:4}, rejected {:5}, timed out {:4}, left {:4}, \
             rejections {:6}, mean time {:4} ms",
            self.sent,
            self.in_time,
            self.in_time_share(),
            self.late,
            self.rejected,
            self.timed_out,
            self.left,
            self.rejections,
            self.mean_time().as_millis()
        )
    }
}
