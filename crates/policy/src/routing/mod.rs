//! Routing: a total command over routes decides which one a request takes.

mod table;

pub use table::{RouteMatch, RouteTable};
