//! A complete fleet on loopback in one process: stand-ins, entry nodes and callers, for tests,
//! the demo and the lab.
//!
//! - [`plan`]: descriptions of fleets.
//! - [`fleet`]: starts a fleet and changes it while it runs.
//! - [`client`]: an HTTP caller.

pub mod client;
pub mod fleet;
pub mod plan;

pub use client::{CallerClient, ClientRequest, ClientResponse};
pub use fleet::{Testbed, TestbedUpstream};
pub use plan::{ServicePlan, TestbedPlan};
