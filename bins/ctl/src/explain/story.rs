//! Which lines belong to a request's story, and what follows from them.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use super::line::LogLine;

/// How far back a belief about an upstream matters: suspicion fades in some six
/// seconds, and a spell lasts about nine.
const BELIEF_SPAN: Duration = Duration::from_secs(15);
/// Lines of a node about its books that are shown from before the request.
const BOOK_LINES: usize = 6;

/// What the logs say about one request.
#[derive(Debug)]
pub(crate) struct RequestStory {
    /// When the first node took it.
    pub(crate) start: SystemTime,
    /// Its own lines, and those about what the nodes believed, in time order.
    pub(crate) lines: Vec<LogLine>,
    own: Vec<LogLine>,
}

impl RequestStory {
    /// Picks a request's story out of the lines of many nodes; none when no line names it.
    pub(crate) fn find(request: &str, lines: &[LogLine]) -> Option<Self> {
        let names = |line: &&LogLine| line.text("request") == Some(request);
        let mut own: Vec<LogLine> = lines.iter().filter(names).cloned().collect();
        own.sort_by_key(|line| line.time);
        let start = own.iter().map(LogLine::began).min()?;
        let end = own.last()?.time;
        let mut story = own.clone();
        story.extend(beliefs(&own, lines, start, end));
        story.extend(books(&own, lines, start));
        story.sort_by_key(|line| line.time);
        Some(Self {
            start,
            lines: story,
            own,
        })
    }

    /// What follows from the lines, in a few sentences.
    pub(crate) fn conclude(&self) -> Vec<String> {
        let mut sentences = Vec::new();
        let attempts = self.own.iter().filter(|line| line.part == "attempt");
        for attempt in attempts {
            let upstream = attempt.text("upstream").unwrap_or("?");
            let began = attempt.began();
            let belief = self.belief(upstream, began).unwrap_or("nothing was known");
            let how = attempt.message.trim_end_matches('.');
            let trial = attempt.facts.get("trial") == Some(&serde_json::Value::Bool(true));
            let trial = if trial { ", as a trial" } else { "" };
            sentences.push(format!(
                "Sent to {upstream}{trial}; {belief} against it then. {how}."
            ));
        }
        let end = self
            .own
            .iter()
            .rev()
            .find(|line| line.part == "failure" || line.part == "answer");
        sentences.push(match end {
            None => "No line tells how it ended; its node may have stopped.".to_owned(),
            Some(end) if end.part == "answer" => {
                let status = end.number("status").unwrap_or(0);
                format!("Answered with {status}.")
            }
            Some(end) => {
                let kind = end.text("kind").unwrap_or("no-route");
                let outcome = end.text("outcome").unwrap_or("not-run");
                format!("Failed: {kind}; outcome: {outcome}.")
            }
        });
        sentences
    }

    /// What was last said of an upstream before a moment.
    fn belief(&self, upstream: &str, before: SystemTime) -> Option<&'static str> {
        let said = self.lines.iter().rev().find(|line| {
            line.part == "suspicion"
                && line.text("upstream") == Some(upstream)
                && line.time <= before
        })?;
        Some(if said.message.contains("avoided") {
            "there was suspicion"
        } else {
            "suspicion had ended, so nothing spoke"
        })
    }
}

/// Changes of belief about the upstreams that the request met.
fn beliefs(own: &[LogLine], lines: &[LogLine], start: SystemTime, end: SystemTime) -> Vec<LogLine> {
    let met: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.text("upstream"))
        .collect();
    let since = start.checked_sub(BELIEF_SPAN).unwrap_or(start);
    let about = lines.iter().filter(|line| {
        line.text("request").is_none()
            && line.text("upstream").is_some_and(|id| met.contains(id))
            && (since..=end).contains(&line.time)
    });
    about.cloned().collect()
}

/// What the nodes that served it last said about their books before it. For a
/// request without a route also where a newer configuration was in force first.
fn books(own: &[LogLine], lines: &[LogLine], start: SystemTime) -> Vec<LogLine> {
    let Some(failure) = own.iter().rev().find(|line| line.part == "failure") else {
        return Vec::new();
    };
    if own.iter().any(|line| line.part == "attempt") {
        return Vec::new();
    }
    let node = failure.text("node");
    let parts = ["replica", "relay", "members", "gateway"];
    let mut about: Vec<LogLine> = lines
        .iter()
        .filter(|line| {
            parts.contains(&line.part.as_str()) && line.text("node") == node && line.time <= start
        })
        .cloned()
        .collect();
    about.sort_by_key(|line| line.time);
    about.drain(..about.len().saturating_sub(BOOK_LINES));
    let in_force = failure.number("generation");
    let newer = lines.iter().filter(|line| {
        line.part == "replica" && line.time <= start && line.number("generation") > in_force
    });
    about.extend(newer.min_by_key(|line| line.time).cloned());
    about
}
