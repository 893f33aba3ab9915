//! Errors: their kinds, the response that each kind maps to, and values that cannot be parsed.

mod kind;

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

pub use kind::{ErrorKind, ErrorResponse, Outcome};

/// An error of a known kind with a description.
///
/// # Examples
/// ```
/// use gooseberrydyke_model::error::{ErrorKind, FleetError, Outcome};
/// let error = FleetError::new(ErrorKind::NoRoute, "no route for GET /nowhere");
/// assert_eq!(error.kind().response().outcome, Outcome::NotRun);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetError {
    kind: ErrorKind,
    detail: Arc<str>,
    retry_after: Option<Duration>,
}

impl FleetError {
    /// Creates an error; `detail` is shown to callers and operators.
    pub fn new(kind: ErrorKind, detail: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should send its request again.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Time after which the caller should send its request again, if it is known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// The kind, which determines the response.
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// What happened, without the kind.
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

impl std::fmt::Display for FleetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for FleetError {}

quick_error! {
    /// A text that cannot be parsed as the requested type.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValueError {
        /// The text and a description of the allowed values.
        Invalid(text: Arc<str>, allowed: &'static str) {
            display("invalid value {:?}: expected {}", text, allowed)
        }
    }
}

impl ValueError {
    /// Creates an error; `allowed` describes the allowed values.
    pub fn new(text: &str, allowed: &'static str) -> Self {
        Self::Invalid(text.into(), allowed)
    }

    /// A description of the allowed values.
    pub const fn allowed(&self) -> &'static str {
        let Self::Invalid(_, allowed) = self;
        allowed
    }
}
