//! Signals that nodes send each other about single attempts.

use model::ids;

model::text_enum! {
    /// What an attempt indicates about its upstream.
    pub enum SignalKind {
        /// There is no response yet, though most attempts would have one by now.
        Overdue = "overdue",
        /// An overdue attempt got its response after all.
        LateResponse = "late-answer",
        /// The attempt ended without a usable response.
        Failed = "failed",
        /// An upstream under suspicion responded in time.
        Answered = "answered",
    }
}

model::record! {
    /// A suspicion signal: evidence from one attempt for or against an upstream.
    #[derive(Eq)]
    pub struct SuspicionSignal {
        /// The service.
        pub service: ids::ServiceId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// What the attempt indicates.
        pub kind: SignalKind,
    }
}
