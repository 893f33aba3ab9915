//! The task that sums the requests in flight over the nodes of a data centre.
//!
//! Every node runs the task, but only the relay's sums are used: each node reports
//! its changes to the relay, and the relay sends the sums to all of them. The number
//! of messages grows with the number of nodes, not with its square.

use std::time::Duration;

use model::ids;
use policy::service::{LoadTotals, UpstreamLoad};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::fleet::NodeUpdate;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::NodeRequest;

/// Queued load reports. When the queue is full, the newest reports are dropped,
/// since a node reports its counts again when they change.
const REPORTS_MAX: usize = 1_024;
/// Time over which changes are collected before the sums are published, for each
/// other node of the data centre. With sums that fit one datagram, a relay sends at
/// most 250 datagrams a second, which takes half a percent of a core.
const PUBLISH_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Sums in one datagram. A sum takes about 50 bytes, and a datagram of 1,200 bytes
/// passes on every network path.
const SUMS_PER_DATAGRAM: usize = 20;

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct LoadAggregator {
    reports: mpsc::Sender<(ids::NodeId, Vec<UpstreamLoad>)>,
}

impl LoadAggregator {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(
        peers: PeerSet,
        members: MemberSet,
        updates: mpsc::Sender<NodeUpdate>,
    ) -> Self {
        let (reports, inbox) = mpsc::channel(REPORTS_MAX);
        tokio::spawn(run(peers, members, updates, inbox));
        Self { reports }
    }

    /// Records the requests in flight of one node.
    pub(super) fn record(&self, node: ids::NodeId, loads: Vec<UpstreamLoad>) {
        if let Err(error) = self.reports.try_send((node, loads)) {
            log::debug!(target: "replica", "Dropped a load report: {error}.");
        }
    }
}

async fn run(
    peers: PeerSet,
    members: MemberSet,
    updates: mpsc::Sender<NodeUpdate>,
    mut inbox: mpsc::Receiver<(ids::NodeId, Vec<UpstreamLoad>)>,
) {
    let mut totals = LoadTotals::default();
    let mut last_published = Instant::now();
    loop {
        tokio::select! {
            report = inbox.recv() => {
                let Some((node, loads)) = report else { return };
                totals.record(Instant::now(), &node, loads);
            }
            () = time::sleep_until(last_published + publish_interval(&members)), if totals.has_changed() => {
                last_published = Instant::now();
                let sums = totals.take_changed(last_published);
                publish(&peers, &members, &sums);
                for load in sums {
                    if let Err(error) = updates.try_send(NodeUpdate::Load(load)) {
                        log::debug!(target: "replica", "Dropped a load update: {error}.");
                    }
                }
            }
        }
    }
}

fn publish_interval(members: &MemberSet) -> Duration {
    let local_peers = members.table().local_len() - 1;
    PUBLISH_INTERVAL_PER_NODE * u32::try_from(local_peers).unwrap_or(u32::MAX)
}

fn publish(peers: &PeerSet, members: &MemberSet, sums: &[UpstreamLoad]) {
    let table = members.table();
    let local_peers = table.local_peers();
    for chunk in sums.chunks(SUMS_PER_DATAGRAM) {
        let request = NodeRequest::LoadSums(chunk.to_vec());
        peers.notify_all(&table, &local_peers, &request);
    }
}
