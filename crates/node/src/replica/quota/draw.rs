//! One draw of tokens from a holder.

use std::time::Duration;

use model::ids;
use policy::quota::{DrawPlan, QuotaDraw, QuotaGrant};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::task::{QuotaCommand, QuotaTaskParts};
use crate::wire::{NodeReply, NodeRequest, OfficeReply, OfficeRequest};

/// Time after which the next holder is asked. Requests wait meanwhile.
const DRAW_TIMEOUT: Duration = Duration::from_millis(80);
/// Timeout of the exchange itself. A missed one closes the connection and marks the holder as
/// suspect, which a slow one is not yet; its late reply may still bring tokens.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// A draw that was sent.
#[derive(Debug, Clone)]
pub(super) struct SentDraw {
    pub(super) workspace: ids::WorkspaceId,
    pub(super) holder: ids::NodeId,
    pub(super) asked_at: Instant,
}

/// Makes a draw and reports to the task how it ended.
pub(super) fn start(
    parts: &QuotaTaskParts,
    own_inbox: &mpsc::WeakSender<QuotaCommand>,
    workspace: &ids::WorkspaceId,
    plan: DrawPlan,
) {
    let sent = SentDraw {
        workspace: workspace.clone(),
        holder: plan.holder,
        asked_at: Instant::now(),
    };
    let (parts, own_inbox) = (parts.clone(), own_inbox.clone());
    tokio::spawn(async move {
        let exchange = exchange(&parts, &sent, [plan.count, plan.deposit_millitokens]);
        tokio::pin!(exchange);
        let ended = time::timeout(DRAW_TIMEOUT, &mut exchange).await;
        let command = if let Ok(grant) = ended {
            QuotaCommand::Drawn(sent.clone(), grant)
        } else {
            report(&own_inbox, QuotaCommand::Slow(sent.clone())).await;
            QuotaCommand::DrawnLate(sent.clone(), exchange.await)
        };
        report(&own_inbox, command).await;
    });
}

async fn exchange(
    parts: &QuotaTaskParts,
    sent: &SentDraw,
    [count, deposit_millitokens]: [u32; 2],
) -> Option<QuotaGrant> {
    let table = parts.members.table();
    let own = &table.own().node;
    let is_local = table
        .find(&sent.holder)
        .is_some_and(|holder| holder.data_centre == table.own().data_centre);
    let draw = QuotaDraw {
        from: own.clone(),
        workspace: sent.workspace.clone(),
        count,
        deposit_millitokens,
        is_new: is_local && parts.retry_pool.standing().borrow().is_new(sent.asked_at),
    };
    if sent.holder == *own {
        return parts.retry_pool.draw_quota(draw).await;
    }
    let member = table.find(&sent.holder)?;
    let request = NodeRequest::Office(OfficeRequest::DrawQuota {
        holder: sent.holder.clone(),
        draw,
    });
    let reply = parts
        .peers
        .request(member, &request, EXCHANGE_TIMEOUT)
        .await;
    let Ok(NodeReply::Office(OfficeReply::QuotaTokens(grant))) = reply else {
        log::debug!(target: "quota", "No quota tokens from {}: {reply:?}.", sent.holder);
        return None;
    };
    Some(grant)
}

/// Has the task decide on requests of a workspace that wait for too long, at a time.
pub(super) fn settle_at(
    own_inbox: &mpsc::WeakSender<QuotaCommand>,
    workspace: &ids::WorkspaceId,
    at: Instant,
) {
    let (own_inbox, workspace) = (own_inbox.clone(), workspace.clone());
    tokio::spawn(async move {
        time::sleep_until(at).await;
        report(&own_inbox, QuotaCommand::Settle(workspace)).await;
    });
}

async fn report(own_inbox: &mpsc::WeakSender<QuotaCommand>, command: QuotaCommand) {
    // Without a handle the task has ended, and the tokens are lost.
    if let Some(commands) = own_inbox.upgrade() {
        let _ = commands.send(command).await;
    }
}
