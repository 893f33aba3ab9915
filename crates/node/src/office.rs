//! Messages between the voters and the holder of an office.

use std::sync::Arc;
use std::time::Duration;

use policy::membership::Member;
use policy::office::HolderTime;
use tokio::sync::mpsc;

use crate::link::PeerSet;
use crate::wire::{NodeReply, NodeRequest, OfficeReply, OfficeRequest};

/// Timeout for the reply to a vote. A later one would be as good, but the next vote is due.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a vote or a release to a holder. Its reply is handed to the task that sent it, unless
/// that task has ended.
pub(crate) fn ask_holder<C: Send + 'static>(
    peers: &PeerSet,
    holder: &Arc<Member>,
    request: OfficeRequest,
    commands: &mpsc::WeakSender<C>,
    to_command: impl FnOnce(HolderTime) -> C + Send + 'static,
) {
    let (peers, holder, commands) = (peers.clone(), Arc::clone(holder), commands.clone());
    tokio::spawn(async move {
        let request = NodeRequest::Office(request);
        match peers.request(&holder, &request, REPLY_TIMEOUT).await {
            Ok(NodeReply::Office(OfficeReply::Time(time))) => {
                let Some(commands) = commands.upgrade() else {
                    return;
                };
                if commands.send(to_command(time)).await.is_err() {
                    log::debug!(target: "office", "The task that voted has ended.");
                }
            }
            other => {
                log::debug!(target: "office", "Node {} took no vote: {other:?}.", holder.node);
            }
        }
    });
}
