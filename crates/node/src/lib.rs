//! Communication between the nodes of the fleet, and the state that they share.
//!
//! A fleet keeps its configuration in one of two ways. [`FleetHandle`] runs a node whose
//! configuration is stored as chunks on the platform, with [`follow`], [`collector`] and
//! [`claims`]. [`replica::ReplicaFleet`] runs a node that has copies of the route and
//! upstream snapshots of a [`replica::FleetSource`].
//!
//! - [`wire`]: messages between nodes and their encoding.
//! - [`keys`]: the fleet's certificate authority and the node certificates.
//! - [`link`]: connections to other nodes.
//! - [`limits`]: rate limits that upstreams name, and permits to send within them.
//! - [`crashes`]: crashes of upstreams and trials of the requests that cause them.
//! - [`members`]: the members of the fleet.
//! - [`collector`]: sums the evidence and derives verdicts and ejections from it.
//! - [`follow`]: the configuration in force, from the platform or other nodes.
//! - [`replica`]: snapshots of routes and upstreams, from a source or other nodes.
//! - [`claims`]: idempotency keys claimed through the batcher of their shard.
//! - [`fleet`]: starts the parts that a node needs in a fleet configured by chunks.

pub mod claims;
pub mod collector;
pub mod crashes;
pub mod fleet;
pub mod follow;
mod holder_clock;
pub mod keys;
pub mod limits;
pub mod link;
pub mod members;
mod office;
pub mod replica;
pub mod wire;

pub use fleet::{FleetHandle, FleetSettings};
