//! Routing: selects the route of a request by a total order over all routes.

mod table;

pub use table::{RouteMatch, RouteTable};
