//! The upstreams' side: connections, attempts, retries, probes.
//!
//! - [`wire`]: headers that upstreams and the fleet exchange.
//! - [`pool`]: a task for each upstream that keeps its idle connections.
//! - [`service`]: a task for each service that owns its balancer.
//! - [`attempt`]: one attempt at one upstream.
//! - [`dispatch`]: a whole request, with retries, hedges and resumed bodies.
//! - [`probe`]: probes of upstreams.

pub mod attempt;
pub mod dispatch;
pub mod pool;
pub mod probe;
pub mod service;
pub mod wire;
