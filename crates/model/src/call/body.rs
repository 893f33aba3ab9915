//! Streaming bodies and how they break.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use quick_error::quick_error;

quick_error! {
    /// Why a body ended before its end.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// The sender's connection broke.
        Broken { display("the body broke off") }
        /// The framing of the body is wrong.
        Malformed { display("the framing of the body is wrong") }
        /// The body is larger than allowed.
        TooLarge { display("the body is larger than allowed") }
        /// The deadline passed while the body was streaming.
        Deadline { display("the deadline passed within the body") }
    }
}

/// A body of bytes that arrives in pieces.
pub type BodyStream = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;

/// A body without bytes.
pub fn empty_body() -> BodyStream {
    http_body_util::Empty::new()
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body whose bytes are all at hand.
pub fn full_body(bytes: impl Into<Bytes>) -> BodyStream {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
