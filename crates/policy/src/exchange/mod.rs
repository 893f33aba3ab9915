//! Which requests a connection may carry, so that an id proves to which one a response belongs.
//!
//! A response carries the id of its request. That proves that it belongs to the exchange only if
//! the connection has carried the id once: an upstream may write the copy of an earlier response
//! where a later one is due.

mod carried_ids;
mod connection_origin;

pub use carried_ids::{CarriedId, CarriedIds};
pub use connection_origin::ConnectionOrigin;
