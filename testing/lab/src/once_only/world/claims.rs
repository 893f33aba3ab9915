//! What a node does with claims: the batchers, and the calls that they ask for.

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    BatchWrite, ClaimAttempt, ClaimDecision, ClaimState, ClaimVerdict, ShardBatcher, ShardId,
    StoredSegment, shard_of,
};
use rand::Rng as _;

use super::{
    ANSWER_TIMEOUT, Event, LATE_WRITES, LOST_ANSWERS, PACE, Protocol, RETENTION, SETTLE_SPAN, Try,
    World,
};

impl<F: FnMut(u64)> World<F> {
    pub(super) fn claim(&mut self, node: usize, request: Box<Try>) {
        if self.protocol == Protocol::OwnerMemory {
            let known = self.nodes[node]
                .memory
                .insert(request.key.clone(), request.token.clone());
            let verdict = match known {
                None => ClaimVerdict::Granted,
                Some(_) => ClaimVerdict::Held(ClaimState::Claimed),
            };
            return self.after(2, Event::Verdict(request, verdict));
        }
        let attempt = ClaimAttempt {
            key: request.key.clone(),
            token: request.token.clone(),
            request: 1,
            expires: UnixMillis::new(self.now + RETENTION),
            settled_by: UnixMillis::new(request.deadline + SETTLE_SPAN),
        };
        let shard = shard_of(&request.key);
        self.nodes[node]
            .waiting
            .insert(request.token.clone(), request);
        let now = self.unix();
        let decided = self.batcher(node, shard).claim(now, attempt);
        self.answer(node, decided);
        self.work(node, shard);
    }

    pub(super) fn batcher(&mut self, node: usize, shard: ShardId) -> &mut ShardBatcher {
        self.nodes[node]
            .shards
            .entry(shard)
            .or_insert_with(|| ShardBatcher::new(shard))
    }

    pub(super) fn answer(&mut self, node: usize, decided: Vec<ClaimDecision>) {
        for ClaimDecision { token, verdict, .. } in decided {
            if let Some(request) = self.nodes[node].waiting.remove(&token) {
                let delay = self.within(5);
                self.after(delay, Event::Verdict(request, verdict));
            }
        }
    }

    /// Starts the next read or update of a shard at a node.
    pub(super) fn work(&mut self, node: usize, shard: ShardId) {
        let now = self.unix();
        let life = self.nodes[node].life;
        if self.nodes[node].busy.contains(&shard) || self.batcher(node, shard).pending() == 0 {
            return;
        }
        if self.batcher(node, shard).needs_load() {
            self.nodes[node].busy.insert(shard);
            self.result.loads += 1;
            let out = self.now < self.out_until;
            let segments = (!out).then(|| self.platform.read(shard));
            let delay = self.within(10);
            return self.after(delay, Event::Loaded(node, life, shard, segments));
        }
        let Some(write) = self.batcher(node, shard).next_write(now) else {
            return;
        };
        self.nodes[node].busy.insert(shard);
        self.result.writes += 1;
        let lost = self.rng.random_bool(LOST_ANSWERS);
        let late = lost && self.rng.random_bool(LATE_WRITES);
        let delay = if late {
            self.within(5_000)
        } else {
            self.within(5)
        };
        self.after(delay, Event::Apply(node, life, write, lost));
    }

    pub(super) fn apply(&mut self, node: usize, life: u64, write: BatchWrite, lost: bool) {
        let shard = write.shard;
        let out = self.now < self.out_until;
        let version = if out {
            None
        } else {
            self.platform.apply(write)
        };
        if lost || out {
            return self.after(ANSWER_TIMEOUT, Event::Written(node, life, shard, None));
        }
        let delay = self.within(5);
        self.after(delay, Event::Written(node, life, shard, version));
    }

    pub(super) fn written(
        &mut self,
        node: usize,
        life: u64,
        shard: ShardId,
        version: Option<ObjectVersion>,
    ) {
        let now = self.unix();
        if let Some(version) = version {
            let decided = self.batcher(node, shard).write_committed(now, version);
            self.answer(node, decided);
        } else {
            self.result.unsure_writes += 1;
            self.batcher(node, shard).write_uncertain();
        }
        self.after(PACE, Event::Ready(node, life, shard));
    }

    pub(super) fn loaded(
        &mut self,
        node: usize,
        life: u64,
        shard: ShardId,
        segments: Option<Vec<StoredSegment>>,
    ) {
        let now = self.unix();
        let delay = match segments {
            Some(segments) => {
                let decided = self.batcher(node, shard).load(now, segments);
                self.answer(node, decided);
                1
            }
            None => ANSWER_TIMEOUT,
        };
        self.after(delay, Event::Ready(node, life, shard));
    }
}
