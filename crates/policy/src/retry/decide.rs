//! Decision whether to make another attempt of a request.

use std::time::Duration;

use model::error;

use tokio::time::Instant;

use super::budget::RetryBudget;

/// Maximum number of attempts for one request, unless its route sets a lower limit.
pub const ATTEMPTS_MAX: usize = 3;
/// Minimum time to the deadline for another attempt.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

model::text_enum! {
    /// How an attempt ended.
    pub enum AttemptEnd {
        /// A complete response that counts as a success.
        Answered = "answered",
        /// A complete response with a server error.
        ServerError = "server-error",
        /// The upstream shed the request: it reported that it did not run it.
        Shed = "shed",
        /// No connection could be opened.
        ConnectFailed = "connect-failed",
        /// Another instance has the address and did not run the request.
        Misdirected = "misdirected",
        /// The connection closed before a byte was sent.
        NotSent = "not-sent",
        /// The upstream did not respond in time after the request was sent.
        TimedOut = "timed-out",
        /// The connection broke after the request was sent.
        Broken = "broken",
        /// The response body was incomplete.
        Truncated = "truncated",
        /// A reused connection gave no response; a new connection may work.
        Unresponsive = "silent",
        /// A hedge got its response first, though it started later.
        Outpaced = "outpaced",
        /// The caller cancelled the attempt or left it too little time.
        Cancelled = "withdrawn",
    }
}

impl AttemptEnd {
    /// Whether the request certainly did not run.
    pub const fn is_not_run(self, shed_is_not_run: bool) -> bool {
        match self {
            Self::ConnectFailed | Self::NotSent | Self::Misdirected => true,
            Self::Shed => shed_is_not_run,
            _ => false,
        }
    }

    /// Whether the outcome counts as good or bad for the upstream; `None` if it is no
    /// evidence.
    pub const fn counts_as_good(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::ServerError
            | Self::ConnectFailed
            | Self::TimedOut
            | Self::Broken
            | Self::Truncated
            | Self::Outpaced => Some(false),
            Self::Shed
            | Self::Misdirected
            | Self::NotSent
            | Self::Unresponsive
            | Self::Cancelled => None,
        }
    }

    /// The error that the caller gets when no further attempt is made.
    pub const fn error_kind(self, shed_is_not_run: bool) -> error::ErrorKind {
        match self {
            Self::ConnectFailed | Self::NotSent | Self::Misdirected => {
                error::ErrorKind::ConnectFailed
            }
            Self::Shed if shed_is_not_run => error::ErrorKind::Shed,
            Self::TimedOut | Self::Unresponsive => error::ErrorKind::DeadlineAfterSend,
            Self::Cancelled => error::ErrorKind::CallerDisconnected,
            _ => error::ErrorKind::ResponseLost,
        }
    }
}

model::text_enum! {
    /// What another attempt is charged to.
    pub enum RetryCharge {
        /// The service's retry budget.
        Budget = "budget",
        /// The trial that the last attempt was. The fleet limits the rate of trials, so no
        /// token is needed.
        Trial = "trial",
    }
}

/// Input of the decision whether to retry.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// How the last attempt ended.
    pub end: AttemptEnd,
    /// Whether the route's rule allows the request to run more than once.
    pub repeatable: bool,
    /// Whether a shed response means that the request did not run.
    pub shed_is_not_run: bool,
    /// What another attempt is charged to.
    pub charge: RetryCharge,
    /// Whether the whole request body is still available.
    pub body_retained: bool,
    /// Number of attempts made so far.
    pub attempts: usize,
    /// Maximum number of attempts.
    pub attempts_max: usize,
    /// Time to the deadline.
    pub time_left: Duration,
}

model::text_enum! {
    /// Why no further attempt is made.
    pub enum RetryRefusal {
        /// The request may have run, and its route forbids running it again.
        Rule = "rule",
        /// The request body was streamed to an upstream and not retained.
        Body = "body",
        /// The maximum number of attempts was made.
        Attempts = "attempts",
        /// Too little time is left to the deadline.
        Time = "time",
        /// The retry budget is empty.
        Budget = "budget",
    }
}

/// Decides whether to make another attempt and charges it to the budget.
///
/// An attempt that did not reach the upstream is retried free of charge.
///
/// # Errors
/// The first reason against another attempt.
pub fn decide(
    now: Instant,
    context: &RetryContext,
    budget: &mut RetryBudget,
) -> Result<(), RetryRefusal> {
    let not_run = context.end.is_not_run(context.shed_is_not_run);
    if !context.repeatable && !not_run {
        return Err(RetryRefusal::Rule);
    }
    if !context.body_retained {
        return Err(RetryRefusal::Body);
    }
    if context.attempts >= context.attempts_max {
        return Err(RetryRefusal::Attempts);
    }
    if context.time_left < TIME_LEFT_MIN {
        return Err(RetryRefusal::Time);
    }
    let reached_upstream = !matches!(context.end, AttemptEnd::ConnectFailed | AttemptEnd::NotSent);
    if reached_upstream && context.charge == RetryCharge::Budget && !budget.spend(now) {
        return Err(RetryRefusal::Budget);
    }
    Ok(())
}
