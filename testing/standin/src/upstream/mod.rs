//! An upstream's stand-in.

mod answer;
mod behaviour;
mod ledger;
mod server;

pub use behaviour::{Behaviour, GrayMode};
pub use ledger::RunLedger;
pub use server::{ACTION_ID, UpstreamStandin};
