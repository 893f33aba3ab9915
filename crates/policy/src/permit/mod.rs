//! Rate limits that upstreams name in their responses, and permits to send within them.
//!
//! A limit holds for the whole fleet. For each service and data centre of upstreams, one
//! node owns the limits: it holds a [`PermitLedger`], and every request to an upstream with
//! a limit needs a permit that its sender draws there. All other nodes know only that an
//! upstream has a limit. What an owner or a message loses costs requests, and never adds
//! any.

mod announcement;
mod ledger;
mod message;
mod shard;
mod signal;
mod state;

pub use ledger::PermitLedger;
pub use message::{
    LimitReport, Permit, PermitCandidate, PermitDraw, PermitOutlook, PermitReply, PermitRequest,
};
pub use shard::{LIMIT_SHARDS, LimitShard};
pub use signal::LimitSignal;
pub use state::{LimitRecord, LimitState, LimitVersion};
