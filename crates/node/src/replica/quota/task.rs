//! The task that owns the tokens which this node may spend.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::config::WorkspaceQuota;
use model::ids;
use policy::quota::{QuotaGrant, QuotaStock, QuotaToken, SilentHolders, StockReply, VoteStanding};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::draw::{self, SentDraw};
use super::order::HolderOrder;
use super::report::{self, WorkspaceCounts};
use super::{QuotaObserver, QuotaView};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::replica::retry_pool::RetryPoolHandle;

/// Messages queued for the task; requests wait when the queue is full.
pub(super) const COMMANDS_MAX: usize = 1_024;
/// Longest time that a request waits for draws. Then it is rejected.
const TAKE_WAIT_MAX: Duration = Duration::from_millis(150);
/// Interval between two reports of counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What the task needs.
#[derive(Clone)]
pub(in crate::replica) struct QuotaTaskParts {
    pub(in crate::replica) peers: PeerSet,
    pub(in crate::replica) members: MemberSet,
    pub(in crate::replica) retry_pool: RetryPoolHandle,
    pub(in crate::replica) on_counts: QuotaObserver,
}

/// A request that needs a token.
#[derive(Debug)]
pub(super) struct TakeRequest {
    pub(super) workspace: ids::WorkspaceId,
    pub(super) quota: WorkspaceQuota,
    pub(super) reply: oneshot::Sender<Result<QuotaToken, Duration>>,
}

#[derive(Debug)]
pub(super) enum QuotaCommand {
    Take(TakeRequest),
    GiveBack(ids::WorkspaceId, QuotaToken),
    View(ids::WorkspaceId, oneshot::Sender<Option<QuotaView>>),
    /// A draw ended; without a grant if the holder could not be asked.
    Drawn(SentDraw, Option<QuotaGrant>),
    /// A holder is slow to reply to a draw, so another one is asked.
    Slow(SentDraw),
    /// A draw ended after it had been slow.
    DrawnLate(SentDraw, Option<QuotaGrant>),
    /// Requests of a workspace may have waited for too long.
    Settle(ids::WorkspaceId),
}

/// A request that waits for a draw.
#[derive(Debug)]
struct WaitingRequest {
    since: Instant,
    reply: oneshot::Sender<Result<QuotaToken, Duration>>,
}

/// One workspace at this node.
#[derive(Debug)]
struct WorkspaceDesk {
    stock: QuotaStock,
    quota: WorkspaceQuota,
    waiting: VecDeque<WaitingRequest>,
    /// Draws whose holders are slow to reply.
    slow_draws: usize,
    counts: WorkspaceCounts,
}

struct QuotaTask {
    parts: QuotaTaskParts,
    standing: watch::Receiver<VoteStanding>,
    own_inbox: mpsc::WeakSender<QuotaCommand>,
    desks: BTreeMap<ids::WorkspaceId, WorkspaceDesk>,
    order: HolderOrder,
    silent: SilentHolders,
    /// Whether the node was last seen without a holder that counts its vote.
    is_detached: Option<bool>,
}

/// Starts the task; it runs until the last handle is dropped.
pub(super) fn start(
    parts: QuotaTaskParts,
    mut inbox: mpsc::Receiver<QuotaCommand>,
    own_inbox: mpsc::WeakSender<QuotaCommand>,
) {
    let mut task = QuotaTask {
        standing: parts.retry_pool.standing(),
        own_inbox,
        desks: BTreeMap::new(),
        order: HolderOrder::default(),
        silent: SilentHolders::default(),
        is_detached: None,
        parts,
    };
    tokio::spawn(async move {
        let mut report_at = Instant::now() + REPORT_INTERVAL;
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    task.handle(command);
                }
                () = time::sleep_until(report_at), if !task.desks.is_empty() => {
                    report_at = Instant::now() + REPORT_INTERVAL;
                    task.report();
                }
            }
        }
    });
}

impl QuotaTask {
    fn handle(&mut self, command: QuotaCommand) {
        let now = Instant::now();
        match command {
            QuotaCommand::Take(request) => self.take(now, request),
            QuotaCommand::GiveBack(workspace, token) => {
                if let Some(desk) = self.desks.get_mut(&workspace) {
                    desk.counts.counts.spent = desk.counts.counts.spent.saturating_sub(1);
                    desk.stock.give_back(now, token);
                }
            }
            QuotaCommand::View(workspace, reply) => {
                let view = self.desks.get(&workspace).map(|desk| QuotaView {
                    last_refusal: desk.counts.last_refusal(now),
                });
                // An operator who is gone needs no reply.
                let _ = reply.send(view);
            }
            QuotaCommand::Drawn(sent, grant) => self.finish_draw(now, &sent, grant),
            QuotaCommand::Slow(sent) => {
                if let Some(desk) = self.desks.get_mut(&sent.workspace) {
                    desk.slow_draws += 1;
                }
                self.finish_draw(now, &sent, None);
            }
            QuotaCommand::DrawnLate(sent, grant) => self.finish_late_draw(now, &sent, grant),
            QuotaCommand::Settle(workspace) => self.draw_or_settle(now, &workspace),
        }
    }

    fn take(&mut self, now: Instant, request: TakeRequest) {
        let holders = self.holders(now, &request.workspace);
        let standing = self.standing.borrow().clone();
        let desk = self.desks.entry(request.workspace.clone());
        let desk = desk.or_insert_with(|| WorkspaceDesk {
            stock: QuotaStock::new(now),
            quota: request.quota,
            waiting: VecDeque::new(),
            slow_draws: 0,
            counts: WorkspaceCounts::default(),
        });
        desk.quota = request.quota;
        let outcome = desk.stock.take(now, &standing, &request.quota, &holders);
        let waiting = WaitingRequest {
            since: now,
            reply: request.reply,
        };
        match outcome {
            StockReply::Token(token) => desk.grant(now, waiting, token),
            StockReply::Refused(wait) => desk.refuse(now, &request.workspace, waiting, wait),
            StockReply::Wait => desk.waiting.push_back(waiting),
            StockReply::Draw => {
                desk.waiting.push_back(waiting);
                self.draw_or_settle(now, &request.workspace);
            }
        }
    }

    /// Applies the reply to a draw. Requests that still wait are served by another draw, if a
    /// holder is left to ask.
    fn finish_draw(&mut self, now: Instant, sent: &SentDraw, grant: Option<QuotaGrant>) {
        let is_local = self.order.is_local(&sent.holder);
        let Some(desk) = self.desks.get_mut(&sent.workspace) else {
            return;
        };
        if let Some(grant) = grant {
            desk.counts.counts.drawn += u64::from(grant.tokens);
            desk.stock
                .record_grant(now, sent.asked_at, &sent.holder, is_local, &grant);
        } else {
            desk.stock.record_silence();
            self.silent.record(now, sent.holder.clone());
        }
        desk.serve_waiting(now);
        if !desk.waiting.is_empty() {
            self.draw_or_settle(now, &sent.workspace);
        }
    }

    /// Applies the reply to a draw that was slow. The holder can be asked again.
    fn finish_late_draw(&mut self, now: Instant, sent: &SentDraw, grant: Option<QuotaGrant>) {
        let is_local = self.order.is_local(&sent.holder);
        let Some(desk) = self.desks.get_mut(&sent.workspace) else {
            return;
        };
        desk.slow_draws = desk.slow_draws.saturating_sub(1);
        if let Some(grant) = grant {
            self.silent.clear(&sent.holder);
            desk.counts.counts.drawn += u64::from(grant.tokens);
            desk.stock
                .record_late(now, sent.asked_at, &sent.holder, is_local, &grant);
            desk.serve_waiting(now);
        }
        if !desk.waiting.is_empty() && !desk.stock.is_drawing() {
            self.draw_or_settle(now, &sent.workspace);
        }
    }

    /// Makes the next draw for waiting requests, or decides on them without one.
    fn draw_or_settle(&mut self, now: Instant, workspace: &ids::WorkspaceId) {
        let holders = self.holders(now, workspace);
        let standing = self.standing.borrow().clone();
        let Some(desk) = self.desks.get_mut(workspace) else {
            return;
        };
        desk.settle_until(now, workspace, &standing, &holders, |waiting| {
            now >= waiting.since + TAKE_WAIT_MAX
        });
        if desk.waiting.is_empty() || desk.stock.is_drawing() {
            return;
        }
        let plan = desk
            .stock
            .plan_draw(now, &standing, &desk.quota, &holders, desk.waiting.len());
        if let Some(plan) = plan {
            draw::start(&self.parts, &self.own_inbox, workspace, plan);
        } else if let Some(first) = desk.waiting.front()
            && desk.slow_draws > 0
        {
            // The slow reply may bring tokens in time.
            let settle_at = first.since + TAKE_WAIT_MAX;
            draw::settle_at(&self.own_inbox, workspace, settle_at);
        } else {
            desk.settle_until(now, workspace, &standing, &holders, |_| true);
        }
    }

    /// The holders that can be asked, in order.
    fn holders(&mut self, now: Instant, workspace: &ids::WorkspaceId) -> Vec<ids::NodeId> {
        self.order.refresh(now, &self.parts.members.table());
        let silent = &self.silent;
        self.order
            .holders(workspace, |holder| !silent.contains(now, holder))
    }

    fn report(&mut self) {
        let now = Instant::now();
        self.note_standing(now);
        let on_counts = &self.parts.on_counts;
        self.desks.retain(|workspace, desk| {
            report::report(on_counts, workspace, &mut desk.counts.counts);
            let is_refusing = desk.counts.check_refusals(now, workspace);
            is_refusing || !desk.waiting.is_empty() || desk.stock.is_used(now)
        });
    }

    /// Logs when this node loses the holder of its vote, and when it has one again.
    fn note_standing(&mut self, now: Instant) {
        let is_detached = self.standing.borrow().is_detached(now);
        let was_detached = self.is_detached.replace(is_detached);
        match (was_detached, is_detached) {
            (Some(false), true) => log::warn!(
                target: "quota",
                "This node is detached: it spends at the rates that were reserved for it."
            ),
            (Some(true), false) => log::info!(
                target: "quota",
                "This node is attached: a holder counts its vote."
            ),
            _ => {}
        }
    }
}

impl WorkspaceDesk {
    fn grant(&mut self, now: Instant, waiting: WaitingRequest, token: QuotaToken) {
        if waiting.reply.send(Ok(token)).is_ok() {
            self.counts.counts.spent += 1;
        } else {
            self.stock.give_back(now, token);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        workspace: &ids::WorkspaceId,
        waiting: WaitingRequest,
        wait: Duration,
    ) {
        self.counts.record_refusal(now, workspace);
        // A caller that is gone needs no reply.
        let _ = waiting.reply.send(Err(wait));
    }

    /// Serves waiting requests from the tokens that were drawn.
    fn serve_waiting(&mut self, now: Instant) {
        while !self.waiting.is_empty() {
            let Some(token) = self.stock.spend(now) else {
                return;
            };
            if let Some(waiting) = self.waiting.pop_front() {
                self.grant(now, waiting, token);
            }
        }
    }

    /// Decides on waiting requests from the first one on, while the condition holds.
    fn settle_until(
        &mut self,
        now: Instant,
        workspace: &ids::WorkspaceId,
        standing: &VoteStanding,
        holders: &[ids::NodeId],
        is_due: impl Fn(&WaitingRequest) -> bool,
    ) {
        while self.waiting.front().is_some_and(&is_due) {
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            match self.stock.settle(now, standing, &self.quota, holders) {
                Ok(token) => self.grant(now, waiting, token),
                Err(wait) => self.refuse(now, workspace, waiting, wait),
            }
        }
    }
}
