//! Logging and metrics.
//!
//! - [`logs`]: log lines as text or JSON, written to standard output.
//! - [`line_limit`]: rate limit on the log lines of each target.
//! - [`metrics`]: the instruments of a process and their Prometheus text format.
//! - [`workspaces`]: the instruments of workspaces, with a bounded number of labels.

pub mod line_limit;
pub mod logs;
pub mod metrics;
pub mod workspaces;
