//! The tokens of one workspace at a node.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::config::WorkspaceQuota;
use model::ids;
use tokio::time::Instant;

use super::message::{QuotaGrant, RESERVATION_TTL, TOKEN_TTL, saved_max};
use super::recent::RecentCount;
use super::standing::VoteStanding;

/// Time for which a draw should last, in seconds. Half of the lifetime of a token, so that few
/// end unused.
const BATCH_SECONDS: f64 = 0.1;
/// Most tokens of one draw.
const BATCH_MAX: u32 = 1_000;
/// Memory of the rates of requests.
const RATE_MEMORY: Duration = Duration::from_secs(1);
/// Time after which a caller is told to return if no holder stated one.
const UNSTATED_WAIT: Duration = Duration::from_millis(300);
/// Longest time after which a caller is told to return. Callers follow it up to a third of the
/// time that they wait.
const REFUSAL_MAX: Duration = Duration::from_secs(1);

/// The right to run one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    /// When it ends.
    pub ends_at: Instant,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StockReply {
    /// It may run.
    Token(QuotaToken),
    /// It waits for the draw that is in progress.
    Wait,
    /// It waits for a draw that is to be made.
    Draw,
    /// It is over the quota; there may be room after this time.
    Refused(Duration),
}

/// A draw to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawPlan {
    /// The holder to ask.
    pub holder: ids::NodeId,
    /// The number of tokens to ask for.
    pub count: u32,
    /// Thousandths of a token to hand over.
    pub deposit_millitokens: u32,
}

/// A rate that a holder reserved for this node.
#[derive(Debug, Clone)]
struct ReservedRate {
    holder: ids::NodeId,
    rate: f64,
    ends_at: Instant,
}

/// The tokens of one workspace at a node, and what the node knows about the next ones.
#[derive(Debug)]
pub struct QuotaStock {
    tokens: VecDeque<(Instant, u32)>,
    /// Until when holders have no tokens, as they stated.
    closed_until: BTreeMap<ids::NodeId, Instant>,
    is_drawing: bool,
    reserved: Option<ReservedRate>,
    /// Parts of a token saved at the reserved rate.
    saved: f64,
    saved_at: Option<Instant>,
    asked: RecentCount,
    spent: RecentCount,
    refused: RecentCount,
    decayed_at: Instant,
}

impl QuotaStock {
    /// An empty stock.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            closed_until: BTreeMap::new(),
            is_drawing: false,
            reserved: None,
            saved: 0.0,
            saved_at: None,
            asked: RecentCount::default(),
            spent: RecentCount::default(),
            refused: RecentCount::default(),
            decayed_at: now,
        }
    }

    /// Whether the stock is worth keeping: it holds something or was used lately.
    pub fn is_used(&self, now: Instant) -> bool {
        let is_reserved = self
            .reserved
            .as_ref()
            .is_some_and(|reserved| reserved.ends_at > now);
        is_reserved || self.is_drawing || now < self.decayed_at + RESERVATION_TTL
    }

    /// Whether a draw is in progress.
    pub const fn is_drawing(&self) -> bool {
        self.is_drawing
    }

    /// Decides on a request. `holders` are the ones that can be asked now, in order.
    pub fn take(
        &mut self,
        now: Instant,
        standing: &VoteStanding,
        quota: &WorkspaceQuota,
        holders: &[ids::NodeId],
    ) -> StockReply {
        self.decay(now);
        self.asked.add(1);
        if let Some(token) = self.spend(now) {
            return StockReply::Token(token);
        }
        let is_detached = standing.is_detached(now);
        if is_detached && let Some(token) = self.spend_reserved(now, standing, quota) {
            return StockReply::Token(token);
        }
        if self.is_drawing {
            return StockReply::Wait;
        }
        if self.open_holder(now, holders).is_some() {
            return StockReply::Draw;
        }
        if let Some(token) = self.spend_reserved(now, standing, quota) {
            return StockReply::Token(token);
        }
        StockReply::Refused(self.refuse(now, holders))
    }

    /// The next draw for waiting requests; `None` if no holder is worth asking.
    pub fn plan_draw(
        &mut self,
        now: Instant,
        standing: &VoteStanding,
        quota: &WorkspaceQuota,
        holders: &[ids::NodeId],
        waiting: usize,
    ) -> Option<DrawPlan> {
        let holder = self.open_holder(now, holders)?.clone();
        self.decay(now);
        let waiting = u32::try_from(waiting).unwrap_or(BATCH_MAX);
        // The request that waits is counted in the rate.
        let further = whole(self.asked.rate(RATE_MEMORY) * BATCH_SECONDS, BATCH_MAX);
        let further = further.saturating_sub(1);
        self.is_drawing = true;
        let count = waiting.max(1).saturating_add(further).min(BATCH_MAX);
        Some(DrawPlan {
            deposit_millitokens: self.take_deposit(now, standing, quota, &holder),
            holder,
            count,
        })
    }

    /// Records the reply of a holder to a draw of `asked_at`. Only the holder of the node's own
    /// data centre, `is_local`, reserves a rate.
    pub fn record_grant(
        &mut self,
        now: Instant,
        asked_at: Instant,
        holder: &ids::NodeId,
        is_local: bool,
        grant: &QuotaGrant,
    ) {
        self.is_drawing = false;
        self.record_late(now, asked_at, holder, is_local, grant);
        self.closed_until.retain(|_, until| *until > now);
        if grant.wait_ms > 0 {
            self.closed_until.insert(holder.clone(), now + grant.wait());
        }
        if !is_local {
            return;
        }
        if grant.reserved.get() > 0.0 {
            self.reserved = Some(ReservedRate {
                holder: holder.clone(),
                rate: grant.reserved.get(),
                ends_at: asked_at + RESERVATION_TTL,
            });
        } else if !self.is_reserved_by_other(holder) {
            self.reserved = None;
        }
    }

    /// Records the tokens of a reply to a draw that was given up, and the end of what a former
    /// holder reserved.
    pub fn record_late(
        &mut self,
        now: Instant,
        asked_at: Instant,
        holder: &ids::NodeId,
        is_local: bool,
        grant: &QuotaGrant,
    ) {
        let ends_at = asked_at + TOKEN_TTL;
        if grant.tokens > 0 && ends_at > now {
            self.tokens.push_back((ends_at, grant.tokens));
        }
        if is_local && grant.complete && self.is_reserved_by_other(holder) {
            self.reserved = None;
        }
    }

    fn is_reserved_by_other(&self, holder: &ids::NodeId) -> bool {
        let reserved = self.reserved.as_ref();
        reserved.is_some_and(|reserved| reserved.holder != *holder)
    }

    /// Records that a draw got no reply in time, or from a process that is no holder.
    pub const fn record_silence(&mut self) {
        self.is_drawing = false;
    }

    /// Decides on a request that waited and for which no draw is made any more.
    ///
    /// # Errors
    /// When there may be room for it.
    pub fn settle(
        &mut self,
        now: Instant,
        standing: &VoteStanding,
        quota: &WorkspaceQuota,
        holders: &[ids::NodeId],
    ) -> Result<QuotaToken, Duration> {
        let token = self.spend(now);
        let token = token.or_else(|| self.spend_reserved(now, standing, quota));
        token.ok_or_else(|| self.refuse(now, holders))
    }

    /// Spends a token that was drawn.
    pub fn spend(&mut self, now: Instant) -> Option<QuotaToken> {
        while self
            .tokens
            .front()
            .is_some_and(|(ends_at, _)| *ends_at <= now)
        {
            self.tokens.pop_front();
        }
        let (ends_at, count) = self.tokens.front_mut()?;
        let token = QuotaToken { ends_at: *ends_at };
        *count -= 1;
        if *count == 0 {
            self.tokens.pop_front();
        }
        self.spent.add(1);
        Some(token)
    }

    /// Spends at the reserved rate, unless the holder that reserved it may count the node's vote.
    fn spend_reserved(
        &mut self,
        now: Instant,
        standing: &VoteStanding,
        quota: &WorkspaceQuota,
    ) -> Option<QuotaToken> {
        self.save(now, standing, quota);
        if self.saved < 1.0 {
            return None;
        }
        self.saved -= 1.0;
        self.spent.add(1);
        Some(QuotaToken { ends_at: now })
    }

    /// What is handed over to a holder: all that was saved, if it has the node's vote.
    fn take_deposit(
        &mut self,
        now: Instant,
        standing: &VoteStanding,
        quota: &WorkspaceQuota,
        holder: &ids::NodeId,
    ) -> u32 {
        if standing.is_alone || standing.bound_to(now) != Some(holder) {
            return 0;
        }
        self.save(now, standing, quota);
        let millitokens = whole(self.saved * 1_000.0, u32::MAX);
        self.saved -= f64::from(millitokens) / 1_000.0;
        millitokens
    }

    /// Saves parts of tokens at the reserved rate.
    fn save(&mut self, now: Instant, standing: &VoteStanding, quota: &WorkspaceQuota) {
        let reserved = self.reserved.as_ref().filter(|reserved| {
            reserved.ends_at > now && standing.bound_to(now) != Some(&reserved.holder)
        });
        let Some(reserved) = reserved else {
            self.saved = 0.0;
            self.saved_at = None;
            return;
        };
        let since = self.saved_at.unwrap_or_else(|| {
            // A vote that nobody has may have ended before this request.
            if standing.bound_to(now).is_none() {
                standing.bound_until
            } else {
                now
            }
        });
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let rate = reserved.rate.min(quota.rate.get());
        self.saved = rate.mul_add(elapsed, self.saved).min(saved_max(rate));
        self.saved_at = Some(now);
    }

    /// Takes back a token of a request that certainly did not run.
    pub fn give_back(&mut self, now: Instant, token: QuotaToken) {
        if token.ends_at > now {
            self.tokens.push_front((token.ends_at, 1));
        }
    }

    /// Counts a refused request; returns when there may be room for it.
    pub fn refuse(&mut self, now: Instant, holders: &[ids::NodeId]) -> Duration {
        self.decay(now);
        self.refused.add(1);
        let closed = holders
            .iter()
            .filter_map(|holder| self.closed_until.get(holder));
        let wait = closed
            .min()
            .map_or(UNSTATED_WAIT, |until| until.saturating_duration_since(now));
        // With more callers over the quota than within it, those that return together would be
        // refused again.
        let [spent, refused] = [&self.spent, &self.refused].map(|count| count.rate(RATE_MEMORY));
        let backlog = Duration::from_secs_f64((refused / (spent + 1.0)).min(1.0));
        wait.max(backlog.min(REFUSAL_MAX))
    }

    /// The first holder that did not state that it has no tokens now.
    fn open_holder<'h>(&self, now: Instant, holders: &'h [ids::NodeId]) -> Option<&'h ids::NodeId> {
        holders.iter().find(|holder| {
            let until = self.closed_until.get(*holder);
            until.is_none_or(|until| *until <= now)
        })
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        for count in [&mut self.asked, &mut self.spent, &mut self.refused] {
            count.decay(elapsed, RATE_MEMORY);
        }
        self.decayed_at = now;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range first"
)]
fn whole(amount: f64, limit: u32) -> u32 {
    amount.clamp(0.0, f64::from(limit)) as u32
}
