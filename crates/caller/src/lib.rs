//! The callers' side: the front end that turns HTTP requests into calls.
//!
//! - [`listener`]: accepts connections, one task for each.
//! - [`wire`]: the encoding of calls, answers and refusals.

pub mod listener;
pub mod wire;

pub use listener::{CallerLimits, CallerListener, CallerSettings};
