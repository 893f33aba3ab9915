//! Requests that crash the upstreams which run them.
//!
//! When an upstream crashes, each request that it was running is a suspect. A request that is
//! a suspect of several crashes, which no other request explains, is quarantined: it is
//! rejected, but for a trial at growing intervals. A run that completes clears a request.

mod ledger;
mod message;

pub use ledger::CrashLedger;
pub use message::{CrashRecord, CrashReport, RequestStanding};
