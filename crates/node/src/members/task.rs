//! The task that owns the members: from an external list, from other nodes, or both.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::error::FleetError;
use model::ids;
use policy::membership::{Member, MemberTable};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// A read of the member list in progress.
pub type MemberListing = Pin<Box<dyn Future<Output = Result<Vec<Member>, FleetError>> + Send>>;

/// Reads the member list from outside the fleet.
pub type MemberLister = Arc<dyn Fn() -> MemberListing + Send + Sync>;

/// How often each node reads the list in a fleet of up to [`NODES_PER_POLL_INTERVAL`]
/// nodes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Number of nodes above which each node reads the list less often, so that the calls
/// of the whole fleet stay bounded.
const NODES_PER_POLL_INTERVAL: usize = 48;
/// Messages queued for the task; senders wait when the queue is full.
const COMMANDS_MAX: usize = 256;

#[derive(Debug)]
enum MemberCommand {
    Suspect(ids::NodeId),
    Contact(Member),
    AddUnknown(Vec<Member>),
    MarkLeaving,
}

/// A handle to the task that owns the members.
#[derive(Debug, Clone)]
pub struct MemberSet {
    commands: mpsc::Sender<MemberCommand>,
    table: watch::Receiver<Arc<MemberTable>>,
}

impl MemberSet {
    /// Starts the task with the members known from the settings. Without a lister, nodes
    /// learn of each other only through each other.
    pub fn start(own: Member, seeds: Vec<Member>, lister: Option<MemberLister>) -> Self {
        let mut table = MemberTable::new(own);
        table.replace(seeds);
        let (publisher, watched) = watch::channel(Arc::new(table.clone()));
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let task = MemberTask {
            table,
            publisher,
            lister,
        };
        tokio::spawn(task.run(inbox));
        Self {
            commands,
            table: watched,
        }
    }

    /// The last known members.
    pub fn table(&self) -> Arc<MemberTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Subscribes to the members.
    pub fn watch(&self) -> watch::Receiver<Arc<MemberTable>> {
        self.table.clone()
    }

    /// Records that a node did not respond.
    pub async fn mark_suspect(&self, node: &ids::NodeId) {
        let _ = self
            .commands
            .send(MemberCommand::Suspect(node.clone()))
            .await;
    }

    /// Adds or updates a node from which a message arrived, and clears its suspicion.
    pub async fn record_contact(&self, member: Member) {
        let table = self.table();
        let known = table.find(&member.node);
        // A leaving node that repeats its statement still runs.
        let is_news = member.leaving || known.is_none_or(|known| **known != member);
        if is_news || table.is_suspect(&member.node) {
            let _ = self.commands.send(MemberCommand::Contact(member)).await;
        }
    }

    /// Adds the nodes reported by another node that this one does not know.
    pub async fn add_unknown(&self, members: Vec<Member>) {
        let table = self.table();
        let unknown = members
            .into_iter()
            .filter(|member| table.find(&member.node).is_none());
        let unknown: Vec<_> = unknown.collect();
        if !unknown.is_empty() {
            let _ = self.commands.send(MemberCommand::AddUnknown(unknown)).await;
        }
    }

    /// Marks this node as leaving, so that other nodes take over its roles.
    pub async fn mark_leaving(&self) {
        let _ = self.commands.send(MemberCommand::MarkLeaving).await;
    }
}

struct MemberTask {
    table: MemberTable,
    publisher: watch::Sender<Arc<MemberTable>>,
    lister: Option<MemberLister>,
}

impl MemberTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<MemberCommand>) {
        let mut next_poll = Instant::now();
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.handle(command);
                }
                () = time::sleep_until(next_poll), if self.lister.is_some() => {
                    self.poll().await;
                    next_poll = Instant::now() + self.poll_interval();
                }
            }
        }
    }

    /// The interval between polls, which grows with the fleet to bound the calls of all
    /// nodes together.
    fn poll_interval(&self) -> Duration {
        let factor = self.table.len().div_ceil(NODES_PER_POLL_INTERVAL).max(1);
        POLL_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
    }

    fn handle(&mut self, command: MemberCommand) {
        match command {
            MemberCommand::Suspect(node) => {
                log::info!(target: "members", "Node {node} does not answer.");
                self.table.mark_suspect(Instant::now(), &node);
            }
            MemberCommand::Contact(member) => {
                log::info!(target: "members", "Added or updated node {}.", member.node);
                self.table.record_contact(Instant::now(), member);
            }
            MemberCommand::AddUnknown(members) => {
                let before = self.table.len();
                for member in members {
                    self.table.add_reported(Instant::now(), member);
                }
                log::info!(target: "members", "The fleet has {} nodes, up from {before}.", self.table.len());
            }
            MemberCommand::MarkLeaving => self.table.mark_leaving(),
        }
        self.publish();
    }

    async fn poll(&mut self) {
        let Some(lister) = &self.lister else { return };
        match lister().await {
            Ok(members) if !members.is_empty() => {
                if self.table.replace(members) {
                    log::info!(target: "members", "The fleet has {} nodes.", self.table.len());
                    self.publish();
                }
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(target: "members", "Cannot read the member list: {error}.");
            }
        }
    }

    fn publish(&self) {
        self.publisher.send_replace(Arc::new(self.table.clone()));
    }
}
