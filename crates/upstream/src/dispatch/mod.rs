//! A whole request: routing, claim, attempts, and the answer.

mod body;
mod claim_gate;
mod dispatcher;
mod race;
mod resume;

pub use claim_gate::{ClaimFuture, ClaimGate};
pub use dispatcher::Dispatcher;
