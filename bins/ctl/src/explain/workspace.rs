//! What happened to the requests of a workspace at many nodes, and the conclusion from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use super::line::LogLine;

/// Error kind of requests that a quota rejects.
const QUOTA_KIND: &str = "quota-exceeded";
/// The parts whose lines are counted.
const COUNTED_PARTS: [&str; 3] = ["answer", "failure", "quota"];
/// Nodes report lines that they left out up to this much later.
const LEFT_OUT_DELAY: Duration = Duration::from_secs(2);

/// How requests ended.
#[derive(Debug, Default, Clone)]
pub(crate) struct EndCounts {
    /// Requests with a response of an upstream.
    pub(crate) answered: u64,
    /// Requests that may have run, without a response.
    pub(crate) failed: u64,
    /// Requests that certainly did not run.
    pub(crate) rejected: u64,
    /// Responses of upstreams by status.
    pub(crate) statuses: BTreeMap<u64, u64>,
    /// Failed requests by error kind.
    pub(crate) failures: BTreeMap<String, u64>,
    /// Rejected requests by error kind.
    pub(crate) rejections: BTreeMap<String, u64>,
}

impl EndCounts {
    /// All requests.
    pub(crate) fn total(&self) -> u64 {
        self.answered + self.failed + self.rejected
    }

    /// Counts the request whose end a line reports.
    fn count(&mut self, line: &LogLine) {
        if line.target == "answer" {
            self.answered += 1;
            let status = line.number("status").unwrap_or(0);
            *self.statuses.entry(status).or_default() += 1;
            return;
        }
        let kind = line.text("kind").unwrap_or("unknown-kind").to_owned();
        if line.text("outcome") == Some("unknown") {
            self.failed += 1;
            *self.failures.entry(kind).or_default() += 1;
        } else {
            self.rejected += 1;
            *self.rejections.entry(kind).or_default() += 1;
        }
    }

    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.rejected += other.rejected;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        for (kind, count) in &other.failures {
            *self.failures.entry(kind.clone()).or_default() += count;
        }
        for (kind, count) in &other.rejections {
            *self.rejections.entry(kind.clone()).or_default() += count;
        }
    }
}

/// A time in which a node rejected requests of the workspace by its quota.
#[derive(Debug)]
pub(crate) struct RefusalPeriod {
    pub(crate) node: String,
    /// The first rejection; `None` if it is before the log.
    pub(crate) from: Option<SystemTime>,
    /// When the node noted that the rejections had ended, some 5 s after the last one; `None`
    /// if they go on or the node stopped.
    pub(crate) until: Option<SystemTime>,
    /// Requests rejected, once the period has ended.
    pub(crate) refused: Option<u64>,
}

/// What the log lines tell of a workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceReport {
    pub(crate) workspace: String,
    /// Time of the first and of the last line that names the workspace.
    pub(crate) span: (SystemTime, SystemTime),
    /// How its requests ended, by node.
    pub(crate) nodes: BTreeMap<String, EndCounts>,
    /// When nodes rejected its requests by its quota.
    pub(crate) periods: Vec<RefusalPeriod>,
    /// Time of the first and of the last line about a rejection by the quota.
    pub(crate) refused_span: Option<(SystemTime, SystemTime)>,
    /// Nodes that rejected requests by the quota while they were detached.
    pub(crate) detached: BTreeSet<String>,
    /// Lines, of any workspace, that nodes left out in this time.
    pub(crate) left_out: u64,
}

impl WorkspaceReport {
    /// Collects what the lines tell of a workspace; `None` if no line names it.
    pub(crate) fn build(workspace: &str, lines: &[LogLine]) -> Option<Self> {
        let mut sorted: Vec<&LogLine> = lines.iter().collect();
        sorted.sort_by_key(|line| line.time);
        let names_workspace = |line: &&&LogLine| {
            COUNTED_PARTS.contains(&line.target.as_str())
                && line.text("workspace") == Some(workspace)
        };
        let first = sorted.iter().find(names_workspace)?.time;
        let last = sorted.iter().rev().find(names_workspace)?.time;
        let mut report = Self {
            workspace: workspace.to_owned(),
            span: (first, last),
            nodes: BTreeMap::new(),
            periods: Vec::new(),
            refused_span: None,
            detached: BTreeSet::new(),
            left_out: 0,
        };
        let mut detached = BTreeSet::new();
        for line in sorted {
            let node = line.text("node").unwrap_or("?");
            if names_workspace(&&line) {
                report.add(node, line, detached.contains(node));
            } else if line.target == "quota" && line.message.contains("is detached") {
                detached.insert(node);
            } else if line.target == "quota" && line.message.contains("is attached") {
                detached.remove(node);
            } else if (first..=last + LEFT_OUT_DELAY).contains(&line.time) {
                report.left_out += left_out(line);
            }
        }
        Some(report)
    }

    /// Adds a line that names the workspace.
    fn add(&mut self, node: &str, line: &LogLine, is_detached: bool) {
        if line.target == "quota" {
            self.add_quota_line(node, line);
        } else {
            self.nodes.entry(node.to_owned()).or_default().count(line);
        }
        let is_refusal = line.text("kind") == Some(QUOTA_KIND)
            || (line.target == "quota" && line.number("refused").is_none());
        if is_refusal {
            let span = self.refused_span.get_or_insert((line.time, line.time));
            span.1 = line.time;
            if is_detached {
                self.detached.insert(node.to_owned());
            }
        }
    }

    /// Adds the start of a period, or its end, which states the number of rejected requests.
    fn add_quota_line(&mut self, node: &str, line: &LogLine) {
        let Some(refused) = line.number("refused") else {
            self.periods.push(RefusalPeriod {
                node: node.to_owned(),
                from: Some(line.time),
                until: None,
                refused: None,
            });
            return;
        };
        let mut periods = self.periods.iter_mut().rev();
        let newest = periods.find(|period| period.node == node);
        match newest.filter(|period| period.until.is_none()) {
            Some(period) => {
                period.until = Some(line.time);
                period.refused = Some(refused);
            }
            None => self.periods.push(RefusalPeriod {
                node: node.to_owned(),
                from: None,
                until: Some(line.time),
                refused: Some(refused),
            }),
        }
    }

    /// How the requests ended at all nodes together.
    pub(crate) fn total(&self) -> EndCounts {
        let mut total = EndCounts::default();
        for counts in self.nodes.values() {
            total.add(counts);
        }
        total
    }

    /// The conclusion, as a sentence.
    pub(crate) fn conclusion(&self) -> String {
        let total = self.total();
        let workspace = &self.workspace;
        let quota = match self.refused_span {
            Some((first, last)) => {
                let (first, last) = (format_time(first), format_time(last));
                format!("rejected requests from {first} to {last}")
            }
            None if self.periods.is_empty() => "rejected none".to_owned(),
            None => "rejected requests before these lines".to_owned(),
        };
        format!(
            "Of {} requests of {workspace}, {} were answered, {} failed{} and {} were rejected{}; \
             its quota {quota}.",
            total.total(),
            total.answered,
            total.failed,
            most_frequent(&total.failures),
            total.rejected,
            most_frequent(&total.rejections),
        )
    }

    /// What makes the conclusion uncertain, as sentences.
    pub(crate) fn caveats(&self) -> Vec<String> {
        let mut sentences = Vec::new();
        if !self.detached.is_empty() {
            let nodes: Vec<_> = self.detached.iter().map(String::as_str).collect();
            sentences.push(format!(
                "Requests within the quota may have been rejected at nodes that were detached: {}.",
                nodes.join(", ")
            ));
        }
        if self.left_out > 0 {
            sentences.push(format!(
                "Nodes left out {} lines of the parts answer, failure and quota: the counts are lower bounds.",
                self.left_out
            ));
        }
        sentences
    }
}

/// A time as it stands in log lines.
pub(crate) fn format_time(time: SystemTime) -> String {
    humantime::format_rfc3339_millis(time).to_string()
}

/// The most frequent kind, as an insertion after a number.
fn most_frequent(kinds: &BTreeMap<String, u64>) -> String {
    let most = kinds.iter().max_by_key(|(_, count)| **count);
    most.map_or_else(String::new, |(kind, count)| {
        let mostly = if kinds.len() > 1 { "mostly " } else { "" };
        format!(" ({mostly}{kind}: {count})")
    })
}

/// How many lines of the counted parts a node says it left out.
fn left_out(line: &LogLine) -> u64 {
    if line.target != "log" {
        return 0;
    }
    let Some((count, rest)) = line.message.split_once(" lines of part ") else {
        return 0;
    };
    let part = rest.split_whitespace().next().unwrap_or_default();
    if COUNTED_PARTS.contains(&part) {
        count.parse().unwrap_or(0)
    } else {
        0
    }
}
