//! Which holder has the vote of a node.

use model::ids;
use tokio::time::Instant;

/// The vote of a node in the office that also holds the quotas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteStanding {
    /// The node itself.
    pub own: ids::NodeId,
    /// The holder that has the vote, or had it last.
    pub holder: Option<ids::NodeId>,
    /// Until when a holder may count the vote.
    pub bound_until: Instant,
    /// Whether the vote is with the node itself, which has less than half of the votes.
    pub is_alone: bool,
}

impl VoteStanding {
    /// The holder that may count the vote; `None` if the node is detached.
    pub fn bound_to(&self, now: Instant) -> Option<&ids::NodeId> {
        self.holder.as_ref().filter(|_| self.bound_until > now)
    }

    /// Whether the node has not voted since it started, and a vote of its former process may count.
    pub fn is_new(&self, now: Instant) -> bool {
        self.holder.is_none() && self.bound_until > now
    }

    /// Whether no holder but the node itself can count the vote. A node whose first vote has not
    /// been cast is not detached: it never was attached.
    pub fn is_detached(&self, now: Instant) -> bool {
        self.bound_until <= now || self.is_alone
    }
}
