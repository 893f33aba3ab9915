//! The HTTP front end: accepts connections from callers and turns requests into calls.
//!
//! - [`listener`]: accepts connections, each served by its own task.
//! - [`wire`]: calls, responses and errors as HTTP/1.1 messages.

pub mod listener;
mod target;
pub mod wire;

pub use listener::{CallerLimits, CallerListener, CallerMemory, CallerSettings};
