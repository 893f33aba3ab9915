//! Load balancing of one service at one node.

mod assignment;
mod balancer;
mod choose;
mod entry;
mod fair_admission;
mod load_totals;
mod measure;
mod placement;
mod subset;
mod width;

pub use assignment::{AssignedUpstream, assign, width_step};
pub use balancer::{
    Admission, AttemptGrant, AttemptKey, AttemptPurpose, AttemptRequest, CandidateView, LoadReport,
    OfferCount, PreviewDecision, RequestPreview, SelectionReason, ServiceBalancer, UpstreamLoad,
};
pub use choose::CandidateGroup;
pub use entry::{UpstreamPause, UpstreamStatus, UpstreamView};
pub use fair_admission::{FairAdmission, FairDecision, QueuedAttempt, WaitOutlook, WaitRefusal};
pub use load_totals::LoadTotals;
pub use placement::{NodeAssignment, Placement};
pub use subset::{choose_subset, subset_size};
pub use width::{NodeDemand, SubsetShape, SubsetWidth};
