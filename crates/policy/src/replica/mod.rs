//! The upstream snapshot that every node keeps a copy of: building it from what the
//! source reports, its incremental changes, and which removals to trust.

mod change;
mod confirm;
mod view;

pub use change::{ChangeResult, UpstreamChange};
pub use confirm::drop_confirmed_removals;
pub use view::{SourceEvent, SourceView};
