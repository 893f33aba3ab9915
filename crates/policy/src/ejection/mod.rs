//! Ejection: taking upstreams out of service for the whole fleet, never under the floor.
//!
//! Each service has one record in the platform. Everything that takes healthy
//! capacity away goes through a conditional update of that record, so the floor
//! is checked against all of it at once.

mod plan;
mod record;

pub use plan::{EjectionPlan, PlanInput};
pub use record::{Ejection, EjectionRecord};
