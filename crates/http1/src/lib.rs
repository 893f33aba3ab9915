//! HTTP/1.1 connections, shared by every package whose peer speaks it.
//!
//! - [`client`]: a task that owns one outgoing connection and takes one exchange at a time.
//! - [`server`]: serves one accepted connection.
//! - [`header`]: which headers end at each hop.

pub mod client;
pub mod header;
pub mod server;
