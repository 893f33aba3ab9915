//! Stand-ins for tests and the demo: the platform, upstreams, and a proxy that injects faults.
//!
//! - [`platform_api`]: objects with versions, conditional updates, watches, the VM list.
//! - [`upstream_server`]: an upstream with slots, cold start, shedding, drains and gray failures.
//! - [`fault_proxy`]: a proxy that delays, cuts, silences and truncates connections.

#[path = "proxy/mod.rs"]
pub mod fault_proxy;
#[path = "platform/mod.rs"]
pub mod platform_api;
#[path = "upstream/mod.rs"]
pub mod upstream_server;
