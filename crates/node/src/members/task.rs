//! The task that follows the VM list.

use std::sync::Arc;
use std::time::Duration;

use model::ids;
use platform::PlatformClient;
use platform::vm::{Vm, VmState};
use policy::membership::{Member, MemberTable};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

/// How often the VM list is read by a fleet of up to [`SMALL_FLEET`] nodes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Nodes above which the list is read less often.
const SMALL_FLEET: usize = 48;
/// Orders that wait for the task.
const COMMANDS_MAX: usize = 256;

#[derive(Debug)]
enum MemberCommand {
    Suspect(ids::NodeId),
    Introduce(Member),
    Leave,
}

/// A handle to the members' task.
#[derive(Debug, Clone)]
pub struct MemberSet {
    commands: mpsc::Sender<MemberCommand>,
    table: watch::Receiver<Arc<MemberTable>>,
}

impl MemberSet {
    /// Starts the task with members known from the settings.
    pub fn start(own: Member, seeds: Vec<Member>, platform: PlatformClient) -> Self {
        let mut table = MemberTable::new(own);
        table.replace(seeds);
        let (publish, watched) = watch::channel(Arc::new(table.clone()));
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let task = MemberTask {
            table,
            publish,
            platform,
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
        if self.table().find(&member.node).is_none() {
            let _ = self.commands.send(MemberCommand::Introduce(member)).await;
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
    platform: PlatformClient,
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
                () = time::sleep_until(next) => {
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
                self.table.suspect(Instant::now(), &node);
            }
            MemberCommand::Introduce(member) => {
                log::info!(target: "members", "Node {} presented itself.", member.node);
                self.table.introduce(member);
            }
            MemberCommand::Leave => self.table.leave(),
        }
        self.publish();
    }

    async fn poll(&mut self) {
        match self.platform.vms().await {
            Ok(vms) if !vms.is_empty() => {
                if self.table.replace(vms.into_iter().map(member_of).collect()) {
                    log::info!(target: "members", "The fleet has {} nodes.", self.table.len());
                    self.publish();
                }
            }
            Ok(_) => {}
            Err(error) => log::warn!(target: "members", "The VM list cannot be read: {error}."),
        }
    }

    fn publish(&self) {
        self.publish.send_replace(Arc::new(self.table.clone()));
    }
}

fn member_of(vm: Vm) -> Member {
    Member {
        node: vm.node,
        address: vm.address,
        data_centre: vm.data_centre,
        leaving: vm.state == VmState::Leaving,
    }
}
