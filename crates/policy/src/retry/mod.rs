//! Retries: when a request may be sent again, and which budget the retry is charged to.

mod budget;
mod decide;
mod pool;

pub use budget::RetryBudget;
pub use decide::{ATTEMPTS_MAX, AttemptEnd, RetryCharge, RetryContext, RetryRefusal, decide};
pub use pool::{RetryDeposit, RetryPool};
