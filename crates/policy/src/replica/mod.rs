//! Books of routes and upstreams that every node holds a copy of: which copy is newer.

mod change;
mod refute;
mod view;

pub use change::{ChangeResult, UpstreamChange};
pub use refute::without_refuted;
pub use view::{SourceEvent, SourceView};
