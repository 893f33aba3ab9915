//! Retries: when a request may be sent again, and which budget the retry is charged to.

mod budget;
mod decide;
mod pool;

pub use budget::RetryBudget;
pub use decide::{ATTEMPTS_MAX, AttemptEnd, RetryCase, RetryPayer, RetryRefusal, decide};
pub use pool::{RepeatDeposit, RepeatPool};
