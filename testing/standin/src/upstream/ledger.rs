//! A ledger of the actions that ran, shared by every upstream of a test.

use std::collections::{HashMap, HashSet};

use tokio::sync::{mpsc, oneshot};

enum LedgerCommand {
    Ran(String),
    Reached(String, Vec<(String, String)>),
    LastHeaders(oneshot::Sender<Vec<(String, String)>>),
    CountReached(oneshot::Sender<u64>),
    Counts(oneshot::Sender<HashMap<String, u32>>),
}

/// Counts how often each action ran; one task owns the counts.
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
    /// Starts the ledger's task; it ends with the last handle.
    pub fn start() -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(inbox));
        Self { commands }
    }

    /// Counts one run of an action.
    pub fn ran(&self, action: &str) {
        let _ = self.commands.send(LedgerCommand::Ran(action.to_owned()));
    }

    /// Notes that a request for a target arrived somewhere.
    pub fn arrived(&self, target: &str, headers: &http::HeaderMap) {
        let texts = headers.iter().map(|(name, value)| {
            (
                name.as_str().to_owned(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        });
        let _ = self
            .commands
            .send(LedgerCommand::Reached(target.to_owned(), texts.collect()));
    }

    /// Headers of the request that arrived last.
    pub async fn last_headers(&self) -> Vec<(String, String)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::LastHeaders(reply));
        answer.await.unwrap_or_default()
    }

    /// Distinct targets that arrived somewhere.
    pub async fn reached(&self) -> u64 {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::CountReached(reply));
        answer.await.unwrap_or(0)
    }

    /// Runs of each action so far.
    pub async fn counts(&self) -> HashMap<String, u32> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::Counts(reply));
        answer.await.unwrap_or_default()
    }
}

async fn run(mut inbox: mpsc::UnboundedReceiver<LedgerCommand>) {
    let mut counts: HashMap<String, u32> = HashMap::new();
    let mut reached: HashSet<String> = HashSet::new();
    let mut last_headers = Vec::new();
    while let Some(command) = inbox.recv().await {
        match command {
            LedgerCommand::Ran(action) => *counts.entry(action).or_default() += 1,
            LedgerCommand::Reached(target, headers) => {
                reached.insert(target);
                last_headers = headers;
            }
            LedgerCommand::LastHeaders(reply) => {
                let _ = reply.send(last_headers.clone());
            }
            LedgerCommand::CountReached(reply) => {
                let _ = reply.send(reached.len() as u64);
            }
            LedgerCommand::Counts(reply) => {
                let _ = reply.send(counts.clone());
            }
        }
    }
}
