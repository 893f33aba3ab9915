//! What nodes tell each other about crashes, and what they conclude.

use model::fingerprint::RequestFingerprint;
use model::ids;
use model::span::TimeSpan;
use tokio::time::Instant;

model::record! {
    /// An upstream crashed while it ran a request.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// The request.
        pub request: RequestFingerprint,
    }

    /// A crash of an upstream as a node remembers it.
    #[derive(Eq)]
    pub struct CrashRecord {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// Time since the crash.
        pub age: TimeSpan,
        /// The requests that it was running.
        pub suspects: Vec<RequestFingerprint>,
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestStanding {
    /// Nothing is known against it.
    #[default]
    Clear,
    /// An upstream crashed while it ran the request. It may be sent to one upstream at a time.
    Suspect,
    /// It crashes upstreams, and may be sent only as a trial.
    Quarantined {
        /// When a trial is due.
        trial_at: Instant,
    },
}
