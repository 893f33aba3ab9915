//! Explains what happened to a request or to those of a workspace, from the logs of many nodes.
//!
//! - `line`: one log line.
//! - `timeline`: the lines that concern a request, and the conclusions drawn from them.
//! - `workspace`: how the requests of a workspace ended, and when its quota rejected them.

mod line;
mod timeline;
mod workspace;

pub(crate) use line::LogLine;
pub(crate) use timeline::RequestTimeline;
pub(crate) use workspace::{EndCounts, WorkspaceReport, format_time};
