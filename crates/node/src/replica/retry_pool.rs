//! The task that owns the retry tokens of a data centre and its part of the quotas, and the vote of
//! this node for its relay.
//!
//! Every node runs the task, but only the relay's pool is used. A relay hands out tokens by the
//! share of its data centre's nodes that vote for it. A former relay loses its balance with its
//! votes. Outside the first start of a fleet, the pool of a new
//! relay is empty, since its predecessor may have spent every token.

use model::ids;
use policy::office::{
    HolderTime, HolderTimes, OfficeTerm, OfficeVote, VOTE_INTERVAL, VOTE_RETRY_INTERVAL, VoteStep,
    VoteTally,
};
use policy::quota::{QuotaDraw, QuotaGrant, VoteStanding};
use policy::retry::{RetryDeposit, RetryPool};
use policy::service::LoadReport;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::load_aggregator::LoadAggregator;
use super::quota::{QuotaHolder, QuotaHolderParts};
use crate::holder_clock::HolderClock;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::office;
use crate::wire::{NodeRequest, OfficeNames, OfficeReply, OfficeRequest};

/// Messages queued for the task. When the queue is full, reports and deposits are dropped, which
/// only reduces the number of retries; loads are reported again.
const COMMANDS_MAX: usize = 1_024;

/// A node that is its own relay with less than this share of the votes is cut off from the others.
const ALONE_SHARE: f64 = 0.5;

#[derive(Debug)]
enum RetryPoolCommand {
    /// Send a report of this node to the relay.
    Report(LoadReport),
    Deposit(RetryDeposit),
    /// Draw a token; replies with the term in which it was granted.
    Draw(ids::ServiceId, oneshot::Sender<Option<OfficeTerm>>),
    /// Draw tokens of a quota; no reply if none are kept.
    DrawQuota(QuotaDraw, oneshot::Sender<QuotaGrant>),
    /// Count the vote of a node; replies with the time of this one.
    Vote {
        from: ids::NodeId,
        heard: Option<HolderTime>,
        voters: usize,
        reply: oneshot::Sender<HolderTime>,
    },
    /// Release the vote of a node; replies with the time of this one.
    Release(ids::NodeId, oneshot::Sender<HolderTime>),
    /// A relay stated its time.
    Heard(ids::NodeId, HolderTime),
    /// A relay released the vote of this node.
    Released(ids::NodeId, HolderTime),
}

/// What the task needs.
#[derive(Clone)]
pub(super) struct RetryPoolParts {
    pub(super) peers: PeerSet,
    pub(super) members: MemberSet,
    pub(super) load_aggregator: LoadAggregator,
    /// Whether the whole fleet starts for the first time.
    pub(super) first_start: bool,
    /// What the quotas need; `None` if none are kept.
    pub(super) quota: Option<QuotaHolderParts>,
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct RetryPoolHandle {
    commands: mpsc::Sender<RetryPoolCommand>,
    standing: watch::Receiver<VoteStanding>,
}

impl RetryPoolHandle {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(parts: RetryPoolParts) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let now = Instant::now();
        let vote = OfficeVote::new(now, parts.first_start);
        let (publisher, standing) = watch::channel(VoteStanding {
            own: parts.members.table().own().node.clone(),
            holder: None,
            bound_until: vote.bound_until(),
            is_alone: false,
        });
        let pool = RelayPool {
            pool: RetryPool::new(now, parts.first_start),
            quota: parts.quota.clone().map(QuotaHolder::new),
            clock: HolderClock::start(),
            tally: VoteTally::default(),
            vote,
            standing: publisher,
            heard: HolderTimes::default(),
            vote_at: now,
            parts,
        };
        tokio::spawn(pool.run(inbox, commands.downgrade()));
        Self { commands, standing }
    }

    /// Subscribes to the vote of this node.
    pub(super) fn standing(&self) -> watch::Receiver<VoteStanding> {
        self.standing.clone()
    }

    /// Draws tokens of a quota; `None` if this node keeps none.
    pub(super) async fn draw_quota(&self, draw: QuotaDraw) -> Option<QuotaGrant> {
        let (sender, reply) = oneshot::channel();
        let command = RetryPoolCommand::DrawQuota(draw, sender);
        self.commands.send(command).await.ok()?;
        reply.await.ok()
    }

    /// Sends this node's loads and deposits to the relay.
    pub(super) fn report(&self, report: LoadReport) {
        self.send_or_drop(RetryPoolCommand::Report(report));
    }

    /// Adds what the requests of one node deposited.
    pub(super) fn deposit(&self, deposit: RetryDeposit) {
        self.send_or_drop(RetryPoolCommand::Deposit(deposit));
    }

    /// Draws one retry token; returns the term in which it was granted, if there was one.
    pub(super) async fn draw(&self, service: ids::ServiceId) -> Option<OfficeTerm> {
        let (sender, reply) = oneshot::channel();
        let command = RetryPoolCommand::Draw(service, sender);
        self.commands.send(command).await.ok()?;
        reply.await.ok()?
    }

    /// Counts the vote of another node for this process.
    pub(super) async fn handle_vote(
        &self,
        from: ids::NodeId,
        heard: Option<HolderTime>,
        voters: u32,
    ) -> OfficeReply {
        let voters = usize::try_from(voters).unwrap_or(usize::MAX);
        self.ask_task(|reply| RetryPoolCommand::Vote {
            from,
            heard,
            voters,
            reply,
        })
        .await
    }

    /// Releases the vote of another node for this process.
    pub(super) async fn handle_release(&self, from: ids::NodeId) -> OfficeReply {
        self.ask_task(|reply| RetryPoolCommand::Release(from, reply))
            .await
    }

    async fn ask_task(
        &self,
        command: impl FnOnce(oneshot::Sender<HolderTime>) -> RetryPoolCommand,
    ) -> OfficeReply {
        let (sender, reply) = oneshot::channel();
        if self.commands.send(command(sender)).await.is_err() {
            return OfficeReply::NotHolder;
        }
        reply
            .await
            .map_or(OfficeReply::NotHolder, OfficeReply::Time)
    }

    fn send_or_drop(&self, command: RetryPoolCommand) {
        if let Err(error) = self.commands.try_send(command) {
            log::debug!(target: "replica", "Dropped a report to the pool of retry tokens: {error}.");
        }
    }
}

/// The pools of this node, its votes as a relay, and its vote for one.
struct RelayPool {
    parts: RetryPoolParts,
    pool: RetryPool,
    /// The part of the quotas; `None` if none are kept.
    quota: Option<QuotaHolder>,
    clock: HolderClock,
    tally: VoteTally,
    vote: OfficeVote,
    standing: watch::Sender<VoteStanding>,
    heard: HolderTimes,
    vote_at: Instant,
}

impl RelayPool {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<RetryPoolCommand>,
        own_inbox: mpsc::WeakSender<RetryPoolCommand>,
    ) {
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.handle(command);
                }
                () = time::sleep_until(self.vote_at) => {
                    self.cast_vote(&own_inbox);
                    self.update_quota(true);
                    self.publish_standing();
                }
            }
        }
    }

    fn handle(&mut self, command: RetryPoolCommand) {
        match command {
            RetryPoolCommand::Report(report) => self.report(report),
            RetryPoolCommand::Deposit(deposit) => self.deposit(&deposit),
            RetryPoolCommand::Draw(service, reply) => {
                // When the requesting node has timed out, the drawn token is lost.
                let _ = reply.send(self.draw(&service));
            }
            RetryPoolCommand::DrawQuota(draw, reply) => {
                self.update_quota(false);
                let now = self.clock.now();
                if let Some(quota) = &mut self.quota {
                    // When the requesting node has timed out, the drawn tokens are lost.
                    let _ = reply.send(quota.draw(now, &draw));
                }
            }
            RetryPoolCommand::Vote {
                from,
                heard,
                voters,
                reply,
            } => {
                let now = self.clock.now();
                if let Some(heard) = heard {
                    self.tally.record(now, from, heard, voters);
                }
                let _ = reply.send(now);
            }
            RetryPoolCommand::Release(from, reply) => {
                let now = self.clock.now();
                self.tally.release(now, from);
                let _ = reply.send(now);
            }
            RetryPoolCommand::Heard(relay, time) => {
                if self.heard.hear(&relay, time) {
                    self.vote_at = Instant::now();
                }
            }
            RetryPoolCommand::Released(relay, time) => {
                self.heard.hear(&relay, time);
                if self.vote.release(Instant::now(), &relay, time) {
                    self.vote_at = Instant::now();
                    self.publish_standing();
                }
            }
        }
    }

    /// Mints quota tokens by the votes that count now.
    fn update_quota(&mut self, recount: bool) {
        let Some(quota) = &mut self.quota else {
            return;
        };
        let table = self.parts.members.table();
        if recount {
            quota.recount(&table);
        }
        let own = &table.own().node;
        let may_hold = self.vote.holder().is_none_or(|holder| holder == own);
        quota.update(self.clock.now(), &self.tally, &table, may_hold);
    }

    /// Publishes which relay has the vote of this node.
    fn publish_standing(&self) {
        if self.quota.is_none() {
            return;
        }
        let table = self.parts.members.table();
        let own = &table.own().node;
        let is_own = self.vote.holder() == Some(own);
        let votes = || {
            let voters = table.local_voters(Instant::now());
            self.tally.share(self.clock.now(), voters).get()
        };
        self.standing.send_replace(VoteStanding {
            own: own.clone(),
            holder: self.vote.holder().cloned(),
            bound_until: self.vote.bound_until(),
            is_alone: is_own && votes() < ALONE_SHARE,
        });
    }

    /// Votes for the relay that this node knows.
    fn cast_vote(&mut self, own_inbox: &mpsc::WeakSender<RetryPoolCommand>) {
        let now = Instant::now();
        self.vote_at = now + VOTE_INTERVAL;
        let table = self.parts.members.table();
        let own = table.own();
        self.heard.retain(|node| table.find(node).is_some());
        self.heard.hear(&own.node, self.clock.now());
        let is_leaving = |node: &ids::NodeId| table.is_leaving(now, node);
        let relay = table.snapshot_relay(now, &own.data_centre);
        let relay_node = relay.as_ref().map_or(&own.node, |relay| &relay.node);
        let heard = self.heard.last(relay_node);
        let step = self.vote.step(now, relay_node, heard, is_leaving);
        if heard.is_none() || !matches!(step, VoteStep::Cast(_)) {
            self.vote_at = now + VOTE_RETRY_INTERVAL;
        }
        let voters = table.local_voters(now);
        let from = own.node.clone();
        match step {
            VoteStep::Cast(holder) if holder == own.node => {
                if let Some(heard) = heard {
                    self.tally.record(self.clock.now(), from, heard, voters);
                }
            }
            VoteStep::Cast(holder) => {
                let Some(member) = table.find(&holder) else {
                    return;
                };
                let vote = OfficeRequest::Vote {
                    holder: holder.clone(),
                    from,
                    offices: OfficeNames::RetryTokens,
                    heard,
                    voters: u32::try_from(voters).unwrap_or(u32::MAX),
                };
                let to_command = move |time| RetryPoolCommand::Heard(holder, time);
                office::ask_holder(&self.parts.peers, member, vote, own_inbox, to_command);
            }
            VoteStep::Release(holder) if holder == own.node => {
                let released = self.clock.now();
                self.tally.release(released, from);
                if self.vote.release(now, &holder, released) {
                    self.vote_at = now;
                }
            }
            VoteStep::Release(holder) => {
                let Some(member) = table.find(&holder) else {
                    return;
                };
                let release = OfficeRequest::Release {
                    holder: holder.clone(),
                    from,
                    offices: OfficeNames::RetryTokens,
                };
                let to_command = move |time| RetryPoolCommand::Released(holder, time);
                office::ask_holder(&self.parts.peers, member, release, own_inbox, to_command);
            }
            VoteStep::Wait => {}
        }
    }

    /// Sends a report to the relay. While another relay may still count this node's vote, its
    /// deposits are lost.
    fn report(&mut self, mut report: LoadReport) {
        let now = Instant::now();
        let table = self.parts.members.table();
        let own = table.own();
        let relay = table.snapshot_relay(now, &own.data_centre);
        let relay_node = relay.as_ref().map_or(&own.node, |relay| &relay.node);
        if self
            .vote
            .holder()
            .is_some_and(|holder| holder != relay_node)
        {
            report.deposit = None;
        }
        let from = own.node.clone();
        match relay {
            Some(relay) if relay.node != own.node => {
                let message = NodeRequest::Loads { from, report };
                self.parts.peers.notify(&relay, &message);
            }
            _ => {
                if let Some(deposit) = report.deposit {
                    self.deposit(&deposit);
                }
                self.parts.load_aggregator.record(from, report.loads);
            }
        }
    }

    fn deposit(&mut self, deposit: &RetryDeposit) {
        let now = Instant::now();
        let [share, full_share] = self.shares(now);
        self.pool.limit_balances(now, share, full_share);
        self.pool.deposit(now, deposit, full_share);
        self.pool.limit_balances(now, share, full_share);
    }

    fn draw(&mut self, service: &ids::ServiceId) -> Option<OfficeTerm> {
        let now = Instant::now();
        let [share, full_share] = self.shares(now);
        self.pool.limit_balances(now, share, full_share);
        let is_granted = self.pool.draw(now, service);
        is_granted.then(|| self.tally.term())
    }

    /// The share of the fleet's limit that this node may hold, and the one with all votes.
    fn shares(&self, now: Instant) -> [f64; 2] {
        let table = self.parts.members.table();
        let [local_nodes, all_nodes] = [table.local_len(), table.len()]
            .map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
        let full_share = local_nodes / all_nodes.max(1.0);
        if table.own().leaving {
            return [0.0, full_share];
        }
        let votes = self.tally.share(self.clock.now(), table.local_voters(now));
        [full_share * votes.get(), full_share]
    }
}
