//! Outgoing connections, each owned by a task that takes messages.

mod answer;
mod connection;

pub use answer::AnswerBody;
pub use connection::{Connection, ExchangeError, OpenError, Returned, open};
