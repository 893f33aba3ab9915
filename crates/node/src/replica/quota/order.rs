//! In which order a node asks the holders of the data centres.

use std::sync::Arc;
use std::time::Duration;

use model::ids;
use policy::membership::MemberTable;
use policy::rendezvous;
use tokio::time::Instant;

/// How long the relays of an unchanged member table are taken as they were found; finding them
/// reads all members. Only suspicions that end change the relays of such a table.
const RELAYS_TTL: Duration = Duration::from_secs(1);

/// A relay with its data centre.
type CentreRelay = (ids::DataCentreId, ids::NodeId);

/// The relays that this node knows, its own data centre's first.
#[derive(Debug, Default)]
pub(super) struct HolderOrder {
    relays: Vec<CentreRelay>,
    found: Option<(Instant, Arc<MemberTable>)>,
}

impl HolderOrder {
    /// Finds the relays again if the members changed or they were found some time ago.
    pub(super) fn refresh(&mut self, now: Instant, table: &Arc<MemberTable>) {
        let is_current = |(at, found): &(Instant, Arc<MemberTable>)| {
            now < *at + RELAYS_TTL && Arc::ptr_eq(found, table)
        };
        if self.found.as_ref().is_some_and(is_current) {
            return;
        }
        self.found = Some((now, Arc::clone(table)));
        let own = table.own();
        let mut centres = table.data_centres();
        centres.sort_by_key(|centre| *centre != own.data_centre);
        self.relays.clear();
        for centre in centres {
            let relay = table.snapshot_relay(now, &centre);
            let is_own = centre == own.data_centre;
            let relay = relay.map(|relay| relay.node.clone());
            // Without an available node in its data centre, the node itself is the relay.
            if let Some(node) = relay.or_else(|| is_own.then(|| own.node.clone())) {
                self.relays.push((centre, node));
            }
        }
    }

    /// The holders to ask about a workspace: that of the own data centre, then those of the
    /// others in an order that is fixed for the workspace.
    pub(super) fn holders(
        &self,
        workspace: &ids::WorkspaceId,
        is_asked: impl Fn(&ids::NodeId) -> bool,
    ) -> Vec<ids::NodeId> {
        let Some((own, others)) = self.relays.split_first() else {
            return Vec::new();
        };
        let others = rendezvous::rank(workspace.as_str(), others, |(centre, _)| centre.as_str());
        let relays = std::iter::once(own).chain(others);
        let holders = relays.map(|(_, node)| node);
        holders.filter(|node| is_asked(node)).cloned().collect()
    }

    /// Whether a holder is that of this node's data centre.
    pub(super) fn is_local(&self, holder: &ids::NodeId) -> bool {
        self.relays.first().is_some_and(|(_, own)| own == holder)
    }
}
