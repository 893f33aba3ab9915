//! Administration of the fleet: configuration changes, the sheet, the audit trail, tokens
//! and the administration API.
//!
//! - [`change`]: steps that change the configuration, validation and differences.
//! - [`commit`]: plans and commits changes.
//! - [`audit`]: reads the trail of accepted changes.
//! - [`sheet`]: parses the capacity planners' sheet.
//! - [`tokens`]: operators' tokens and roles.
//! - [`api`]: the administration API over HTTP.

pub mod api;
pub mod audit;
pub mod change;
pub mod commit;
pub mod sheet;
pub mod tokens;
