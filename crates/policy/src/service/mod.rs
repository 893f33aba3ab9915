//! Load balancing of one service at one node.

mod balancer;
mod choose;
mod entry;
mod load_totals;
mod subset;

pub use balancer::{
    Admission, Ask, Grant, LoadReport, Purpose, ServiceBalancer, TicketKey, UpstreamLoad,
};
pub use entry::{MemberView, UpstreamStatus};
pub use load_totals::LoadSum;
pub use subset::choose_subset;
