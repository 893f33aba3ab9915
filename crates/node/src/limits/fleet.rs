//! Draws permits and reports limits at their owners, and handles the same of other nodes.

use std::sync::Arc;
use std::time::Duration;

use model::ids;
use policy::membership::Member;
use policy::office::{HolderTerm, HolderTime, OfficeGrant, OfficeTerm};
use policy::permit::{LimitRecord, LimitReport, PermitReply, PermitRequest};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::task::{self, COMMANDS_MAX, LimitCommand};
use crate::link::{ContactGap, PeerSet};
use crate::members::MemberSet;
use crate::wire::{
    LimitReply, LimitRequest, NodeReply, NodeRequest, OfficeNames, OfficeReply, OfficeRequest,
};

/// Timeout for a draw. A request that gets no permit in time goes to another upstream.
const DRAW_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for the list of limits of another node.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits in one datagram. A limit takes about 60 bytes, and a datagram of 1,200 bytes
/// passes on every network path.
const RECORDS_PER_DATAGRAM: usize = 16;

/// Called with limits that their owners announced.
pub type RecordSink = Arc<dyn Fn(LimitRecord) + Send + Sync>;

/// What the sharing of limits depends on.
#[derive(Clone)]
pub struct LimitParts {
    /// Connections to other nodes.
    pub peers: PeerSet,
    /// The members of the fleet.
    pub members: MemberSet,
    /// Called with announced limits.
    pub on_record: RecordSink,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// A handle to a node's part in the sharing of limits.
#[derive(Clone)]
pub struct LimitFleet {
    parts: LimitParts,
    commands: mpsc::Sender<LimitCommand>,
    contact: ContactGap,
}

impl LimitFleet {
    /// Starts the task; it ends with the last handle.
    pub fn start(parts: LimitParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        tokio::spawn(task::run(parts.clone(), inbox, commands.downgrade()));
        Self {
            parts,
            commands,
            contact: ContactGap::new(),
        }
    }

    /// Draws a permit from the owner; returns `None` if there is none or it did not reply.
    pub async fn draw(&self, request: PermitRequest) -> Option<(PermitReply, OfficeGrant)> {
        let asked_at = Instant::now();
        let owner = self.owner(&request.service, &request.data_centre)?;
        let holder = owner.node.clone();
        let (reply, term) = if self.is_own(&owner) {
            self.draw_here(request).await?
        } else {
            self.draw_from(&owner, request).await?
        };
        let grant = OfficeGrant::new(asked_at, HolderTerm { holder, term });
        Some((reply, grant))
    }

    async fn draw_from(
        &self,
        owner: &Arc<Member>,
        request: PermitRequest,
    ) -> Option<(PermitReply, OfficeTerm)> {
        let request = NodeRequest::Office(OfficeRequest::DrawPermit {
            holder: owner.node.clone(),
            request,
        });
        let reply = self
            .parts
            .peers
            .request(owner, &request, DRAW_TIMEOUT)
            .await;
        match reply {
            Ok(NodeReply::Office(OfficeReply::Permit(term, reply))) => Some((reply, term)),
            other => {
                log::info!(target: "limits", "Node {} granted no permit: {other:?}.", owner.node);
                None
            }
        }
    }

    /// Handles a request to this node as the owner of limits.
    pub(crate) async fn handle_office(&self, request: OfficeRequest) -> OfficeReply {
        if *request.holder() != self.parts.members.table().own().node {
            return OfficeReply::NotHolder;
        }
        match request {
            OfficeRequest::Vote {
                from,
                offices: OfficeNames::Limits(shards),
                heard,
                voters,
                ..
            } => {
                self.ask_task(|reply| LimitCommand::Votes {
                    from,
                    shards,
                    heard,
                    voters: usize::try_from(voters).unwrap_or(usize::MAX),
                    reply,
                })
                .await
            }
            OfficeRequest::Release {
                from,
                offices: OfficeNames::Limits(shards),
                ..
            } => {
                self.ask_task(|reply| LimitCommand::Release {
                    from,
                    shards,
                    reply,
                })
                .await
            }
            OfficeRequest::DrawPermit { request, .. } => {
                let owner = self.owner(&request.service, &request.data_centre);
                let drawn = match owner {
                    Some(owner) if self.is_own(&owner) => self.draw_here(request).await,
                    _ => None,
                };
                drawn.map_or(OfficeReply::NotHolder, |(reply, term)| {
                    OfficeReply::Permit(term, reply)
                })
            }
            OfficeRequest::Vote { .. }
            | OfficeRequest::Release { .. }
            | OfficeRequest::DrawRetryToken { .. }
            | OfficeRequest::DrawQuota { .. } => OfficeReply::NotHolder,
        }
    }

    async fn ask_task(
        &self,
        command: impl FnOnce(oneshot::Sender<HolderTime>) -> LimitCommand,
    ) -> OfficeReply {
        let (sender, reply) = oneshot::channel();
        if self.commands.send(command(sender)).await.is_err() {
            return OfficeReply::NotHolder;
        }
        reply
            .await
            .map_or(OfficeReply::NotHolder, OfficeReply::Time)
    }

    /// Reports what a response stated to the owner of the limit.
    pub fn report(&self, report: LimitReport) {
        match self.owner(&report.service, &report.data_centre) {
            Some(owner) if !self.is_own(&owner) => {
                let request = NodeRequest::Limit(LimitRequest::Report(report));
                self.parts.peers.notify(&owner, &request);
            }
            _ => self.send_or_drop(LimitCommand::Report(report)),
        }
    }

    /// Handles the request of another node.
    pub async fn handle_request(&self, request: LimitRequest) -> NodeReply {
        match request {
            LimitRequest::Draw(request) => {
                let owner = self.owner(&request.service, &request.data_centre);
                let reply = match owner {
                    Some(owner) if self.is_own(&owner) => self.draw_here(request).await,
                    _ => None,
                };
                let reply = reply.map(|(reply, _)| reply);
                NodeReply::Limit(LimitReply::Drawn(reply))
            }
            LimitRequest::Report(report) => {
                self.send_or_drop(LimitCommand::Report(report));
                NodeReply::Done
            }
            LimitRequest::Announce { records, forward } => {
                if forward {
                    let table = self.parts.members.table();
                    let message = announcement(&records, false);
                    self.parts.peers.notify_local(&table, &message);
                }
                self.send_or_drop(LimitCommand::Apply(records));
                NodeReply::Done
            }
            LimitRequest::Votes { from, .. } => {
                log::debug!(target: "limits", "Votes of an earlier release from {from} do not count.");
                NodeReply::Done
            }
            LimitRequest::List => {
                let (sender, reply) = oneshot::channel();
                let sent = self.commands.send(LimitCommand::List(sender)).await;
                let records = match sent {
                    Ok(()) => reply.await.ok(),
                    Err(_) => None,
                };
                records.map_or_else(
                    || NodeReply::Failed(task::stopping().to_string()),
                    |records| NodeReply::Limit(LimitReply::Records(records)),
                )
            }
        }
    }

    /// Records a message from another node. After a time without any, this node may have
    /// missed announcements, so it fetches the limits that the other one knows.
    pub fn record_contact(&self, from: &Member) {
        if self.contact.record() {
            let fleet = self.clone();
            let from = Arc::new(from.clone());
            tokio::spawn(async move { fleet.fetch(from).await });
        }
    }

    async fn fetch(&self, from: Arc<Member>) {
        let request = NodeRequest::Limit(LimitRequest::List);
        let reply = self
            .parts
            .peers
            .request(&from, &request, LIST_TIMEOUT)
            .await;
        match reply {
            Ok(NodeReply::Limit(LimitReply::Records(records))) => {
                self.send_or_drop(LimitCommand::Apply(records));
            }
            other => {
                log::info!(target: "limits", "Node {} sent no limits: {other:?}.", from.node);
                self.contact.reopen();
            }
        }
    }

    async fn draw_here(&self, request: PermitRequest) -> Option<(PermitReply, OfficeTerm)> {
        let (sender, reply) = oneshot::channel();
        let command = LimitCommand::Draw(request, sender);
        self.commands.send(command).await.ok()?;
        reply.await.ok()
    }

    /// The owner of a limit, as far as this node knows.
    fn owner(&self, service: &ids::ServiceId, centre: &ids::DataCentreId) -> Option<Arc<Member>> {
        let table = self.parts.members.table();
        table.limit_owner(Instant::now(), service, centre)
    }

    fn is_own(&self, owner: &Member) -> bool {
        owner.node == self.parts.members.table().own().node
    }

    fn send_or_drop(&self, command: LimitCommand) {
        if let Err(error) = self.commands.try_send(command) {
            log::debug!(target: "limits", "Dropped a message about limits: {error}.");
        }
    }
}

impl LimitParts {
    /// Announces limits to this node's services and to every other node.
    pub(super) fn announce(&self, records: &[LimitRecord]) {
        for record in records {
            (self.on_record)(record.clone());
        }
        let table = self.members.table();
        for records in records.chunks(RECORDS_PER_DATAGRAM) {
            self.peers
                .publish(&table, |forward| announcement(records, forward));
        }
    }
}

fn announcement(records: &[LimitRecord], forward: bool) -> NodeRequest {
    NodeRequest::Limit(LimitRequest::Announce {
        records: records.to_vec(),
        forward,
    })
}
