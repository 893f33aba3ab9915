//! A log line of a node.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

/// A decoded log line.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// When the line was written, by the node's clock.
    pub(crate) time: SystemTime,
    /// The log target: the component that wrote the line.
    pub(crate) target: String,
    /// The message text.
    pub(crate) message: String,
    /// All other fields of the line, except its level.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Decodes a line in the JSON format. A prefix that a log collector added is skipped.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(&text[start..]).ok()? else {
            return None;
        };
        let mut remove_text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let time = humantime::parse_rfc3339(&remove_text("time")?).ok()?;
        let (target, message) = (remove_text("part")?, remove_text("message")?);
        fields.remove("level");
        Some(Self {
            time,
            target,
            message,
            fields,
        })
    }

    /// The value of a field, if it is text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The value of a field, if it is an unsigned integer.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// When the request or attempt whose end the line reports started.
    pub(crate) fn started_at(&self) -> SystemTime {
        let age = Duration::from_millis(self.number("age_ms").unwrap_or(0));
        self.time.checked_sub(age).unwrap_or(UNIX_EPOCH)
    }

    /// Formats the line as text, with its time in milliseconds relative to `start`.
    pub(crate) fn format_relative_to(&self, start: SystemTime) -> String {
        let offset = match self.time.duration_since(start) {
            Ok(after) => format!("+{}", after.as_millis()),
            Err(before) => format!("-{}", before.duration().as_millis()),
        };
        let node = self.text("node").unwrap_or("?");
        let fields = self.fields.iter().filter(|(name, _)| *name != "node");
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let fields: String = fields.collect();
        let Self {
            target, message, ..
        } = self;
        format!("{offset:>7} ms  {node}  {target}: {message}{fields}")
    }
}
