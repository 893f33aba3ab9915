//! What a response states about the limit of its upstream.

use std::fmt;

use model::sizes;

model::record! {
    /// What the head of a response states about the rate of requests that its upstream takes.
    #[derive(Copy)]
    pub enum LimitSignal {
        /// It names no limit, so there is none.
        Absent,
        /// It names a limit.
        Named(sizes::RateLimit),
        /// It does not tell: the limit that it names cannot be read, or the response may be
        /// that of another upstream.
        Unknown,
    }
}

impl fmt::Display for LimitSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Named(rate) => rate.fmt(f),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
