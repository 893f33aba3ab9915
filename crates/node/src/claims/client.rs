//! Sends claims and settlements to the node that batches the key's shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::error::{ErrorKind, FleetError};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimVerdict, Settlement, ShardId, shard_of};
use policy::membership::Member;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::task::ClaimShards;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest};

/// Timeout for the reply of a batcher.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of batchers tried for one claim.
const BATCHERS_MAX: usize = 3;
/// Interval between batches of settlements, and pause between attempts to deliver one.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Settlements queued to be sent. When the queue is full, further ones are dropped, and
/// the outcome of their claims later reads as unknown.
const SETTLEMENTS_MAX: usize = 8192;
/// Attempts to deliver settlements before they are dropped.
const SETTLE_ATTEMPTS: usize = 5;

/// Claims keys and settles claims, locally or at other nodes.
#[derive(Clone)]
pub struct ClaimClient {
    shards: ClaimShards,
    peers: PeerSet,
    members: MemberSet,
    settlements: mpsc::Sender<(ClaimKey, Settlement)>,
}

impl ClaimClient {
    /// Starts the task that sends settlements.
    pub fn start(shards: ClaimShards, peers: PeerSet, members: MemberSet) -> Self {
        let (settlements, inbox) = mpsc::channel(SETTLEMENTS_MAX);
        let client = Self {
            shards,
            peers,
            members,
            settlements,
        };
        tokio::spawn(client.clone().send_settlements(inbox));
        client
    }

    /// Claims a key. The attempt may reach two batchers with the same token; both then grant
    /// the key to the same request.
    ///
    /// # Errors
    /// `ClaimUnavailable` when no batcher returned a verdict.
    pub async fn claim(&self, attempt: ClaimAttempt) -> Result<ClaimVerdict, FleetError> {
        let shard = shard_of(&attempt.key);
        let table = self.members.table();
        let batchers = table.batchers(Instant::now(), shard);
        for member in batchers.into_iter().take(BATCHERS_MAX) {
            if member.node == table.own().node {
                return self.shards.claim(attempt).await;
            }
            let request = NodeRequest::Claim(attempt.clone());
            match self.peers.request(&member, &request, CLAIM_TIMEOUT).await {
                Ok(NodeReply::Claim(verdict)) => return Ok(verdict),
                Ok(NodeReply::Failed(reason)) => return Err(unavailable(&reason)),
                Ok(_) => return Err(unavailable("the batcher sent an unexpected reply")),
                Err(error) => {
                    log::info!(target: "claims", "Trying the next batcher of shard {shard}: {error}.");
                }
            }
        }
        Err(unavailable("no batcher replied"))
    }

    /// Queues the outcome of a claimed request to be stored.
    pub fn settle(&self, key: ClaimKey, settlement: Settlement) {
        if self.settlements.try_send((key, settlement)).is_err() {
            log::warn!(target: "claims", "Dropped a settlement: the queue is full.");
        }
    }

    async fn send_settlements(self, mut inbox: mpsc::Receiver<(ClaimKey, Settlement)>) {
        let mut batch = Vec::new();
        while inbox.recv_many(&mut batch, SETTLEMENTS_MAX).await > 0 {
            let mut by_shard: BTreeMap<ShardId, Vec<_>> = BTreeMap::new();
            for (key, settlement) in batch.drain(..) {
                by_shard
                    .entry(shard_of(&key))
                    .or_default()
                    .push((key, settlement));
            }
            for (shard, settlements) in by_shard {
                let client = self.clone();
                tokio::spawn(async move { client.deliver(shard, settlements).await });
            }
            time::sleep(SETTLE_INTERVAL).await;
        }
    }

    async fn deliver(&self, shard: ShardId, settlements: Vec<(ClaimKey, Settlement)>) {
        for _ in 0..SETTLE_ATTEMPTS {
            if self.deliver_once(shard, &settlements).await {
                return;
            }
            time::sleep(SETTLE_INTERVAL).await;
        }
        log::warn!(
            target: "claims",
            "Dropped {} settlements of shard {shard} after {SETTLE_ATTEMPTS} attempts.",
            settlements.len()
        );
    }

    async fn deliver_once(&self, shard: ShardId, settlements: &[(ClaimKey, Settlement)]) -> bool {
        let table = self.members.table();
        let batchers: Vec<Arc<Member>> = table.batchers(Instant::now(), shard);
        let Some(member) = batchers.first() else {
            return false;
        };
        if member.node == table.own().node {
            self.shards.settle(settlements.to_vec()).await;
            return true;
        }
        let request = NodeRequest::Settle(settlements.to_vec());
        let reply = self.peers.request(member, &request, CLAIM_TIMEOUT).await;
        matches!(reply, Ok(NodeReply::Done))
    }
}

fn unavailable(reason: &str) -> FleetError {
    FleetError::new(ErrorKind::ClaimUnavailable, reason)
}
