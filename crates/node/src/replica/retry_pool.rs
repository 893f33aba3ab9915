//! The task that owns the retry tokens of a data centre.
//!
//! Every node runs the task, but only the relay's pool is used. Outside the first
//! start of a fleet, the pool of a new relay is empty, since its predecessor may have
//! spent every token.

use model::ids;
use policy::retry::{RetryDeposit, RetryPool};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::members::MemberSet;

/// Messages queued for the task. When the queue is full, deposits are dropped, which
/// only reduces the number of retries.
const COMMANDS_MAX: usize = 1_024;

#[derive(Debug)]
enum RetryPoolCommand {
    Deposit(RetryDeposit),
    Draw(ids::ServiceId, oneshot::Sender<bool>),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct RetryPoolHandle {
    commands: mpsc::Sender<RetryPoolCommand>,
}

impl RetryPoolHandle {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(members: MemberSet, first_start: bool) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        tokio::spawn(run(members, first_start, inbox));
        Self { commands }
    }

    /// Adds what the requests of one node deposited.
    pub(super) fn deposit(&self, deposit: RetryDeposit) {
        if let Err(error) = self.commands.try_send(RetryPoolCommand::Deposit(deposit)) {
            log::debug!(target: "replica", "Dropped a deposit of retry tokens: {error}.");
        }
    }

    /// Draws one retry token; returns whether there was one.
    pub(super) async fn draw(&self, service: ids::ServiceId) -> bool {
        let (sender, reply) = oneshot::channel();
        let command = RetryPoolCommand::Draw(service, sender);
        self.commands.send(command).await.is_ok() && reply.await.unwrap_or(false)
    }
}

async fn run(members: MemberSet, first_start: bool, mut inbox: mpsc::Receiver<RetryPoolCommand>) {
    let mut pool = RetryPool::new(Instant::now(), first_start);
    while let Some(command) = inbox.recv().await {
        match command {
            RetryPoolCommand::Deposit(deposit) => {
                let table = members.table();
                let [local_nodes, all_nodes] = [table.local_len(), table.len()]
                    .map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
                pool.deposit(Instant::now(), &deposit, local_nodes / all_nodes.max(1.0));
            }
            RetryPoolCommand::Draw(service, sender) => {
                // When the requesting node has timed out, the drawn token is lost.
                let _ = sender.send(pool.draw(Instant::now(), &service));
            }
        }
    }
}
