//! The task that holds the repeats of a data centre.
//!
//! Every node runs it, and the relay's is the one that is used. A new relay
//! starts with nothing saved up, since its predecessor may have spent all.

use model::ids;
use policy::retry::{RetryDeposit, RetryPool};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::members::MemberSet;

/// Messages that wait for the task; when it is full deposits are dropped, which
/// only makes repeats fewer.
const COMMANDS_MAX: usize = 1_024;

#[derive(Debug)]
enum RepeatCommand {
    Deposit(RetryDeposit),
    Draw(ids::ServiceId, oneshot::Sender<bool>),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct RepeatHub {
    commands: mpsc::Sender<RepeatCommand>,
}

impl RepeatHub {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(members: MemberSet, first_start: bool) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        tokio::spawn(run(members, first_start, inbox));
        Self { commands }
    }

    /// Takes what a node's requests paid in.
    pub(super) fn deposit(&self, deposit: RetryDeposit) {
        if let Err(error) = self.commands.try_send(RepeatCommand::Deposit(deposit)) {
            log::debug!(target: "replica", "A deposit is dropped: {error}.");
        }
    }

    /// Draws one repeat.
    pub(super) async fn draw(&self, service: ids::ServiceId) -> bool {
        let (reply, answer) = oneshot::channel();
        let command = RepeatCommand::Draw(service, reply);
        self.commands.send(command).await.is_ok() && answer.await.unwrap_or(false)
    }
}

async fn run(members: MemberSet, first_start: bool, mut inbox: mpsc::Receiver<RepeatCommand>) {
    let mut pool = RetryPool::new(Instant::now(), first_start);
    while let Some(command) = inbox.recv().await {
        match command {
            RepeatCommand::Deposit(deposit) => {
                let table = members.table();
                let [near, all] = [table.local_len(), table.len()]
                    .map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
                pool.deposit(Instant::now(), &deposit, near / all.max(1.0));
            }
            RepeatCommand::Draw(service, reply) => {
                // A node that stopped waiting leaves its repeat unused.
                let _ = reply.send(pool.draw(&service));
            }
        }
    }
}
