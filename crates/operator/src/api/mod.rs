//! The administration API.
//!
//! - [`desk`]: what each call does, free of HTTP.
//! - [`http`]: the calls as HTTP requests, by a blocking server.
//! - [`description`]: the `OpenAPI` description.

pub mod description;
pub mod desk;
pub mod http;
pub mod wire;
