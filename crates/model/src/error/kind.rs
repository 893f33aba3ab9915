//! The error kinds and the response that each maps to.

crate::text_enum! {
    /// What a caller may conclude about its request.
    pub enum Outcome {
        /// The request certainly did not run.
        NotRun = "not-run",
        /// The request may or may not have run.
        Unknown = "unknown",
        /// The upstream responded, and its response says what happened.
        Responded = "answered",
    }
}

crate::text_enum! {
    /// Kinds of errors; the text form is part of the callers' API.
    pub enum ErrorKind {
        /// The request violates the HTTP standard.
        BadRequest = "bad-request",
        /// The head of the request is too large.
        HeadTooLarge = "head-too-large",
        /// The body of the request is too large.
        BodyTooLarge = "body-too-large",
        /// The framing of the body is invalid, found while it was forwarded.
        BodyMalformed = "body-malformed",
        /// The body exceeded its size limit while it was forwarded.
        BodyOverrun = "body-overrun",
        /// The request took too long to arrive.
        RequestTimeout = "request-timeout",
        /// No route matches the request.
        NoRoute = "no-route",
        /// The workspace does not exist.
        UnknownWorkspace = "unknown-workspace",
        /// The workspace has too many requests in flight.
        WorkspaceLimit = "workspace-limit",
        /// The workspace is over its quota.
        QuotaExceeded = "quota-exceeded",
        /// The service's queue is full.
        Overload = "overload",
        /// The request would wait longer for capacity than its deadline allows.
        ExpectedWait = "expected-wait",
        /// The bodies that the node holds take too much of its memory.
        MemoryLimit = "memory-limit",
        /// Every upstream that could take the request has reached its rate limit.
        RateLimited = "rate-limited",
        /// Upstreams crash while they run the request, so it is not sent.
        Quarantined = "quarantined",
        /// No upstream of the service can take the request.
        NoUpstream = "no-upstream",
        /// A connection to the upstream could not be opened.
        ConnectFailed = "connect-failed",
        /// The upstream reported that it did not run the request.
        Shed = "shed",
        /// The deadline passed before the request was sent.
        DeadlineBeforeSend = "deadline-unsent",
        /// The deadline passed after the request was sent.
        DeadlineAfterSend = "deadline-sent",
        /// The connection failed after the request was sent.
        ResponseLost = "answer-lost",
        /// The idempotency key is claimed by a request that is still running.
        KeyInProgress = "key-in-progress",
        /// The idempotency key was used before, with an unknown outcome.
        KeyUnknown = "key-unknown",
        /// The idempotency key was used before, and the request ran.
        KeyRan = "key-ran",
        /// The idempotency key was used before, with a different request.
        KeyMismatch = "key-mismatch",
        /// The idempotency key could not be claimed.
        ClaimUnavailable = "claim-unavailable",
        /// The caller closed its connection.
        CallerDisconnected = "caller-gone",
        /// The node is stopping and could not wait for the response.
        Stopping = "stopping",
        /// The process has no configuration yet.
        NotReady = "not-ready",
        /// The platform is unavailable.
        PlatformUnavailable = "platform-away",
        /// A write may or may not have taken effect.
        WriteUnknown = "write-unknown",
        /// A conditional write found a different version.
        Conflict = "conflict",
        /// The object does not exist.
        NotFound = "not-found",
        /// A value is invalid.
        Invalid = "invalid",
        /// A change would reduce a service's capacity below its floor.
        UnderFloor = "under-floor",
        /// The token is missing or unknown.
        Unauthenticated = "unauthenticated",
        /// The role of the token does not permit the call.
        Forbidden = "forbidden",
        /// Another node could not be reached.
        PeerUnreachable = "peer-away",
    }
}

/// The response to a request that failed with an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Whether the caller may send the same request again.
    pub retryable: bool,
}

impl ErrorKind {
    /// The response to a request that failed with this kind.
    pub const fn response(self) -> ErrorResponse {
        use Outcome::{NotRun, Responded, Unknown};
        let (status, outcome, retryable) = match self {
            Self::BadRequest | Self::Invalid => (400, NotRun, false),
            Self::HeadTooLarge => (431, NotRun, false),
            Self::BodyTooLarge => (413, NotRun, false),
            Self::BodyMalformed => (400, Unknown, false),
            Self::BodyOverrun => (413, Unknown, false),
            Self::RequestTimeout => (408, NotRun, true),
            Self::NoRoute | Self::NotFound => (404, NotRun, false),
            Self::UnknownWorkspace | Self::Forbidden => (403, NotRun, false),
            Self::Unauthenticated => (401, NotRun, false),
            Self::WorkspaceLimit | Self::QuotaExceeded => (429, NotRun, true),
            Self::Overload
            | Self::ExpectedWait
            | Self::MemoryLimit
            | Self::RateLimited
            | Self::Quarantined
            | Self::NoUpstream
            | Self::Shed
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::PlatformUnavailable
            | Self::PeerUnreachable
            | Self::ConnectFailed
            | Self::DeadlineBeforeSend => (503, NotRun, true),
            Self::DeadlineAfterSend => (504, Unknown, false),
            Self::ResponseLost | Self::WriteUnknown => (502, Unknown, false),
            Self::CallerDisconnected => (499, Unknown, false),
            Self::KeyInProgress => (409, Unknown, true),
            Self::KeyUnknown => (409, Unknown, false),
            Self::KeyRan => (409, Responded, false),
            Self::KeyMismatch => (422, NotRun, false),
            Self::Conflict | Self::UnderFloor => (409, NotRun, true),
        };
        ErrorResponse {
            status,
            outcome,
            retryable,
        }
    }
}
