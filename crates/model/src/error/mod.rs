//! Errors: a closed list of kinds, the answer each kind gives, and faulty values.

mod kind;

use std::sync::Arc;

use quick_error::quick_error;

pub use kind::{ErrorKind, ErrorResponse, Outcome};

/// An error with its kind and a sentence of detail.
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
}

impl FleetError {
    /// Joins a kind with its detail.
    pub fn new(kind: ErrorKind, detail: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// The kind, which decides the answer.
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// What happened, as one sentence.
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
    /// A text that is not a value of the wanted type.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValueError {
        /// The text given and what is allowed.
        Refused(text: Arc<str>, allowed: &'static str) {
            display("{:?} is not allowed: give {}", text, allowed)
        }
    }
}

impl ValueError {
    /// Refuses a text and says what is allowed.
    pub fn new(text: &str, allowed: &'static str) -> Self {
        Self::Refused(text.into(), allowed)
    }

    /// What is allowed.
    pub const fn allowed(&self) -> &'static str {
        let Self::Refused(_, allowed) = self;
        allowed
    }
}
