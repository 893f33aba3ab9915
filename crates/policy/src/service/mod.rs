//! The balancer of one service at one node: who is in flight where, and who may take more.

mod balancer;
mod choose;
mod load_sum;
mod member;
mod subset;

pub use balancer::{
    Admission, Ask, Grant, LoadReport, Purpose, ServiceBalancer, TicketKey, UpstreamLoad,
};
pub use load_sum::LoadSum;
pub use member::{MemberView, UpstreamStatus};
pub use subset::choose_subset;
