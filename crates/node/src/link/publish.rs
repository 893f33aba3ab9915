//! Notifications for all nodes.

use policy::membership::MemberTable;
use tokio::time::Instant;

use super::PeerSet;
use crate::wire::NodeRequest;

impl PeerSet {
    /// Sends a notification to every other node: directly to the nodes of this data centre,
    /// and to each other data centre through a node there that forwards it.
    ///
    /// `message` creates the notification; its argument tells whether to forward it.
    pub fn publish(&self, table: &MemberTable, message: impl Fn(bool) -> NodeRequest) {
        self.notify_local(table, &message(false));
        let now = Instant::now();
        let own_centre = &table.own().data_centre;
        let centres = table.data_centres().into_iter();
        let forwarders = centres
            .filter(|centre| centre != own_centre)
            .filter_map(|centre| table.remote_forwarder(now, &centre));
        let forwarders: Vec<_> = forwarders.collect();
        self.notify_all(table, &forwarders, &message(true));
    }

    /// Sends a notification to the other nodes of this data centre.
    pub fn notify_local(&self, table: &MemberTable, request: &NodeRequest) {
        self.notify_all(table, &table.local_peers(), request);
    }
}
