//! A stand-in of an upstream whose behaviour can change while it runs.

mod behaviour;
mod ledger;
mod response;
mod server;

pub use behaviour::{Behaviour, GrayMode};
pub use ledger::RunLedger;
pub use server::{ACTION_ID_HEADER, UpstreamStandin};
