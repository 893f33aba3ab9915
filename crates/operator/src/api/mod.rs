//! The administration API.
//!
//! - [`calls`]: what each call does, free of HTTP.
//! - [`http`]: the calls as HTTP requests, by a blocking server.
//! - [`description`]: the `OpenAPI` description.

pub mod calls;
pub mod description;
pub mod http;
pub mod wire;
