//! Replication of the upstream snapshot to every node: reading it from the source,
//! sending incremental changes, and deciding which removals to trust.

mod change;
mod confirm;
mod view;

pub use change::{ChangeResult, UpstreamChange};
pub use confirm::drop_confirmed_removals;
pub use view::{SourceEvent, SourceView};
