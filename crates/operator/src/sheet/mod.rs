//! The capacity planners' sheet: a CSV file as spreadsheets export it, separated by commas or
//! semicolons.
//!
//! Each row defines one item, whose type is in the column `kind`: a `service`, an
//! `upstream`, a `route`, a `rule` or a `floor`. Rows and columns may be in any order.
//! A `rule` row overrides the value in the row of its route, a `floor` row the one in the row
//! of its service.
//!
//! | kind | name | service | other columns |
//! | --- | --- | --- | --- |
//! | `service` | the service | | `profile`, `floor`, `deadline`, `queue`, `workspace-limit`, `shed-is-not-run`, `key-retention`, `probe-path` |
//! | `upstream` | the upstream | its service | `address`, `data-centre`, `slots`, `state` |
//! | `route` | the route | its service | `host`, `prefix`, `methods`, `repeat` |
//! | `rule` | the route | | `repeat` |
//! | `floor` | the service | | `floor` |

mod parse;
mod row;

pub use parse::{Sheet, parse};
pub use row::SheetFault;
