//! The task that owns a node's ledger of limits and permits.

use std::collections::BTreeSet;
use std::time::Duration;

use model::error::{ErrorKind, FleetError};
use model::ids;
use policy::office::{HolderTime, OfficeTerm};
use policy::permit::{
    LimitRecord, LimitReport, LimitShard, PermitLedger, PermitReply, PermitRequest,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::fleet::LimitParts;
use super::offices::LimitOffices;
use crate::office;
use crate::wire::{OfficeNames, OfficeRequest};

/// Messages queued for the task; senders wait when the queue is full, but reports are
/// dropped, since the next response is reported again.
pub(super) const COMMANDS_MAX: usize = 1_024;
/// How often limits that are no longer used are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_mins(1);

/// A message to the task.
#[derive(Debug)]
pub(super) enum LimitCommand {
    Draw(PermitRequest, oneshot::Sender<(PermitReply, OfficeTerm)>),
    Report(LimitReport),
    Apply(Vec<LimitRecord>),
    List(oneshot::Sender<Vec<LimitRecord>>),
    /// Count votes of a node; replies with the time of this one.
    Votes {
        from: ids::NodeId,
        shards: Vec<LimitShard>,
        heard: Option<HolderTime>,
        voters: usize,
        reply: oneshot::Sender<HolderTime>,
    },
    /// Release votes of a node; replies with the time of this one.
    Release {
        from: ids::NodeId,
        shards: Vec<LimitShard>,
        reply: oneshot::Sender<HolderTime>,
    },
    /// An owner stated its time.
    Heard(ids::NodeId, HolderTime),
    /// An owner released votes of this node.
    Released(ids::NodeId, Vec<LimitShard>, HolderTime),
}

/// Runs until the last handle is dropped.
pub(super) async fn run(
    parts: LimitParts,
    mut inbox: mpsc::Receiver<LimitCommand>,
    own_inbox: mpsc::WeakSender<LimitCommand>,
) {
    let mut ledger = PermitLedger::default();
    let mut offices = LimitOffices::new(Instant::now(), parts.first_start);
    let mut expire_at = Instant::now() + EXPIRE_INTERVAL;
    loop {
        let now = Instant::now();
        let announce_at = ledger.next_announcement_at(now);
        let limited = ledger.limited_shards();
        let vote_at = offices.vote_at(&limited);
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                handle(&parts, &mut ledger, &mut offices, command);
            }
            () = time::sleep_until(vote_at.unwrap_or(now)), if vote_at.is_some() => {
                cast_votes(&parts, &mut offices, &own_inbox, limited);
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

fn handle(
    parts: &LimitParts,
    ledger: &mut PermitLedger,
    offices: &mut LimitOffices,
    command: LimitCommand,
) {
    let now = Instant::now();
    match command {
        LimitCommand::Draw(request, reply) => {
            // When the sender of the draw has given up, the permit is lost.
            let table = parts.members.table();
            let share = offices.share(now, &table, &request.service, &request.data_centre);
            let term = offices.term(&request.service);
            let _ = reply.send((ledger.draw(now, &request, share), term));
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
        LimitCommand::Votes {
            from,
            shards,
            heard,
            voters,
            reply,
        } => {
            let _ = reply.send(offices.record(&from, &shards, heard, voters));
        }
        LimitCommand::Release {
            from,
            shards,
            reply,
        } => {
            let _ = reply.send(offices.release(&from, &shards));
        }
        LimitCommand::Heard(owner, time) => offices.hear(&owner, time),
        LimitCommand::Released(owner, shards, time) => {
            offices.hear(&owner, time);
            offices.apply_release(&owner, &shards, time);
        }
        LimitCommand::List(reply) => {
            let _ = reply.send(ledger.records());
        }
    }
}

/// Casts the votes of this node. The replies of their holders come back as messages.
fn cast_votes(
    parts: &LimitParts,
    offices: &mut LimitOffices,
    own_inbox: &mpsc::WeakSender<LimitCommand>,
    limited: BTreeSet<LimitShard>,
) {
    let table = parts.members.table();
    let voters = u32::try_from(table.local_voters(Instant::now())).unwrap_or(u32::MAX);
    let from = &table.own().node;
    for (owner, messages) in offices.cast(&table, limited) {
        let heard = offices.heard(&owner);
        let Some(member) = table.find(&owner) else {
            continue;
        };
        if !messages.votes.is_empty() {
            let vote = OfficeRequest::Vote {
                holder: owner.clone(),
                from: from.clone(),
                offices: OfficeNames::Limits(messages.votes),
                heard,
                voters,
            };
            let to_command = move |time| LimitCommand::Heard(owner, time);
            office::ask_holder(&parts.peers, member, vote, own_inbox, to_command);
        }
        if !messages.releases.is_empty() {
            let owner = member.node.clone();
            let release = OfficeRequest::Release {
                holder: owner.clone(),
                from: from.clone(),
                offices: OfficeNames::Limits(messages.releases.clone()),
            };
            let shards = messages.releases;
            let to_command = move |time| LimitCommand::Released(owner, shards, time);
            office::ask_holder(&parts.peers, member, release, own_inbox, to_command);
        }
    }
}

/// The error of a message to a task that has ended.
pub(super) fn stopping() -> FleetError {
    FleetError::new(ErrorKind::PeerUnreachable, "this node is stopping")
}
