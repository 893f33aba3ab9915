//! Quotas of workspaces: the tokens that this node hands out as a relay, and those that it spends.

mod draw;
mod holder;
mod order;
mod report;
mod task;

use std::sync::Arc;
use std::time::Duration;

use model::config::{QuotaBound, WorkspaceQuota};
use model::ids;
use policy::quota::QuotaToken;
use tokio::sync::{mpsc, oneshot};

pub(super) use holder::{QuotaHolder, QuotaHolderParts};
pub(super) use task::QuotaTaskParts;
use task::{COMMANDS_MAX, QuotaCommand, TakeRequest};

/// What became of the tokens of a workspace at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaCounts {
    /// Tokens that holders granted.
    pub drawn: u64,
    /// Requests that a token was spent on.
    pub spent: u64,
    /// Requests over the quota.
    pub refused: u64,
}

/// What this node knows of the use of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaView {
    /// Time since the last rejected request; `None` if there was none for some seconds.
    pub last_refusal: Option<Duration>,
}

/// Called about once a second for each workspace with what was counted since.
pub type QuotaObserver = Arc<dyn Fn(&ids::WorkspaceId, QuotaCounts) + Send + Sync>;

/// Settings of the quotas.
#[derive(Clone)]
pub struct QuotaSettings {
    /// How they are enforced.
    pub bound: QuotaBound,
    /// Called with counts.
    pub on_counts: QuotaObserver,
}

/// A handle to the task that owns this node's tokens.
#[derive(Debug, Clone)]
pub struct QuotaHandle {
    commands: mpsc::Sender<QuotaCommand>,
}

impl QuotaHandle {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(parts: QuotaTaskParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        task::start(parts, inbox, commands.downgrade());
        Self { commands }
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    /// When the workspace is over its quota: the time after which there may be room.
    pub async fn take(
        &self,
        workspace: ids::WorkspaceId,
        quota: WorkspaceQuota,
    ) -> Result<QuotaToken, Duration> {
        let (sender, reply) = oneshot::channel();
        let command = QuotaCommand::Take(TakeRequest {
            workspace,
            quota,
            reply: sender,
        });
        if self.commands.send(command).await.is_err() {
            return Err(Duration::ZERO);
        }
        reply.await.unwrap_or(Err(Duration::ZERO))
    }

    /// Queries what this node knows of the use of a quota; `None` if it had no request of the
    /// workspace lately.
    pub async fn view(&self, workspace: ids::WorkspaceId) -> Option<QuotaView> {
        let (reply, receiver) = oneshot::channel();
        let command = QuotaCommand::View(workspace, reply);
        self.commands.send(command).await.ok()?;
        receiver.await.ok()?
    }

    /// Gives back the token of a request that did not run. A token that is not taken back in time
    /// is lost.
    pub fn give_back(&self, workspace: ids::WorkspaceId, token: QuotaToken) {
        if let Err(error) = self
            .commands
            .try_send(QuotaCommand::GiveBack(workspace, token))
        {
            log::debug!(target: "quota", "A token was not given back: {error}.");
        }
    }
}
