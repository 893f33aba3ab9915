//! The board of one service at one node: who is in flight where, and who may take more.

mod board;
mod choose;
mod member;
mod subset;

pub use board::{Admission, Ask, Grant, Purpose, ServiceBoard, TicketKey};
pub use member::{MemberView, Standing};
pub use subset::choose_subset;
