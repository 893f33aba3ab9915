//! Routing: a total order over routes decides which one a request takes.

mod table;

pub use table::{RouteMatch, RouteTable};
