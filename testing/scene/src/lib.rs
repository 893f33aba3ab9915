//! A whole fleet on loopback: stand-ins, entry nodes and callers, for tests, the demo and the lab.
//!
//! - [`plan`]: what the fleet consists of.
//! - [`stage`]: starts it.
//! - [`client`]: a caller.

pub mod client;
pub mod plan;
pub mod stage;

pub use client::{CallerClient, ClientAnswer, ClientRequest};
pub use plan::{ScenePlan, ServicePlan};
pub use stage::{Scene, SceneUpstream};
