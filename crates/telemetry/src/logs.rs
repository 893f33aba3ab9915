//! Log lines on standard output: time, level, part, a short sentence, and its facts.
//!
//! A line never holds its writer up: lines wait in a bounded queue for a thread
//! that writes them, and what does not fit is counted. Each part may write so
//! many lines a second; the rest are counted and told once a second.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use model::clock;
use serde_json::{Map, json};

use crate::line_limit::LineLimiter;

/// Lines that wait to be written; further ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;
/// How often the thread tells of lines that were left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a stopping process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

model::text_enum! {
    /// How log lines are written.
    pub enum LogFormat {
        /// Plain text.
        Text = "text",
        /// One JSON object a line.
        Json = "json",
    }
}

model::text_enum! {
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

enum LogCommand {
    Line(String),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<LogCommand>> = OnceLock::new();
static NODE: OnceLock<String> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the process started, because the output was slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Names the node in every further line, so that lines of many nodes can be read together.
pub fn set_node_name(node: &str) {
    // The first name stays: a process is one node.
    let _ = NODE.set(node.to_owned());
}

/// Starts logging to standard output.
///
/// # Errors
/// When a logger is set already.
pub fn init(format: LogFormat, level: LogLevel) -> Result<(), log::SetLoggerError> {
    let clock = clock::WallClock::start();
    let limiter = Arc::new(LineLimiter::default());
    let admission = Arc::clone(&limiter);
    let (queue, inbox) = mpsc::sync_channel(QUEUE_LINES);
    let lines = queue.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                write_line(format, &clock, message, record)
            ));
        })
        .level(level.into())
        .filter(move |metadata| {
            !metadata.target().contains("::") && admission.admit(metadata.target())
        })
        .chain(fern::Output::call(move |record| {
            enqueue(&lines, LogCommand::Line(record.args().to_string()));
        }))
        .apply()?;
    let _ = QUEUE.set(queue);
    thread::spawn(move || run(format, &clock, &limiter, &inbox));
    Ok(())
}

/// Waits until the lines so far are written, a short time at most.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(LogCommand::Flush(done)).is_ok() {
        // Without an answer in time, the output is stuck and the process ends all the same.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(queue: &SyncSender<LogCommand>, command: LogCommand) {
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = queue.try_send(command) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines until every sender is gone.
fn run(
    format: LogFormat,
    clock: &clock::WallClock,
    limiter: &LineLimiter,
    inbox: &mpsc::Receiver<LogCommand>,
) {
    let mut output = io::stdout();
    loop {
        match inbox.recv_timeout(REPORT_INTERVAL) {
            Ok(LogCommand::Line(line)) => write_out(&mut output, &line),
            Ok(LogCommand::Flush(done)) => {
                let _ = done.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for (part, count) in limiter.take_left_out(REPORT_INTERVAL) {
            let message = format!("{count} lines of part {part} were left out.");
            let record = log::Record::builder()
                .level(log::Level::Warn)
                .target("log")
                .build();
            write_out(
                &mut output,
                &write_line(format, clock, &format_args!("{message}"), &record),
            );
        }
    }
}

fn write_out(output: &mut io::Stdout, line: &str) {
    let written = output
        .write_all(line.as_bytes())
        .and_then(|()| output.write_all(b"\n"))
        .and_then(|()| output.flush());
    if written.is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn timestamp(clock: &clock::WallClock) -> humantime::Rfc3339Timestamp {
    let since = Duration::from_millis(clock.now().get());
    humantime::format_rfc3339_millis(UNIX_EPOCH + since)
}

/// Collects the facts of a line.
struct FactVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FactVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
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

fn write_line(
    format: LogFormat,
    clock: &clock::WallClock,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) -> String {
    let mut facts = FactVisitor(Map::new());
    if let Err(error) = record.key_values().visit(&mut facts) {
        facts
            .0
            .insert("facts_error".to_owned(), json!(error.to_string()));
    }
    let time = timestamp(clock);
    let (level, part) = (record.level(), record.target());
    match format {
        LogFormat::Text => {
            let facts: Vec<_> = facts
                .0
                .iter()
                .map(|(name, value)| format!(" {name}={value}"))
                .collect();
            format!("{time} {level:5} {part}: {message}{}", facts.concat())
        }
        LogFormat::Json => {
            let mut line = Map::new();
            line.insert("time".to_owned(), json!(time.to_string()));
            line.insert("level".to_owned(), json!(level.as_str()));
            line.insert("part".to_owned(), json!(part));
            line.insert("message".to_owned(), json!(message.to_string()));
            if let Some(node) = NODE.get() {
                line.insert("node".to_owned(), json!(node));
            }
            line.extend(facts.0);
            serde_json::Value::Object(line).to_string()
        }
    }
}
