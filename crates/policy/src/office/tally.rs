//! The votes that the holder of an office has.

use std::collections::BTreeMap;

use model::{ids, sizes};

use super::grant::OfficeTerm;
use super::time::HolderTime;
use super::vote::VOTE_TERM;

/// A vote, and what its sender knew.
#[derive(Debug, Clone, Copy)]
struct CountedVote {
    ends_at: HolderTime,
    /// Nodes that have a vote: a holder that has just started knows few of them.
    nodes: usize,
}

/// The votes of one office, by the node that gave them. A new process starts without any.
#[derive(Debug, Default)]
pub struct VoteTally {
    votes: BTreeMap<ids::NodeId, CountedVote>,
    /// When votes were released; earlier ones that arrive later do not count.
    released: BTreeMap<ids::NodeId, HolderTime>,
    term: OfficeTerm,
}

impl VoteTally {
    /// Counts a vote for a term from `heard`, the last time of this holder that the sender had
    /// heard when it voted. A vote that is late or repeated does not count for longer. `nodes` is
    /// the number of nodes that have a vote, as far as the sender knows.
    pub fn record(&mut self, now: HolderTime, from: ids::NodeId, heard: HolderTime, nodes: usize) {
        let ends_at = heard.saturating_add(VOTE_TERM);
        let is_released = self.released.get(&from).is_some_and(|at| heard <= *at);
        // The clock of this process never said a later time than now.
        if ends_at <= now || heard > now || is_released {
            return;
        }
        if self.votes.values().all(|vote| vote.ends_at <= now) {
            self.term = self.term.next();
        }
        if !self.votes.contains_key(&from) {
            self.votes.retain(|_, vote| vote.ends_at > now);
        }
        let vote = self.votes.entry(from);
        let vote = vote.or_insert(CountedVote { ends_at, nodes });
        if vote.ends_at <= ends_at {
            *vote = CountedVote { ends_at, nodes };
        }
    }

    /// Counts no vote of a node any more that states the time `now`, which the node is to be told,
    /// or an earlier one.
    pub fn release(&mut self, now: HolderTime, from: ids::NodeId) {
        self.votes.remove(&from);
        self.released
            .retain(|_, at| at.saturating_add(VOTE_TERM) > now);
        self.released.insert(from, now);
    }

    /// The part of all votes that this holder has. `nodes` is the number of nodes that have a
    /// vote, as far as the holder knows.
    pub fn share(&self, now: HolderTime, nodes: usize) -> sizes::Share {
        let [votes, nodes] = [self.voters(now).count(), self.nodes(now, nodes)]
            .map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
        sizes::Share::new(votes / nodes)
    }

    /// The nodes whose votes count.
    pub fn voters(&self, now: HolderTime) -> impl Iterator<Item = &ids::NodeId> {
        let current = self
            .votes
            .iter()
            .filter(move |(_, vote)| vote.ends_at > now);
        current.map(|(voter, _)| voter)
    }

    /// Whether the vote of a node counts.
    pub fn counts(&self, now: HolderTime, node: &ids::NodeId) -> bool {
        self.votes.get(node).is_some_and(|vote| vote.ends_at > now)
    }

    /// The number of nodes that have a vote: `nodes`, or more if voters know of more.
    pub fn nodes(&self, now: HolderTime, nodes: usize) -> usize {
        let current = self.votes.values().filter(|vote| vote.ends_at > now);
        let (votes, nodes) = current.fold((0, nodes.max(1)), |(votes, nodes), vote| {
            (votes + 1, nodes.max(vote.nodes))
        });
        nodes.max(votes)
    }

    /// The current term; a new one begins with the first vote after a time without any.
    pub const fn term(&self) -> OfficeTerm {
        self.term
    }
}
