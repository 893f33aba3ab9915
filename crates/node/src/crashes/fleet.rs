//! Reports crashes to all nodes, and handles the reports of other nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::fingerprint::RequestFingerprint;
use policy::membership::Member;
use policy::quarantine::{CrashReport, RequestStanding};
use policy::rendezvous;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::task::{self, COMMANDS_MAX, CrashCommand};
use crate::link::{ContactGap, PeerSet};
use crate::members::MemberSet;
use crate::wire::{CrashReply, CrashRequest, NodeReply, NodeRequest};

/// Timeout for drawing a trial. A request that gets no reply in time is rejected.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for the list of crashes of another node.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The requests that are not clear, with what is known of each.
pub(super) type Standings = Arc<HashMap<RequestFingerprint, RequestStanding>>;

/// What the sharing of crashes depends on.
#[derive(Clone)]
pub struct CrashParts {
    /// Connections to other nodes.
    pub peers: PeerSet,
    /// The members of the fleet.
    pub members: MemberSet,
}

/// A handle to a node's part in the sharing of crashes.
#[derive(Clone)]
pub struct CrashFleet {
    parts: CrashParts,
    commands: mpsc::Sender<CrashCommand>,
    standings: watch::Receiver<Standings>,
    contact: ContactGap,
}

impl CrashFleet {
    /// Starts the task; it ends with the last handle.
    pub fn start(parts: CrashParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let (publisher, standings) = watch::channel(Standings::default());
        tokio::spawn(task::run(parts.clone(), publisher, inbox));
        let fleet = Self {
            parts,
            commands,
            standings,
            contact: ContactGap::new(),
        };
        tokio::spawn(fleet.clone().fetch_from_first());
        fleet
    }

    /// Fetches the crashes from the first node that this one finds, so that it knows the
    /// quarantined requests before others make contact.
    async fn fetch_from_first(self) {
        let mut tables = self.parts.members.watch();
        let found = tables.wait_for(|table| !table.is_empty()).await;
        let Ok(table) = found.map(|table| Arc::clone(&table)) else {
            return;
        };
        let own = &table.own().node;
        if let Some(member) = table.all().find(|member| member.node != *own)
            && self.contact.record()
        {
            self.fetch(Arc::clone(member)).await;
        }
    }

    /// What is known of a request.
    pub fn standing(&self, request: RequestFingerprint) -> RequestStanding {
        let standings = self.standings.borrow();
        standings.get(&request).copied().unwrap_or_default()
    }

    /// Reports to all nodes that an upstream crashed while it ran a request.
    pub fn report(&self, report: CrashReport) {
        self.send_or_drop(CrashCommand::Report(report));
    }

    /// Reports to all nodes that a suspect completed a run.
    pub fn report_completed(&self, request: RequestFingerprint) {
        self.send_or_drop(CrashCommand::Completed(request));
    }

    /// Draws the trial of a quarantined request from the node that owns its trials.
    pub async fn draw_trial(&self, request: RequestFingerprint) -> bool {
        let table = self.parts.members.table();
        let available = table.available(Instant::now());
        let job = format!("trial/{request}");
        let owner = rendezvous::first(&job, &available, |member| member.node.as_str());
        let Some(owner) = owner.filter(|owner| owner.node != table.own().node) else {
            return self.draw_here(request).await;
        };
        let message = NodeRequest::Crash(CrashRequest::DrawTrial(request));
        let reply = self
            .parts
            .peers
            .request(owner, &message, TRIAL_TIMEOUT)
            .await;
        match reply {
            Ok(NodeReply::Crash(CrashReply::Trial(granted))) => granted,
            other => {
                log::info!(target: "crashes", "Node {} granted no trial: {other:?}.", owner.node);
                false
            }
        }
    }

    async fn draw_here(&self, request: RequestFingerprint) -> bool {
        let (sender, reply) = oneshot::channel();
        let command = CrashCommand::DrawTrial(request, sender);
        match self.commands.send(command).await {
            Ok(()) => reply.await.unwrap_or(false),
            Err(_) => false,
        }
    }

    /// Handles the request of another node.
    pub async fn handle_request(&self, request: CrashRequest) -> NodeReply {
        match request {
            CrashRequest::Reports { reports, forward } => {
                if forward {
                    let message = task::reports_message(&reports, false);
                    self.forward(&message);
                }
                self.send_or_drop(CrashCommand::Apply(reports));
                NodeReply::Done
            }
            CrashRequest::Completed { request, forward } => {
                if forward {
                    let message = task::completed_message(request, false);
                    self.forward(&message);
                }
                self.send_or_drop(CrashCommand::ApplyCompleted(request));
                NodeReply::Done
            }
            CrashRequest::Records { records, forward } => {
                if forward {
                    let message = task::records_message(&records, false);
                    self.forward(&message);
                }
                self.send_or_drop(CrashCommand::ApplyRecords(records));
                NodeReply::Done
            }
            CrashRequest::DrawTrial(request) => {
                NodeReply::Crash(CrashReply::Trial(self.draw_here(request).await))
            }
            CrashRequest::List => {
                let (sender, reply) = oneshot::channel();
                let sent = self.commands.send(CrashCommand::List(sender)).await;
                let records = match sent {
                    Ok(()) => reply.await.unwrap_or_default(),
                    Err(_) => Vec::new(),
                };
                NodeReply::Crash(CrashReply::Records(records))
            }
        }
    }

    /// Records a message from another node. After a time without any, this node may have
    /// missed reports, so it fetches the crashes that the other one remembers.
    pub fn record_contact(&self, from: &Member) {
        if self.contact.record() {
            let fleet = self.clone();
            let from = Arc::new(from.clone());
            tokio::spawn(async move { fleet.fetch(from).await });
        }
    }

    async fn fetch(&self, from: Arc<Member>) {
        let request = NodeRequest::Crash(CrashRequest::List);
        let reply = self
            .parts
            .peers
            .request(&from, &request, LIST_TIMEOUT)
            .await;
        match reply {
            Ok(NodeReply::Crash(CrashReply::Records(records))) => {
                self.send_or_drop(CrashCommand::ApplyRecords(records));
            }
            other => {
                log::info!(target: "crashes", "Node {} sent no crashes: {other:?}.", from.node);
                self.contact.reopen();
            }
        }
    }

    fn forward(&self, message: &NodeRequest) {
        let table = self.parts.members.table();
        self.parts.peers.notify_local(&table, message);
    }

    fn send_or_drop(&self, command: CrashCommand) {
        if let Err(error) = self.commands.try_send(command) {
            log::warn!(target: "crashes", "Dropped a message about crashes: {error}.");
        }
    }
}
