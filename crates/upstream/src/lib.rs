//! The side of the proxy that faces the upstreams: connections, attempts, retries and
//! probes.
//!
//! - [`wire`]: headers that the fleet and its upstreams exchange.
//! - [`pool`]: one task per upstream, which keeps its idle connections.
//! - [`service`]: one task per service, which owns its balancer.
//! - [`attempt`]: one attempt at one upstream.
//! - [`dispatch`]: one request, with retries, hedges and resumed downloads.
//! - [`crash`]: requests that crash the upstreams which run them.
//! - [`memory`]: the memory that bodies take.
//! - [`probe`]: periodic checks that an upstream can be reached.

pub mod attempt;
mod buffer;
pub mod crash;
pub mod dispatch;
pub mod memory;
pub mod pool;
pub mod probe;
pub mod service;
pub mod wire;
