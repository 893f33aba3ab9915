//! Load balancing of one service at one node.

mod balancer;
mod choose;
mod entry;
mod fair_admission;
mod load_totals;
mod subset;

pub use balancer::{
    Admission, AttemptGrant, AttemptKey, AttemptPurpose, AttemptRequest, LoadReport, OfferCount,
    ServiceBalancer, UpstreamLoad,
};
pub use entry::{UpstreamPause, UpstreamStatus, UpstreamView};
pub use fair_admission::{FairAdmission, FairDecision, QueuedAttempt, WaitOutlook, WaitRefusal};
pub use load_totals::LoadTotals;
pub use subset::{choose_subset, subset_size};
