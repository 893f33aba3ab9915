//! The operators: changes of configuration, the sheet, the administration API, the audit trail.
//!
//! - [`change`]: what may be changed, checked against the whole configuration.
//! - [`commit`]: makes a change accepted, or tells why it is not.
//! - [`audit`]: reads the trail of accepted changes.
//! - [`sheet`]: the planners' sheet and the plan that it leads to.
//! - [`tokens`]: who may do what.
//! - [`api`]: the administration API.

pub mod api;
pub mod audit;
pub mod change;
pub mod commit;
pub mod sheet;
pub mod tokens;
