//! Limits on the requests at an upstream, in a queue and of one workspace.

mod adaptive;
mod counter;
mod fair_queue;
mod flow;
mod queue;
mod service_rate;

pub use adaptive::AdaptiveLimit;
pub use counter::WorkspaceCounter;
pub use fair_queue::{FairQueue, WaiterRank};
pub use flow::{FlowKey, FlowTable, RequestClass};
pub use queue::{DequeueResult, RequestQueue};
pub use service_rate::{DepartureRate, ServiceRate};
