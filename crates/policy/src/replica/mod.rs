//! The upstream snapshot that every node keeps a copy of: building it from what the
//! source reports, its incremental changes, which removals to trust, which upstreams leave, and
//! when a starting node reads the source itself.

mod change;
mod confirm;
mod departures;
mod start;
mod view;

pub use change::{ChangeResult, UpstreamChange};
pub use confirm::drop_confirmed_removals;
pub use departures::DepartureLog;
pub use start::StartWatch;
pub use view::{SourceEvent, SourceView};
