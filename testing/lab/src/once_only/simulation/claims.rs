//! Claims at a node: the batchers, and the platform calls that they require.

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    BatchWrite, ClaimAttempt, ClaimDecision, ClaimState, ClaimVerdict, ShardBatcher, ShardId,
    StoredSegment, shard_of,
};
use rand::Rng as _;

use super::{
    CLAIM_RETENTION_MILLIS, Event, KeyedRequest, LATE_WRITE_SHARE, LOST_RESPONSE_SHARE, Protocol,
    RESPONSE_TIMEOUT_MILLIS, SETTLE_WAIT_MILLIS, Simulation, WRITE_INTERVAL_MILLIS,
};

impl<F: FnMut(u64)> Simulation<F> {
    /// Handles a claim that has reached a node.
    pub(super) fn claim(&mut self, node: usize, request: Box<KeyedRequest>) {
        if self.protocol == Protocol::OwnerMemory {
            let previous = self.nodes[node]
                .memory
                .insert(request.key.clone(), request.token.clone());
            let verdict = match previous {
                None => ClaimVerdict::Granted,
                Some(_) => ClaimVerdict::Held(ClaimState::Claimed),
            };
            return self.schedule_after(2, Event::Verdict(request, verdict));
        }
        let attempt = ClaimAttempt {
            key: request.key.clone(),
            token: request.token.clone(),
            request: 1,
            expires: UnixMillis::new(self.now + CLAIM_RETENTION_MILLIS),
            settled_by: UnixMillis::new(request.deadline + SETTLE_WAIT_MILLIS),
        };
        let shard = shard_of(&request.key);
        self.nodes[node]
            .waiting_claims
            .insert(request.token.clone(), request);
        let now = self.unix_now();
        let decided = self.batcher(node, shard).claim(now, attempt);
        self.deliver_verdicts(node, decided);
        self.start_next_call(node, shard);
    }

    /// Returns the batcher of a shard at a node, creating it at first use.
    pub(super) fn batcher(&mut self, node: usize, shard: ShardId) -> &mut ShardBatcher {
        self.nodes[node]
            .shards
            .entry(shard)
            .or_insert_with(|| ShardBatcher::new(shard))
    }

    /// Sends verdicts to the entry nodes that wait for them.
    pub(super) fn deliver_verdicts(&mut self, node: usize, decided: Vec<ClaimDecision>) {
        for ClaimDecision { token, verdict, .. } in decided {
            if let Some(request) = self.nodes[node].waiting_claims.remove(&token) {
                let delay = self.draw_delay(5);
                self.schedule_after(delay, Event::Verdict(request, verdict));
            }
        }
    }

    /// Starts the next read or update of a shard at a node, unless one is in progress.
    pub(super) fn start_next_call(&mut self, node: usize, shard: ShardId) {
        let now = self.unix_now();
        let incarnation = self.nodes[node].incarnation;
        if self.nodes[node].busy_shards.contains(&shard) || self.batcher(node, shard).pending() == 0
        {
            return;
        }
        if self.batcher(node, shard).needs_load() {
            self.nodes[node].busy_shards.insert(shard);
            self.result.shard_reads += 1;
            let in_outage = self.now < self.outage_until;
            let segments = (!in_outage).then(|| self.platform.read_shard(shard));
            let delay = self.draw_delay(10);
            return self
                .schedule_after(delay, Event::LoadEnded(node, incarnation, shard, segments));
        }
        let Some(write) = self.batcher(node, shard).next_write(now) else {
            return;
        };
        self.nodes[node].busy_shards.insert(shard);
        self.result.writes += 1;
        let response_lost = self.rng.random_bool(LOST_RESPONSE_SHARE);
        let late = response_lost && self.rng.random_bool(LATE_WRITE_SHARE);
        let delay = if late {
            self.draw_delay(5_000)
        } else {
            self.draw_delay(5)
        };
        self.schedule_after(
            delay,
            Event::ApplyWrite(node, incarnation, write, response_lost),
        );
    }

    /// Applies an update at the platform, unless it is in an outage.
    pub(super) fn apply_write(
        &mut self,
        node: usize,
        incarnation: u64,
        write: BatchWrite,
        response_lost: bool,
    ) {
        let shard = write.shard;
        let in_outage = self.now < self.outage_until;
        let version = if in_outage {
            None
        } else {
            self.platform.apply(write)
        };
        if response_lost || in_outage {
            return self.schedule_after(
                RESPONSE_TIMEOUT_MILLIS,
                Event::WriteEnded(node, incarnation, shard, None),
            );
        }
        let delay = self.draw_delay(5);
        self.schedule_after(delay, Event::WriteEnded(node, incarnation, shard, version));
    }

    /// Handles the end of an update; `None` when it was refused or its response was lost.
    pub(super) fn finish_write(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: ShardId,
        version: Option<ObjectVersion>,
    ) {
        let now = self.unix_now();
        if let Some(version) = version {
            let decided = self.batcher(node, shard).write_committed(now, version);
            self.deliver_verdicts(node, decided);
        } else {
            self.result.uncertain_writes += 1;
            self.batcher(node, shard).write_uncertain();
        }
        self.schedule_after(
            WRITE_INTERVAL_MILLIS,
            Event::ShardReady(node, incarnation, shard),
        );
    }

    /// Handles the end of a read; `None` when the platform did not respond.
    pub(super) fn finish_load(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: ShardId,
        segments: Option<Vec<StoredSegment>>,
    ) {
        let now = self.unix_now();
        let delay = match segments {
            Some(segments) => {
                let decided = self.batcher(node, shard).load(now, segments);
                self.deliver_verdicts(node, decided);
                1
            }
            None => RESPONSE_TIMEOUT_MILLIS,
        };
        self.schedule_after(delay, Event::ShardReady(node, incarnation, shard));
    }
}
