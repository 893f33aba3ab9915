//! The upstream snapshot that every node keeps a copy of: building it from what the
//! source reports, its incremental changes, which removals to trust, and which upstreams leave.

mod change;
mod confirm;
mod departures;
mod view;

pub use change::{ChangeResult, UpstreamChange};
pub use confirm::drop_confirmed_removals;
pub use departures::DepartureLog;
pub use view::{SourceEvent, SourceView};
