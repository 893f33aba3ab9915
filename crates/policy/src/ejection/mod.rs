//! Ejection: taking upstreams out of service for the whole fleet, never below the
//! capacity floor of their service.
//!
//! Each service has one ejection record, stored in the platform. Every removal of
//! healthy capacity is a conditional update of that record, so the floor is checked
//! against all removals together.

mod plan;
mod record;

pub use plan::{EjectionPlan, PlanInput};
pub use record::{Ejection, EjectionRecord};
