//! The vote of one node for the holder of an office.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::time::HolderTime;

/// How long a vote counts, by the clock of its holder, from a time that the holder stated before
/// the vote was cast.
pub(super) const VOTE_TERM: Duration = Duration::from_millis(1_800);
/// How much faster the clock of a voter may go in a term than that of its holder.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// How long a node that has just started waits until it votes: a vote of its former process may
/// count for so long.
pub const VOTE_WAIT: Duration = VOTE_TERM.saturating_add(CLOCK_MARGIN);
/// Interval between two votes for the same holder. Two in a row may be lost.
pub const VOTE_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between two attempts to learn the time of a holder or to get a vote released.
pub const VOTE_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// What a node does with its vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteStep {
    /// Send the vote to this holder; it counts if it states a time that the holder named.
    Cast(ids::NodeId),
    /// Ask this holder to release the vote, which goes to another one.
    Release(ids::NodeId),
    /// Wait until no former holder can count the vote.
    Wait,
}

/// Whom a node gives its vote to.
#[derive(Debug, Clone)]
pub struct OfficeVote {
    holder: Option<ids::NodeId>,
    /// The last time of the holder that came with a vote for it. Without one, no vote counts.
    stated: Option<HolderTime>,
    /// When no other holder can count the vote any more.
    free_at: Instant,
}

impl OfficeVote {
    /// The vote of a node that starts now. Unless the whole fleet starts for the first time, an
    /// earlier process of the node may have just voted.
    pub fn new(now: Instant, first_start: bool) -> Self {
        let wait = if first_start {
            Duration::ZERO
        } else {
            VOTE_WAIT
        };
        Self {
            holder: None,
            stated: None,
            free_at: now + wait,
        }
    }

    /// Votes for a candidate, or prepares to. Another holder may still count the vote: until it
    /// has released it, or the vote has ended, the candidate does not get it. A holder that is
    /// `leaving` hands out nothing more, so its vote is free at once. `heard` is the last time that
    /// the candidate stated; a vote without it only asks for the time and is not bound.
    pub fn step(
        &mut self,
        now: Instant,
        candidate: &ids::NodeId,
        heard: Option<HolderTime>,
        leaving: impl FnOnce(&ids::NodeId) -> bool,
    ) -> VoteStep {
        if heard.is_none() {
            return VoteStep::Cast(candidate.clone());
        }
        match &self.holder {
            Some(holder) if holder == candidate => {}
            Some(holder) if self.free_at > now && !leaving(holder) => {
                return VoteStep::Release(holder.clone());
            }
            None if self.free_at > now => return VoteStep::Wait,
            _ => {
                self.holder = Some(candidate.clone());
                self.stated = None;
            }
        }
        self.stated = self.stated.max(heard);
        self.free_at = now + VOTE_TERM + CLOCK_MARGIN;
        VoteStep::Cast(candidate.clone())
    }

    /// Records that a holder counts no vote of this node any more that states `released` or an
    /// earlier time; returns whether this frees the vote. A reply to an earlier request does not,
    /// if a later vote may count.
    pub fn release(&mut self, now: Instant, holder: &ids::NodeId, released: HolderTime) -> bool {
        let is_current = self.holder.as_ref() == Some(holder);
        let is_free = is_current && self.stated.is_none_or(|stated| stated <= released);
        if is_free {
            self.holder = None;
            self.stated = None;
            self.free_at = now;
        }
        is_free
    }

    /// Whether a holder may still count the vote, or one of an earlier process of this node.
    pub fn is_bound(&self, now: Instant) -> bool {
        self.free_at > now
    }

    /// Until when a holder may count the vote.
    pub const fn bound_until(&self) -> Instant {
        self.free_at
    }

    /// The holder that has the vote, or had it last.
    pub const fn holder(&self) -> Option<&ids::NodeId> {
        self.holder.as_ref()
    }
}
