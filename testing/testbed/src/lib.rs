//! A whole fleet on loopback: stand-ins, entry nodes and callers, for tests, the demo and the lab.
//!
//! - [`plan`]: what the fleet consists of.
//! - [`fleet`]: starts it.
//! - [`client`]: a caller.

pub mod client;
pub mod fleet;
pub mod plan;

pub use client::{CallerClient, ClientAnswer, ClientRequest};
pub use fleet::{Testbed, TestbedUpstream};
pub use plan::{ServicePlan, TestbedPlan};
