//! Decision logic of the fleet, without I/O or message encoding.
//!
//! Each part is a plain struct that is given an event and the current time and returns
//! what to do. The tasks that own the sockets call it.
//!
//! - [`access`]: which callers may send a request, and for which workspace.
//! - [`routing`]: which service handles a request.
//! - [`service`]: which upstream of a service handles a request.
//! - [`detection`]: which upstreams are failing, from pooled evidence.
//! - [`suspicion`]: which upstreams are in a short gray-failure episode, from signals
//!   shared between nodes.
//! - [`exchange`]: which response proves to belong to an exchange.
//! - [`ejection`]: which upstreams are taken out of service, within the capacity floor.
//! - [`retry`]: when another attempt may be made.
//! - [`limit`]: how many requests are admitted.
//! - [`memory`]: how much memory bodies may take.
//! - [`permit`]: the rate limits that upstreams name, and permits to send to such an upstream.
//! - [`quarantine`]: which requests crash the upstreams that run them.
//! - [`stop`]: which requests a stopping node still takes.
//! - [`claim`]: how a request with an idempotency key runs at most once.
//! - [`membership`]: which nodes are in the fleet, and their roles.
//! - [`office`]: how much of what a data centre has once a node may hand out.
//! - [`quota`]: how many requests of a workspace the whole fleet runs.
//! - [`replica`]: the snapshot of upstreams, its changes, and which removals to trust.
//! - [`rendezvous`]: which node does a shared job, by rendezvous hashing.
//! - [`invariant`]: run-time checks of invariants, with a count of the violations.

pub mod access;
pub mod claim;
pub mod detection;
pub mod ejection;
pub mod exchange;
pub mod invariant;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod office;
pub mod permit;
pub mod quarantine;
pub mod quota;
pub mod rendezvous;
pub mod replica;
pub mod retry;
pub mod routing;
pub mod service;
pub mod stop;
pub mod suspicion;
