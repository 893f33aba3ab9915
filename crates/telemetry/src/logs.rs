//! Log lines: time, level, part and a short sentence.

use std::io;
use std::time::{Duration, UNIX_EPOCH};

use model::clock;
use serde_json::json;

model::choice! {
    /// How log lines are written.
    pub enum LogFormat {
        /// Plain text.
        Text = "text",
        /// One JSON object a line.
        Json = "json",
    }
}

model::choice! {
    /// The least important lines that are written.
    pub enum LogLevel {
        /// Only errors.
        Error = "error",
        /// Warnings and errors.
        Warn = "warn",
        /// What changes.
        Info = "info",
        /// What happens to each connection.
        Debug = "debug",
    }
}

impl From<LogLevel> for log::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

/// Starts logging to standard error.
///
/// # Errors
/// When a logger is set already.
pub fn start(format: LogFormat, level: LogLevel) -> Result<(), log::SetLoggerError> {
    let clock = clock::WallClock::start();
    fern::Dispatch::new()
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!(
                "{} {:5} {}: {message}",
                timestamp(&clock),
                record.level(),
                record.target()
            )),
            LogFormat::Json => out.finish(format_args!(
                "{}",
                json_line(&clock, &message.to_string(), record)
            )),
        })
        .level(level.into())
        .filter(|metadata| !metadata.target().contains("::"))
        .chain(io::stderr())
        .apply()
}

fn timestamp(clock: &clock::WallClock) -> humantime::Rfc3339Timestamp {
    let since = Duration::from_millis(clock.now().get());
    humantime::format_rfc3339_millis(UNIX_EPOCH + since)
}

fn json_line(
    clock: &clock::WallClock,
    message: &str,
    record: &log::Record<'_>,
) -> serde_json::Value {
    json!({
        "time": timestamp(clock).to_string(),
        "level": record.level().as_str(),
        "part": record.target(),
        "message": message,
    })
}
