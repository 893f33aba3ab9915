//! Nodes that stated that they leave, by the time of the statement.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

/// How long a message that says otherwise may be one from before the statement. Exchanges between
/// nodes end after 1 s at most. After that it is from the next process under the same name.
const LATE_MAX: Duration = Duration::from_secs(3);
/// Time after which a node that stated nothing since has ended, or was replaced by a process that
/// did not contact this node.
const LEAVING_MAX: Duration = Duration::from_mins(1);

/// When nodes last stated that they leave.
#[derive(Debug, Clone, Default)]
pub struct LeavingNodes {
    stated: BTreeMap<ids::NodeId, Instant>,
}

impl LeavingNodes {
    /// Records that a node stated that it leaves.
    pub fn record(&mut self, now: Instant, node: ids::NodeId) {
        self.stated.retain(|_, at| now < *at + LEAVING_MAX);
        self.stated.insert(node, now);
    }

    /// Whether a message of the node that does not say that it leaves may be late; true if the
    /// time of its statement is unknown.
    pub fn outweighs_contact(&self, now: Instant, node: &ids::NodeId) -> bool {
        let stated = self.stated.get(node);
        stated.is_none_or(|at| now < *at + LATE_MAX)
    }

    /// Whether the statement of a node still holds; true if its time is unknown.
    pub fn is_in_force(&self, now: Instant, node: &ids::NodeId) -> bool {
        let stated = self.stated.get(node);
        stated.is_none_or(|at| now < *at + LEAVING_MAX)
    }

    /// Forgets the statement of a node.
    pub fn remove(&mut self, node: &ids::NodeId) {
        self.stated.remove(node);
    }
}
