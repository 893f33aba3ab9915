//! Limits on the requests at an upstream, in a queue and of one workspace.

mod adaptive;
mod counter;
mod queue;

pub use adaptive::AdaptiveLimit;
pub use counter::WorkspaceCounter;
pub use queue::{DequeueResult, RequestQueue};
