//! The assignment of upstreams to nodes, the width of subsets, and the choice among upstreams.

mod assignment;
mod choice;
mod chooser;
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod width;
