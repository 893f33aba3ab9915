//! One log line of a node.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

/// A log line, read.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// When it was written, by the node's clock.
    pub(crate) time: SystemTime,
    /// The part of the program that wrote it.
    pub(crate) part: String,
    /// The sentence.
    pub(crate) message: String,
    /// Every other field.
    pub(crate) facts: Map<String, Value>,
}

impl LogLine {
    /// Reads a line in the JSON form; whatever a collector put before it is skipped.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut facts) = serde_json::from_str(&text[start..]).ok()? else {
            return None;
        };
        let mut take = |name: &str| match facts.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let time = humantime::parse_rfc3339(&take("time")?).ok()?;
        let (part, message) = (take("part")?, take("message")?);
        facts.remove("level");
        Some(Self {
            time,
            part,
            message,
            facts,
        })
    }

    /// A fact that is text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.facts.get(name)?.as_str()
    }

    /// A fact that is a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.facts.get(name)?.as_u64()
    }

    /// When that began whose end the line tells.
    pub(crate) fn began(&self) -> SystemTime {
        let age = Duration::from_millis(self.number("age_ms").unwrap_or(0));
        self.time.checked_sub(age).unwrap_or(UNIX_EPOCH)
    }

    /// The line for people, with its time as milliseconds from a start.
    pub(crate) fn show(&self, start: SystemTime) -> String {
        let offset = match self.time.duration_since(start) {
            Ok(after) => format!("+{}", after.as_millis()),
            Err(before) => format!("-{}", before.duration().as_millis()),
        };
        let node = self.text("node").unwrap_or("?");
        let facts = self.facts.iter().filter(|(name, _)| *name != "node");
        let facts = facts.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let facts: String = facts.collect();
        let Self { part, message, .. } = self;
        format!("{offset:>7} ms  {node}  {part}: {message}{facts}")
    }
}
