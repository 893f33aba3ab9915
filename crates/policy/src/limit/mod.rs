//! Limits: how much work goes to an upstream, waits, or belongs to one workspace.

mod adaptive;
mod gauge;
mod waiting;

pub use adaptive::AdaptiveLimit;
pub use gauge::WorkspaceGauge;
pub use waiting::{Released, WaitingLine};
