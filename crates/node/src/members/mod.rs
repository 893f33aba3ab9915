//! The members of the fleet, owned by one task and published as snapshots.

mod task;

pub use task::{MemberLister, MemberListing, MemberSet};
