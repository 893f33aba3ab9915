//! One draw of tokens from a holder.

use std::time::Duration;

use model::ids;
use policy::quota::{DrawPlan, QuotaDraw, QuotaGrant};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::task::{QuotaCommand, QuotaTaskParts};
use crate::wire::{NodeReply, NodeRequest, OfficeReply, OfficeRequest};

/// Time after which a draw is given up and the next holder is asked. Requests wait meanwhile.
const DRAW_TIMEOUT: Duration = Duration::from_millis(100);
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
        let Ok(grant) = time::timeout(DRAW_TIMEOUT, &mut exchange).await else {
            report(&own_inbox, QuotaCommand::Drawn(sent.clone(), None)).await;
            if let Some(grant) = exchange.await {
                report(&own_inbox, QuotaCommand::DrawnLate(sent.clone(), grant)).await;
            }
            return;
        };
        report(&own_inbox, QuotaCommand::Drawn(sent.clone(), grant)).await;
    });
}

async fn exchange(
    parts: &QuotaTaskParts,
    sent: &SentDraw,
    [count, deposit_millitokens]: [u32; 2],
) -> Option<QuotaGrant> {
    let table = parts.members.table();
    let own = &table.own().node;
    let draw = QuotaDraw {
        from: own.clone(),
        workspace: sent.workspace.clone(),
        count,
        deposit_millitokens,
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

async fn report(own_inbox: &mpsc::WeakSender<QuotaCommand>, command: QuotaCommand) {
    // Without a handle the task has ended, and the tokens are lost.
    if let Some(commands) = own_inbox.upgrade() {
        let _ = commands.send(command).await;
    }
}
