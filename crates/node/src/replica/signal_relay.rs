//! The task that spreads suspicion signals over a data centre and to the others.
//!
//! Every node runs the task, but nodes send their signals to the relay of their data centre
//! only. It sends batches to the other nodes there, and to the relays of the other data
//! centres, which do the same. A node receives as many messages in a large fleet as in a small
//! one.

use std::time::Duration;

use model::ids;
use policy::membership::MemberTable;
use policy::suspicion::{SignalBatch, SignalSource, SuspicionSignal};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::fleet::{NodeUpdate, publish_update};
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::NodeRequest;

/// Queued messages. When the queue is full, the newest signals are dropped.
const MESSAGES_MAX: usize = 1_024;
/// Time over which signals are collected, for each other node of the data centre, so that the
/// datagrams that a relay sends in a second do not grow with the nodes.
const BATCH_INTERVAL_PER_NODE: Duration = Duration::from_millis(1);
/// Signals in one datagram. A signal takes about 45 bytes, and a datagram of 1,200 bytes
/// passes on every network path.
const SIGNALS_PER_DATAGRAM: usize = 22;

/// A handle to the task.
#[derive(Debug, Clone)]
pub(super) struct SignalRelay {
    messages: mpsc::Sender<(SignalSource, Vec<SuspicionSignal>)>,
}

impl SignalRelay {
    /// Starts the task; it ends with the last handle.
    pub(super) fn start(
        peers: PeerSet,
        members: MemberSet,
        updates: mpsc::Sender<NodeUpdate>,
    ) -> Self {
        let (messages, inbox) = mpsc::channel(MESSAGES_MAX);
        tokio::spawn(run(peers, members, updates, inbox));
        Self { messages }
    }

    /// Sends signals to the nodes of this data centre, and those raised in it to the others.
    pub(super) fn spread(&self, source: SignalSource, signals: Vec<SuspicionSignal>) {
        if let Err(error) = self.messages.try_send((source, signals)) {
            log::debug!(target: "replica", "Dropped suspicion signals: {error}.");
        }
    }
}

async fn run(
    peers: PeerSet,
    members: MemberSet,
    updates: mpsc::Sender<NodeUpdate>,
    mut inbox: mpsc::Receiver<(SignalSource, Vec<SuspicionSignal>)>,
) {
    let mut batch = SignalBatch::default();
    let mut last_sent = Instant::now();
    loop {
        tokio::select! {
            message = inbox.recv() => {
                let Some((source, signals)) = message else { return };
                let dropped = batch.add(&source, signals);
                if dropped > 0 {
                    log::debug!(target: "replica", "Dropped {dropped} suspicion signals: the batch is full.");
                }
            }
            () = time::sleep_until(last_sent + batch_interval(&members)), if !batch.is_empty() => {
                last_sent = Instant::now();
                let batch = std::mem::take(&mut batch);
                let table = members.table();
                send_to_local(&peers, &table, &batch);
                send_to_remote(&peers, &table, &batch);
                for signal in batch.for_node(&table.own().node) {
                    publish_update(&updates, NodeUpdate::Signal(signal));
                }
            }
        }
    }
}

fn batch_interval(members: &MemberSet) -> Duration {
    let local_peers = members.table().local_len() - 1;
    BATCH_INTERVAL_PER_NODE * u32::try_from(local_peers).unwrap_or(u32::MAX)
}

fn send_to_local(peers: &PeerSet, table: &MemberTable, batch: &SignalBatch) {
    let sources = batch.local_sources();
    let (from, others): (Vec<_>, Vec<_>) = table
        .local_peers()
        .into_iter()
        .partition(|member| sources.contains(&member.node));
    for message in messages(&batch.all(), false) {
        peers.notify_all(table, &others, &message);
    }
    for member in from {
        let signals = batch.for_node(&member.node);
        for message in messages(&signals, false) {
            peers.notify_all(table, std::slice::from_ref(&member), &message);
        }
    }
}

fn send_to_remote(peers: &PeerSet, table: &MemberTable, batch: &SignalBatch) {
    let signals = batch.for_other_data_centres();
    if signals.is_empty() {
        return;
    }
    let now = Instant::now();
    let own = &table.own().data_centre;
    let centres = table.data_centres().into_iter();
    let relays = centres
        .filter(|centre: &ids::DataCentreId| centre != own)
        .filter_map(|centre| table.snapshot_relay(now, &centre));
    let relays: Vec<_> = relays.collect();
    for message in messages(&signals, true) {
        peers.notify_all(table, &relays, &message);
    }
}

fn messages(signals: &[SuspicionSignal], forward: bool) -> impl Iterator<Item = NodeRequest> {
    let chunks = signals.chunks(SIGNALS_PER_DATAGRAM);
    chunks.map(move |chunk| NodeRequest::Signals {
        signals: chunk.to_vec(),
        forward,
    })
}
