//! The assignment of upstreams to nodes, the width of subsets, and the choice among upstreams.

mod assignment;
#[path = "../common/mod.rs"]
mod common;
mod width;
