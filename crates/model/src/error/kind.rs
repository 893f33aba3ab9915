//! The closed list of error kinds and the table from kind to answer.

crate::text_enum! {
    /// What a caller may conclude about its request.
    pub enum Outcome {
        /// The request certainly did not run.
        NotRun = "not-run",
        /// The request may or may not have run.
        Unknown = "unknown",
        /// The upstream answered; its own answer says what happened.
        Responded = "answered",
    }
}

crate::text_enum! {
    /// Every kind of error in the fleet.
    pub enum ErrorKind {
        /// The request breaks the HTTP standard.
        BadRequest = "bad-request",
        /// The head of the request is too large.
        HeadTooLarge = "head-too-large",
        /// The body of the request is too large.
        BodyTooLarge = "body-too-large",
        /// The framing of the body is wrong, which showed while it was passed on.
        BodyMalformed = "body-malformed",
        /// The body outgrew its bound while it was passed on.
        BodyOverrun = "body-overrun",
        /// The request took too long to arrive.
        RequestTimeout = "request-timeout",
        /// No route matches the request.
        NoRoute = "no-route",
        /// The workspace is not known.
        UnknownWorkspace = "unknown-workspace",
        /// The workspace has too many requests in flight.
        WorkspaceLimit = "workspace-limit",
        /// The service has too many requests waiting.
        Overload = "overload",
        /// No upstream of the service can take the request.
        NoUpstream = "no-upstream",
        /// A connection to the upstream could not be opened.
        ConnectFailed = "connect-failed",
        /// The upstream said that it did not run the request.
        Shed = "shed",
        /// The deadline passed before the request was sent.
        DeadlineBeforeSend = "deadline-unsent",
        /// The deadline passed after the request was sent.
        DeadlineAfterSend = "deadline-sent",
        /// The connection broke after the request was sent.
        ResponseLost = "answer-lost",
        /// The key is claimed by a request that is still running.
        KeyInProgress = "key-in-progress",
        /// The key was used and its outcome is not known.
        KeyUnknown = "key-unknown",
        /// The key was used and the request ran.
        KeyRan = "key-ran",
        /// The key was used with another request.
        KeyMismatch = "key-mismatch",
        /// The key could not be claimed.
        ClaimUnavailable = "claim-unavailable",
        /// The caller went away.
        CallerDisconnected = "caller-gone",
        /// The process has no configuration yet.
        NotReady = "not-ready",
        /// The platform could not be reached.
        PlatformUnavailable = "platform-away",
        /// A write may or may not have taken effect.
        WriteUnknown = "write-unknown",
        /// A conditional write met another version.
        Conflict = "conflict",
        /// The object does not exist.
        NotFound = "not-found",
        /// The value given is not allowed.
        Invalid = "invalid",
        /// A change would put a service under its floor.
        UnderFloor = "under-floor",
        /// The token is missing or not known.
        Unauthenticated = "unauthenticated",
        /// The token's role does not allow the call.
        Forbidden = "forbidden",
        /// Another node could not be reached.
        PeerUnreachable = "peer-away",
    }
}

/// The answer that an error kind gives to a caller.
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
    /// Looks the kind up in the table of answers.
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
            Self::WorkspaceLimit => (429, NotRun, true),
            Self::Overload
            | Self::NoUpstream
            | Self::Shed
            | Self::NotReady
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
