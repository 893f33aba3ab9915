//! What a response states about the limit of its upstream.

use model::sizes;

model::record! {
    /// What the head of a response states about the rate of requests that its upstream takes.
    #[derive(Copy)]
    pub enum LimitSignal {
        /// It names no limit, so there is none.
        Absent,
        /// It names a limit.
        Named(sizes::RateLimit),
        /// It names a limit that cannot be read, which says nothing about the limit.
        Unreadable,
    }
}
