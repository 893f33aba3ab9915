//! The task that owns a node's ledger of limits and permits.

use std::time::Duration;

use model::error::ErrorKind;
use model::error::FleetError;
use policy::permit::{LimitRecord, LimitReport, PermitLedger, PermitReply, PermitRequest};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::fleet::LimitParts;

/// Messages queued for the task; senders wait when the queue is full, but reports are
/// dropped, since the next response is reported again.
pub(super) const COMMANDS_MAX: usize = 1_024;
/// How often limits that are no longer used are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_mins(1);

/// A message to the task.
#[derive(Debug)]
pub(super) enum LimitCommand {
    Draw(PermitRequest, oneshot::Sender<PermitReply>),
    Report(LimitReport),
    Apply(Vec<LimitRecord>),
    List(oneshot::Sender<Vec<LimitRecord>>),
}

/// Runs until the last handle is dropped.
pub(super) async fn run(parts: LimitParts, mut inbox: mpsc::Receiver<LimitCommand>) {
    let mut ledger = PermitLedger::default();
    let mut expire_at = Instant::now() + EXPIRE_INTERVAL;
    loop {
        let now = Instant::now();
        let announce_at = ledger.next_announcement_at(now);
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                handle(&parts, &mut ledger, command);
            }
            () = time::sleep_until(announce_at.unwrap_or(now)), if announce_at.is_some() => {
                parts.announce(&ledger.take_announcements(Instant::now()));
            }
            () = time::sleep_until(expire_at) => {
                ledger.expire(now);
                expire_at = Instant::now() + EXPIRE_INTERVAL;
            }
        }
    }
}

fn handle(parts: &LimitParts, ledger: &mut PermitLedger, command: LimitCommand) {
    let now = Instant::now();
    match command {
        LimitCommand::Draw(request, reply) => {
            // When the sender of the draw has given up, the permit is lost.
            let share = parts.members.table().reachable_share(now);
            let _ = reply.send(ledger.draw(now, &request, share));
        }
        LimitCommand::Report(report) => {
            if let Some(state) = ledger.report(now, &report) {
                log::info!(
                    target: "limits",
                    service:% = report.service,
                    upstream:% = report.upstream,
                    limit:% = state,
                    version = state.version.get();
                    "The limit on the requests per second of an upstream changed."
                );
            }
        }
        LimitCommand::Apply(records) => {
            for record in records {
                ledger.apply(now, &record);
                (parts.on_record)(record);
            }
        }
        LimitCommand::List(reply) => {
            let _ = reply.send(ledger.records());
        }
    }
}

/// The error of a message to a task that has ended.
pub(super) fn stopping() -> FleetError {
    FleetError::new(ErrorKind::PeerUnreachable, "this node is stopping")
}
