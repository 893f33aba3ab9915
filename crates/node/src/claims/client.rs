//! Claims a key at whichever node batches its shard.

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

/// How long a batcher may take.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Batchers that are tried for one claim.
const BATCHERS_MAX: usize = 3;
/// How long outcomes wait so that they travel together.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Outcomes that wait to be sent; when it is full they are dropped, and the
/// claims read as unknown later.
const SETTLEMENTS_MAX: usize = 8192;
/// How often an outcome is sent before it is dropped.
const SETTLE_TRIES: usize = 5;

/// Claims keys and settles claims.
#[derive(Clone)]
pub struct ClaimClient {
    shards: ClaimShards,
    peers: PeerSet,
    members: MemberSet,
    settlements: mpsc::Sender<(ClaimKey, Settlement)>,
}

impl ClaimClient {
    /// Starts the task that sends outcomes.
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

    /// Claims a key. The same token may reach two batchers; both grant it to the same request.
    ///
    /// # Errors
    /// `ClaimUnavailable` when no batcher could decide.
    pub async fn claim(&self, attempt: ClaimAttempt) -> Result<ClaimVerdict, FleetError> {
        let shard = shard_of(&attempt.key);
        let table = self.members.table();
        let batchers = table.batchers(Instant::now(), shard);
        for member in batchers.into_iter().take(BATCHERS_MAX) {
            if member.node == table.own().node {
                return self.shards.claim(attempt).await;
            }
            let request = NodeRequest::Claim(attempt.clone());
            match self.peers.ask(&member, &request, CLAIM_TIMEOUT).await {
                Ok(NodeReply::Claim(verdict)) => return Ok(verdict),
                Ok(NodeReply::Unable(why)) => return Err(unavailable(&why)),
                Ok(_) => return Err(unavailable("the batcher's reply makes no sense")),
                Err(error) => {
                    log::info!(target: "claims", "Next batcher for shard {shard}: {error}.");
                }
            }
        }
        Err(unavailable("no batcher answered"))
    }

    /// Stores what became of a claimed request, some time later.
    pub fn settle(&self, key: ClaimKey, settlement: Settlement) {
        if self.settlements.try_send((key, settlement)).is_err() {
            log::warn!(target: "claims", "Dropped an outcome, too many wait.");
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
        for _ in 0..SETTLE_TRIES {
            if self.deliver_once(shard, &settlements).await {
                return;
            }
            time::sleep(SETTLE_INTERVAL).await;
        }
        log::warn!(target: "claims", "Dropped {} outcomes of shard {shard}.", settlements.len());
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
        let reply = self.peers.ask(member, &request, CLAIM_TIMEOUT).await;
        matches!(reply, Ok(NodeReply::Done))
    }
}

fn unavailable(why: &str) -> FleetError {
    FleetError::new(ErrorKind::ClaimUnavailable, why)
}
