//! The administration API.
//!
//! - [`calls`]: the implementation of each call, independent of HTTP.
//! - [`http`]: the HTTP server, which decodes requests into calls.
//! - [`wire`]: JSON bodies of requests and responses.
//! - [`description`]: the `OpenAPI` description.

pub mod calls;
pub mod description;
pub mod http;
pub mod wire;
