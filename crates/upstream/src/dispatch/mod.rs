//! One request from routing and claim to its response, over one or more attempts.

mod access;
mod body;
mod claim;
mod dispatcher;
mod quota;
mod race;
mod resume;
mod trace;

pub use claim::{ClaimCallbacks, ClaimFuture};
pub use dispatcher::Dispatcher;
pub use quota::{QuotaCallbacks, QuotaFuture};
