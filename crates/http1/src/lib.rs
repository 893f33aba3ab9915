//! HTTP/1.1 connections, shared by all packages that exchange HTTP with their peer.
//!
//! - [`client`]: one task per outgoing connection, which serves one exchange at a time.
//! - [`server`]: accepts connections and serves requests on them.
//! - [`header`]: hop-by-hop headers, and reading a header as text.

pub mod client;
pub mod header;
pub mod server;
