//! Log lines on standard output: time, level, target, message and key-value pairs.
//!
//! Logging never waits for the output: a thread writes the queued lines, and lines that do
//! not fit into the bounded queue are dropped and counted. The rate of lines per target is
//! limited; the number of suppressed lines is logged once a second.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource, VisitValue};
use model::clock;
use serde_json::{Map, json};

use crate::line_limit::LineLimiter;

/// Capacity of the queue of the writing thread, in lines.
const QUEUE_LINES_MAX: usize = 4_096;
/// How often suppressed lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long [`flush`] waits for the output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

model::text_enum! {
    /// Format of log lines.
    pub enum LogFormat {
        /// Plain text.
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }
}

model::text_enum! {
    /// Minimum severity of the lines that are written.
    pub enum LogLevel {
        /// Only errors.
        Error = "error",
        /// Warnings and errors.
        Warn = "warn",
        /// Changes of state, warnings and errors.
        Info = "info",
        /// Everything, including events of each connection.
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

enum LogCommand {
    Line(String),
    /// Replies once the lines before it are written.
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<LogCommand>> = OnceLock::new();
static NODE: OnceLock<String> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the process started, because the queue was full or the output failed.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Adds the node's name to every further JSON line, so that the lines of several nodes can
/// be merged.
pub fn set_node_name(node: &str) {
    // A process runs one node, so later calls have no effect.
    let _ = NODE.set(node.to_owned());
}

/// Sets up logging to standard output.
///
/// # Errors
/// When a logger is already set.
pub fn init(format: LogFormat, level: LogLevel) -> Result<(), log::SetLoggerError> {
    let clock = clock::WallClock::start();
    let limiter = Arc::new(LineLimiter::default());
    let filter_limiter = Arc::clone(&limiter);
    let (queue, inbox) = mpsc::sync_channel(QUEUE_LINES_MAX);
    let line_queue = queue.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(format, &clock, message, record)
            ));
        })
        .level(level.into())
        .filter(move |metadata| {
            // A target with `::` is a module path, the default for lines of libraries, which
            // are not written.
            !metadata.target().contains("::") && filter_limiter.admit(metadata.target())
        })
        .chain(fern::Output::call(move |record| {
            enqueue(&line_queue, LogCommand::Line(record.args().to_string()));
        }))
        .apply()?;
    let _ = QUEUE.set(queue);
    thread::spawn(move || write_lines(format, &clock, &limiter, &inbox));
    Ok(())
}

/// Waits until all queued lines are written, at most for `FLUSH_TIMEOUT`.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(LogCommand::Flush(done)).is_ok() {
        // If the output is blocked, the process exits without the remaining lines.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(queue: &SyncSender<LogCommand>, command: LogCommand) {
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = queue.try_send(command) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines until all senders are dropped.
fn write_lines(
    format: LogFormat,
    clock: &clock::WallClock,
    limiter: &LineLimiter,
    inbox: &mpsc::Receiver<LogCommand>,
) {
    let mut output = io::stdout();
    loop {
        match inbox.recv_timeout(REPORT_INTERVAL) {
            Ok(LogCommand::Line(line)) => write_line(&mut output, &line),
            Ok(LogCommand::Flush(done)) => {
                let _ = done.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for (target, count) in limiter.take_suppressed(REPORT_INTERVAL) {
            let message = format!("{count} lines of part {target} were left out.");
            let record = log::Record::builder()
                .level(log::Level::Warn)
                .target("log")
                .build();
            write_line(
                &mut output,
                &format_line(format, clock, &format_args!("{message}"), &record),
            );
        }
    }
}

fn write_line(output: &mut io::Stdout, line: &str) {
    let result = output
        .write_all(line.as_bytes())
        .and_then(|()| output.write_all(b"\n"))
        .and_then(|()| output.flush());
    if result.is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn timestamp(clock: &clock::WallClock) -> humantime::Rfc3339Timestamp {
    let since_epoch = Duration::from_millis(clock.now().get());
    humantime::format_rfc3339_millis(UNIX_EPOCH + since_epoch)
}

/// Finds out whether a value is `None`.
struct NullCheck(bool);

impl VisitValue<'_> for NullCheck {
    fn visit_any(&mut self, _: Value<'_>) -> Result<(), kv::Error> {
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = true;
        Ok(())
    }
}

/// Collects the key-value pairs of a log record as JSON. A pair without a value is left out.
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut check = NullCheck(false);
        value.visit(&mut check)?;
        if check.0 {
            return Ok(());
        }
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn format_line(
    format: LogFormat,
    clock: &clock::WallClock,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) -> String {
    let mut fields = FieldVisitor(Map::new());
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("facts_error".to_owned(), json!(error.to_string()));
    }
    let time = timestamp(clock);
    let (level, target) = (record.level(), record.target());
    match format {
        LogFormat::Text => {
            let fields: Vec<_> = fields
                .0
                .iter()
                .map(|(name, value)| format!(" {name}={value}"))
                .collect();
            format!("{time} {level:5} {target}: {message}{}", fields.concat())
        }
        LogFormat::Json => {
            let mut line = Map::new();
            line.insert("time".to_owned(), json!(time.to_string()));
            line.insert("level".to_owned(), json!(level.as_str()));
            line.insert("part".to_owned(), json!(target));
            line.insert("message".to_owned(), json!(message.to_string()));
            if let Some(node) = NODE.get() {
                line.insert("node".to_owned(), json!(node));
            }
            line.extend(fields.0);
            serde_json::Value::Object(line).to_string()
        }
    }
}
