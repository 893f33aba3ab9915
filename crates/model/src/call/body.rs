//! Streaming bodies and their errors.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use quick_error::quick_error;

quick_error! {
    /// Why a body is incomplete.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// The connection to the sender failed.
        Broken { display("the connection failed before the body was complete") }
        /// The framing of the body is invalid.
        Malformed { display("the framing of the body is invalid") }
        /// The body exceeds its size limit.
        TooLarge { display("the body exceeds its size limit") }
        /// The deadline passed while the body was streamed.
        Deadline { display("the deadline passed before the body was complete") }
    }
}

/// A body that is read as a stream of data frames.
pub type BodyStream = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;

/// A body without data.
pub fn empty_body() -> BodyStream {
    http_body_util::Empty::new()
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body whose data is in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> BodyStream {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
