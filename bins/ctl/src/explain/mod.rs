//! Tells a request's story from the logs of many nodes.
//!
//! - `line`: one log line.
//! - `story`: which lines belong to the story, and what follows from them.

mod line;
mod story;

pub(crate) use line::LogLine;
pub(crate) use story::RequestStory;
