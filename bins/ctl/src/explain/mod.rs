//! Explains what happened to a request, from the logs of many nodes.
//!
//! - `line`: one log line.
//! - `timeline`: the lines that concern a request, and the conclusions drawn from them.

mod line;
mod timeline;

pub(crate) use line::LogLine;
pub(crate) use timeline::RequestTimeline;
