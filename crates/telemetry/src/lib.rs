//! Logs and metrics.
//!
//! - [`logs`]: short lines with a fixed prefix for each part, or JSON lines.
//! - [`metrics`]: instruments of a node and their text form for scrapers.

pub mod logs;
pub mod metrics;
