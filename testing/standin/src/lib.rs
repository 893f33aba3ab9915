//! Stand-ins for tests and the demo: the platform, upstreams, and a proxy that injects faults.
//!
//! - [`platform_api`]: versioned objects, conditional writes, watches and the VM list.
//! - [`upstream_server`]: an upstream with slots, cold start, shedding, drains and gray failures.
//! - [`fault_proxy`]: a proxy that delays, drops, stalls, resets and truncates connections.

pub mod fault_proxy;
pub mod platform_api;
pub mod upstream_server;
