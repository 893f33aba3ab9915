//! The task that sums what the nodes of a data centre have in flight.
//!
//! Every node runs it, and the relay's is the one that is used: each node tells
//! the relay of its changes, and the relay tells all of them the sums. That
//! takes messages in proportion to the nodes, not to their square.

use std::time::Duration;

use model::ids;
use policy::service::{LoadTotals, UpstreamLoad};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::fleet::NodeUpdate;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::NodeRequest;

/// Counts that wait for the task; when it is full the newest are dropped, since
/// they are told again when they change.
const COUNTS_MAX: usize = 1_024;
/// Time in which changes are gathered before they are told, for each neighbour:
/// a relay sends 250 datagrams a second at most, half a percent of a core.
const GATHER_SPAN: Duration = Duration::from_millis(4);
/// Sums in one datagram; each takes about 50 bytes, and 1,200 fit anywhere.
const SUMS_PER_DATAGRAM: usize = 20;

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct LoadHub {
    counts: mpsc::Sender<(ids::NodeId, Vec<UpstreamLoad>)>,
}

impl LoadHub {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(
        peers: PeerSet,
        members: MemberSet,
        news: mpsc::Sender<NodeUpdate>,
    ) -> Self {
        let (counts, inbox) = mpsc::channel(COUNTS_MAX);
        tokio::spawn(run(peers, members, news, inbox));
        Self { counts }
    }

    /// Takes the counts of one node.
    pub(super) fn take(&self, node: ids::NodeId, loads: Vec<UpstreamLoad>) {
        if let Err(error) = self.counts.try_send((node, loads)) {
            log::debug!(target: "replica", "A count is dropped: {error}.");
        }
    }
}

async fn run(
    peers: PeerSet,
    members: MemberSet,
    news: mpsc::Sender<NodeUpdate>,
    mut inbox: mpsc::Receiver<(ids::NodeId, Vec<UpstreamLoad>)>,
) {
    let mut totals = LoadTotals::default();
    let mut told = Instant::now();
    loop {
        tokio::select! {
            counts = inbox.recv() => {
                let Some((node, loads)) = counts else { return };
                totals.record(Instant::now(), &node, loads);
            }
            () = time::sleep_until(told + gather_span(&members)), if totals.has_changed() => {
                told = Instant::now();
                let sums = totals.take_changed(told);
                tell(&peers, &members, &sums);
                for load in sums {
                    if let Err(error) = news.try_send(NodeUpdate::Load(load)) {
                        log::debug!(target: "replica", "News is dropped: {error}.");
                    }
                }
            }
        }
    }
}

fn gather_span(members: &MemberSet) -> Duration {
    let neighbours = members.table().local_len() - 1;
    GATHER_SPAN * u32::try_from(neighbours).unwrap_or(u32::MAX)
}

fn tell(peers: &PeerSet, members: &MemberSet, sums: &[UpstreamLoad]) {
    let table = members.table();
    let neighbours = table.local_peers();
    for part in sums.chunks(SUMS_PER_DATAGRAM) {
        let request = NodeRequest::LoadSums(part.to_vec());
        for member in &neighbours {
            if !table.is_suspect(&member.node) {
                peers.tell(member, &request);
            }
        }
    }
}
