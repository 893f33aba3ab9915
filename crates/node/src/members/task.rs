//! The task that knows the members: from a list, from other nodes, or both.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::error::FleetError;
use model::ids;
use policy::membership::{Member, MemberTable};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// A list of the members under way.
pub type MemberListing = Pin<Box<dyn Future<Output = Result<Vec<Member>, FleetError>> + Send>>;

/// Reads the list of members from outside the fleet.
pub type MemberLister = Arc<dyn Fn() -> MemberListing + Send + Sync>;

/// How often the list is read by a fleet of up to [`SMALL_FLEET`] nodes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Nodes above which the list is read less often.
const SMALL_FLEET: usize = 48;
/// Orders that wait for the task.
const COMMANDS_MAX: usize = 256;

#[derive(Debug)]
enum MemberCommand {
    Suspect(ids::NodeId),
    Introduce(Member),
    HearOf(Vec<Member>),
    Leave,
}

/// A handle to the members' task.
#[derive(Debug, Clone)]
pub struct MemberSet {
    commands: mpsc::Sender<MemberCommand>,
    table: watch::Receiver<Arc<MemberTable>>,
}

impl MemberSet {
    /// Starts the task with members known from the settings. Without a lister,
    /// nodes learn of each other from each other alone.
    pub fn start(own: Member, seeds: Vec<Member>, lister: Option<MemberLister>) -> Self {
        let mut table = MemberTable::new(own);
        table.replace(seeds);
        let (publish, watched) = watch::channel(Arc::new(table.clone()));
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let task = MemberTask {
            table,
            publish,
            lister,
        };
        tokio::spawn(task.run(inbox));
        Self {
            commands,
            table: watched,
        }
    }

    /// The members as last known.
    pub fn table(&self) -> Arc<MemberTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Follows the members.
    pub fn watch(&self) -> watch::Receiver<Arc<MemberTable>> {
        self.table.clone()
    }

    /// Notes that a node did not answer.
    pub async fn suspect(&self, node: &ids::NodeId) {
        let _ = self
            .commands
            .send(MemberCommand::Suspect(node.clone()))
            .await;
    }

    /// Takes a node that presented itself.
    pub async fn introduce(&self, member: Member) {
        let table = self.table();
        let known = table.find(&member.node);
        if known.is_none_or(|known| **known != member) || table.is_suspect(&member.node) {
            let _ = self.commands.send(MemberCommand::Introduce(member)).await;
        }
    }

    /// Takes nodes that another one told of.
    pub async fn hear_of(&self, members: Vec<Member>) {
        let table = self.table();
        let unknown = members
            .into_iter()
            .filter(|member| table.find(&member.node).is_none());
        let unknown: Vec<_> = unknown.collect();
        if !unknown.is_empty() {
            let _ = self.commands.send(MemberCommand::HearOf(unknown)).await;
        }
    }

    /// Hands this node's jobs on.
    pub async fn leave(&self) {
        let _ = self.commands.send(MemberCommand::Leave).await;
    }
}

struct MemberTask {
    table: MemberTable,
    publish: watch::Sender<Arc<MemberTable>>,
    lister: Option<MemberLister>,
}

impl MemberTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<MemberCommand>) {
        let mut next = Instant::now();
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.take(command);
                }
                () = time::sleep_until(next), if self.lister.is_some() => {
                    self.poll().await;
                    next = Instant::now() + self.interval();
                }
            }
        }
    }

    /// Keeps the calls of the whole fleet at a bound as it grows.
    fn interval(&self) -> Duration {
        let share = self.table.len().div_ceil(SMALL_FLEET).max(1);
        POLL_INTERVAL * u32::try_from(share).unwrap_or(u32::MAX)
    }

    fn take(&mut self, command: MemberCommand) {
        match command {
            MemberCommand::Suspect(node) => {
                log::info!(target: "members", "Node {node} does not answer.");
                self.table.mark_suspect(Instant::now(), &node);
            }
            MemberCommand::Introduce(member) => {
                log::info!(target: "members", "Node {} presented itself.", member.node);
                self.table.record_contact(member);
            }
            MemberCommand::HearOf(members) => {
                let before = self.table.len();
                for member in members {
                    self.table.add_reported(member);
                }
                log::info!(target: "members", "The fleet has {} nodes, {before} before.", self.table.len());
            }
            MemberCommand::Leave => self.table.mark_leaving(),
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
                log::warn!(target: "members", "The list of members cannot be read: {error}.");
            }
        }
    }

    fn publish(&self) {
        self.publish.send_replace(Arc::new(self.table.clone()));
    }
}
