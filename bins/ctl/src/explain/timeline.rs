//! The log lines that concern a request, and the conclusions drawn from them.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use super::line::LogLine;

/// How long before a request a change of suspicion still matters: suspicion decays with a
/// time constant of about 6 s, and a gray-failure episode lasts about 9 s.
const SUSPICION_WINDOW: Duration = Duration::from_secs(15);
/// Maximum number of lines about a node's snapshots that are shown from before the request.
const SNAPSHOT_LINES_MAX: usize = 6;

/// The log lines that concern one request.
#[derive(Debug)]
pub(crate) struct RequestTimeline {
    /// When the first node received the request.
    pub(crate) start: SystemTime,
    /// The lines of the request and those about upstreams and snapshots, in time order.
    pub(crate) lines: Vec<LogLine>,
    /// The lines that name the request.
    request_lines: Vec<LogLine>,
}

impl RequestTimeline {
    /// Selects the lines that concern a request; `None` if no line names it.
    pub(crate) fn build(request: &str, lines: &[LogLine]) -> Option<Self> {
        let names_request = |line: &&LogLine| line.text("request") == Some(request);
        let mut request_lines: Vec<LogLine> = lines.iter().filter(names_request).cloned().collect();
        request_lines.sort_by_key(|line| line.time);
        let start = request_lines.iter().map(LogLine::started_at).min()?;
        let end = request_lines.last()?.time;
        let mut selected = request_lines.clone();
        selected.extend(upstream_lines(&request_lines, lines, start, end));
        selected.extend(snapshot_lines(&request_lines, lines, start));
        selected.sort_by_key(|line| line.time);
        Some(Self {
            start,
            lines: selected,
            request_lines,
        })
    }

    /// Conclusions as sentences: one for each attempt and one for the result. They are part
    /// of the JSON output.
    pub(crate) fn conclusions(&self) -> Vec<String> {
        let mut sentences = Vec::new();
        let attempts = self
            .request_lines
            .iter()
            .filter(|line| line.target == "attempt");
        for attempt in attempts {
            let upstream = attempt.text("upstream").unwrap_or("?");
            let started_at = attempt.started_at();
            let suspicion = self
                .suspicion_before(upstream, started_at)
                .unwrap_or("nothing was known");
            let result = attempt.message.trim_end_matches('.');
            let is_trial = attempt.fields.get("trial") == Some(&serde_json::Value::Bool(true));
            let trial = if is_trial { ", as a trial" } else { "" };
            sentences.push(format!(
                "Sent to {upstream}{trial}; {suspicion} against it then. {result}."
            ));
        }
        let end = self
            .request_lines
            .iter()
            .rev()
            .find(|line| line.target == "failure" || line.target == "answer");
        sentences.push(match end {
            None => {
                "No log line reports how the request ended; its node may have stopped.".to_owned()
            }
            Some(end) if end.target == "answer" => {
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

    /// The suspicion that the last line before a moment reports for an upstream, as a clause
    /// of a conclusion.
    fn suspicion_before(&self, upstream: &str, before: SystemTime) -> Option<&'static str> {
        let last_report = self.lines.iter().rev().find(|line| {
            line.target == "suspicion"
                && line.text("upstream") == Some(upstream)
                && line.time <= before
        })?;
        Some(if last_report.message.contains("avoided") {
            "there was suspicion"
        } else {
            "there was no longer any suspicion"
        })
    }
}

/// Lines about the upstreams that the request was sent to, such as changes of suspicion.
fn upstream_lines(
    request_lines: &[LogLine],
    lines: &[LogLine],
    start: SystemTime,
    end: SystemTime,
) -> Vec<LogLine> {
    let upstreams: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.text("upstream"))
        .collect();
    let since = start.checked_sub(SUSPICION_WINDOW).unwrap_or(start);
    let related = lines.iter().filter(|line| {
        line.text("request").is_none()
            && line
                .text("upstream")
                .is_some_and(|id| upstreams.contains(id))
            && (since..=end).contains(&line.time)
    });
    related.cloned().collect()
}

/// Lines that may explain a request that failed without an attempt: the last lines about
/// the snapshots of the node that reported the failure, and the first line of any node that
/// reports a newer configuration in force.
fn snapshot_lines(request_lines: &[LogLine], lines: &[LogLine], start: SystemTime) -> Vec<LogLine> {
    let Some(failure) = request_lines
        .iter()
        .rev()
        .find(|line| line.target == "failure")
    else {
        return Vec::new();
    };
    if request_lines.iter().any(|line| line.target == "attempt") {
        return Vec::new();
    }
    let node = failure.text("node");
    let targets = ["replica", "relay", "members", "gateway"];
    let mut related: Vec<LogLine> = lines
        .iter()
        .filter(|line| {
            targets.contains(&line.target.as_str())
                && line.text("node") == node
                && line.time <= start
        })
        .cloned()
        .collect();
    related.sort_by_key(|line| line.time);
    related.drain(..related.len().saturating_sub(SNAPSHOT_LINES_MAX));
    let generation = failure.number("generation");
    let newer = lines.iter().filter(|line| {
        line.target == "replica" && line.time <= start && line.number("generation") > generation
    });
    related.extend(newer.min_by_key(|line| line.time).cloned());
    related
}
