//! Suspicion of single upstreams that rises and decays within seconds.
//!
//! For upstreams with short, recurring gray-failure episodes: they hang on most of their
//! requests for some seconds, while each node sends too few requests to notice that
//! alone. Nodes send each other their signals at once, and all evaluate them in the same
//! way.

mod batch;
mod late_share;
mod score;
mod signal;

pub use batch::{SignalBatch, SignalSource};
pub use late_share::LateShare;
pub use score::SuspicionScore;
pub use signal::{SignalKind, SuspicionSignal};
