//! What a node knows of the limit of one upstream.

use std::fmt;

use model::{ids, sizes};

model::quantity! {
    /// Counts the changes of one upstream's limit; 0 while no owner has confirmed the limit.
    LimitVersion, u64, 0, u64::MAX, "a whole number"
}

impl LimitVersion {
    /// The next version.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.get().saturating_add(1))
    }
}

model::record! {
    /// The limit of one upstream, as of one version.
    #[derive(Copy, Default)]
    pub struct LimitState {
        /// Requests per second of the whole fleet; `None` without a limit.
        pub rate: Option<sizes::RateLimit>,
        /// The version.
        pub version: LimitVersion,
    }

    /// The limit of one upstream, as nodes send it to each other.
    pub struct LimitRecord {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// The limit.
        pub state: LimitState,
    }
}

impl LimitState {
    /// Replaces this state if the other one has a higher version; returns whether it did.
    pub fn update(&mut self, other: Self) -> bool {
        let is_newer = other.version > self.version;
        if is_newer {
            *self = other;
        }
        is_newer
    }
}

impl fmt::Display for LimitState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.rate {
            Some(rate) => rate.fmt(f),
            None => f.write_str("none"),
        }
    }
}
