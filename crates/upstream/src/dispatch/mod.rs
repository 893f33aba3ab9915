//! One request from routing and claim to its response, over one or more attempts.

mod access;
mod admission;
mod body;
mod claim;
mod dispatcher;
mod preview;
mod quota;
mod race;
mod resume;
mod target;
mod trace;

use std::time::Duration;

use model::error::{ErrorKind, FleetError};

pub use claim::{ClaimCallbacks, ClaimFuture};
pub use dispatcher::{DispatchCallbacks, Dispatcher};
pub use preview::{CallPreview, preview};
pub use quota::{QuotaCallbacks, QuotaFuture};

/// Bounds of the delay before a caller retries a request that was rejected for lack of memory.
/// Unread responses are given up after 3 s, and others leave before. Drawn at random, so that
/// callers do not return together.
const MEMORY_RETRY_MILLIS: std::ops::RangeInclusive<u64> = 500..=1_500;

/// The rejection of a request while too much memory is held.
fn memory_error() -> FleetError {
    let delay = Duration::from_millis(rand::random_range(MEMORY_RETRY_MILLIS));
    let detail = "the bodies that this node holds take too much of its memory";
    FleetError::new(ErrorKind::MemoryLimit, detail).with_retry_after(Some(delay))
}
