//! Limits: how much work goes to an upstream, waits, or belongs to one workspace.

mod adaptive;
mod counter;
mod queue;

pub use adaptive::AdaptiveLimit;
pub use counter::WorkspaceCounter;
pub use queue::{Released, RequestQueue};
