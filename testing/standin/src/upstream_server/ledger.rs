//! Counts of the requests and actions at all upstreams of a test.

use std::collections::{HashMap, HashSet};

use tokio::sync::{mpsc, oneshot};

/// A command to the task that owns the counts.
enum LedgerCommand {
    RecordRun(String),
    RecordRequest(String, Vec<(String, String)>),
    GetLastHeaders(oneshot::Sender<Vec<(String, String)>>),
    CountTargets(oneshot::Sender<u64>),
    GetRunCounts(oneshot::Sender<HashMap<String, u32>>),
}

/// A handle to the task that counts how often each action ran, and which requests arrived.
#[derive(Debug, Clone)]
pub struct RunLedger {
    commands: mpsc::UnboundedSender<LedgerCommand>,
}

impl std::fmt::Debug for LedgerCommand {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LedgerCommand")
    }
}

impl RunLedger {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start() -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(inbox));
        Self { commands }
    }

    /// Records that an action ran once.
    pub fn record_run(&self, action: &str) {
        let _ = self
            .commands
            .send(LedgerCommand::RecordRun(action.to_owned()));
    }

    /// Records that a request for a target arrived at an upstream, whether it runs or not.
    pub fn record_request(&self, target: &str, headers: &http::HeaderMap) {
        let header_texts = headers.iter().map(|(name, value)| {
            (
                name.as_str().to_owned(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        });
        let _ = self.commands.send(LedgerCommand::RecordRequest(
            target.to_owned(),
            header_texts.collect(),
        ));
    }

    /// Headers of the latest request that arrived at any upstream.
    pub async fn last_headers(&self) -> Vec<(String, String)> {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::GetLastHeaders(reply));
        response.await.unwrap_or_default()
    }

    /// Number of distinct request targets that arrived at any upstream.
    pub async fn distinct_targets(&self) -> u64 {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::CountTargets(reply));
        response.await.unwrap_or(0)
    }

    /// How often each action ran so far.
    pub async fn run_counts(&self) -> HashMap<String, u32> {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::GetRunCounts(reply));
        response.await.unwrap_or_default()
    }
}

/// Owns the counts and handles commands until all handles are dropped.
async fn run(mut inbox: mpsc::UnboundedReceiver<LedgerCommand>) {
    let mut run_counts: HashMap<String, u32> = HashMap::new();
    let mut targets: HashSet<String> = HashSet::new();
    let mut last_headers = Vec::new();
    while let Some(command) = inbox.recv().await {
        match command {
            LedgerCommand::RecordRun(action) => *run_counts.entry(action).or_default() += 1,
            LedgerCommand::RecordRequest(target, headers) => {
                targets.insert(target);
                last_headers = headers;
            }
            LedgerCommand::GetLastHeaders(reply) => {
                let _ = reply.send(last_headers.clone());
            }
            LedgerCommand::CountTargets(reply) => {
                let _ = reply.send(targets.len() as u64);
            }
            LedgerCommand::GetRunCounts(reply) => {
                let _ = reply.send(run_counts.clone());
            }
        }
    }
}
