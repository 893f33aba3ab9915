//! The HTTP front end: accepts connections from callers and turns requests into calls.
//!
//! - [`credential`]: the API key of a request, read as its digest.
//! - [`listener`]: accepts connections, each served by its own task.
//! - [`wire`]: calls, responses and errors as HTTP/1.1 messages.

pub mod credential;
pub mod listener;
mod target;
pub mod wire;

pub use listener::{CallerLimits, CallerListener, CallerSettings};
