//! Nodes that claim, batch, pause and die; callers that repeat keys.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    BatchWrite, ClaimKey, ClaimOrder, ClaimState, ClaimToken, ClaimVerdict, Decided, Settlement,
    ShardBatcher, ShardId, StoredSegment, shard_of,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::platform::Platform;
use super::protocol::Protocol;

/// Nodes.
const NODES: usize = 8;
/// New keys in a millisecond, on average.
const KEYS_PER_MILLI: f64 = 1.0;
/// Tries of one key, at most.
const TRIES_MAX: u64 = 4;
/// How far apart the tries of a key lie at most.
const TRY_SPREAD: u64 = 8_000;
/// How long an entry waits for a claim.
const CLAIM_PATIENCE: u64 = 2_000;
/// How long a claim is remembered.
const RETENTION: u64 = 40_000;
/// How long after its claim a request is settled for certain.
const SETTLE_SPAN: u64 = 4_000;
/// Pause of a shard between two updates.
const PACE: u64 = 50;
/// Share of claims that go to a node that is not the shard's batcher.
const MISROUTED: f64 = 0.02;
/// Share of updates whose answer is lost.
const LOST_ANSWERS: f64 = 0.01;
/// Share of lost updates that take effect much later.
const LATE_WRITES: f64 = 0.3;
/// When a node learns that an answer is lost.
const ANSWER_PATIENCE: u64 = 300;
/// Mean time between two kills, pauses and outages.
const KILL_INTERVAL: u64 = 4_000;
const PAUSE_INTERVAL: u64 = 1_500;
const OUTAGE_INTERVAL: u64 = 30_000;
/// Length of a pause and of an outage, at most.
const PAUSE_SPAN: u64 = 6_000;
const OUTAGE_SPAN: u64 = 3_000;
/// How often nodes tidy.
const TIDY_INTERVAL: u64 = 1_000;

/// What a run showed.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    pub(super) requests: u64,
    pub(super) runs: u64,
    pub(super) second_runs: u64,
    pub(super) false_not_run: u64,
    pub(super) not_run: u64,
    pub(super) held: u64,
    pub(super) never_ran: u64,
    pub(super) writes: u64,
    pub(super) unsure_writes: u64,
    pub(super) loads: u64,
}

#[derive(Debug, Clone)]
struct Try {
    key: ClaimKey,
    token: ClaimToken,
    entry: usize,
    /// The life of the entry; a killed entry answers nobody.
    life: u64,
    deadline: u64,
}

enum Event {
    NewKey,
    Send(ClaimKey),
    /// A claim reaches a node.
    Claim(usize, Box<Try>),
    /// A verdict reaches the entry.
    Verdict(Box<Try>, ClaimVerdict),
    /// The caller's patience for a claim ends.
    GiveUp(Box<Try>),
    /// The upstream runs the action.
    Run(Box<Try>),
    /// The entry learns the outcome.
    Ended(Box<Try>),
    Settle(usize, ClaimKey, Settlement),
    Apply(usize, u64, BatchWrite, bool),
    Written(usize, u64, ShardId, Option<ObjectVersion>),
    Loaded(usize, u64, ShardId, Option<Vec<StoredSegment>>),
    Ready(usize, u64, ShardId),
    Kill,
    Pause,
    Outage,
    Tidy,
}

#[derive(Default)]
struct Node {
    life: u64,
    paused_until: u64,
    shards: BTreeMap<ShardId, ShardBatcher>,
    busy: HashSet<ShardId>,
    waiting: HashMap<ClaimToken, Box<Try>>,
    memory: HashMap<ClaimKey, ClaimToken>,
}

struct World<F> {
    rng: SmallRng,
    protocol: Protocol,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: HashMap<u64, Event>,
    count: u64,
    nodes: Vec<Node>,
    platform: Platform,
    out_until: u64,
    wanted: u64,
    ran: HashMap<ClaimKey, u32>,
    ran_tokens: HashSet<ClaimToken>,
    refused: Vec<ClaimToken>,
    answered: HashSet<ClaimToken>,
    keys: u64,
    result: RunResult,
    progress: F,
}

/// Runs until so many requests were made and answered.
pub(super) fn run(
    seed: u64,
    wanted: u64,
    protocol: Protocol,
    progress: impl FnMut(u64),
) -> RunResult {
    let mut world = World {
        rng: SmallRng::seed_from_u64(seed),
        protocol,
        now: 1,
        events: BinaryHeap::new(),
        bodies: HashMap::new(),
        count: 0,
        nodes: (0..NODES).map(|_| Node::default()).collect(),
        platform: Platform::default(),
        out_until: 0,
        wanted,
        ran: HashMap::new(),
        ran_tokens: HashSet::new(),
        refused: Vec::new(),
        answered: HashSet::new(),
        keys: 0,
        result: RunResult::default(),
        progress,
    };
    world.run();
    world.result
}

impl<F: FnMut(u64)> World<F> {
    fn run(&mut self) {
        for event in [
            Event::NewKey,
            Event::Kill,
            Event::Pause,
            Event::Outage,
            Event::Tidy,
        ] {
            self.after(1, event);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let Some(event) = self.bodies.remove(&number) else {
                continue;
            };
            self.take(event);
        }
        self.close();
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count)));
        self.bodies.insert(self.count, event);
    }

    fn within(&mut self, most: u64) -> u64 {
        self.rng.random_range(1..=most)
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.now)
    }

    fn active(&self) -> bool {
        self.result.requests < self.wanted
    }

    /// Puts an event of a paused node off; an event of an earlier life is dropped.
    fn reaches(&mut self, node: usize, life: Option<u64>) -> Option<u64> {
        if life.is_some_and(|life| life != self.nodes[node].life) {
            return None;
        }
        Some(self.nodes[node].paused_until.saturating_sub(self.now))
    }

    fn take(&mut self, event: Event) {
        let target = match &event {
            Event::Claim(node, _) | Event::Settle(node, ..) => Some((*node, None)),
            Event::Written(node, life, ..)
            | Event::Loaded(node, life, ..)
            | Event::Ready(node, life, _) => Some((*node, Some(*life))),
            Event::Verdict(request, _) | Event::Ended(request) | Event::GiveUp(request) => {
                Some((request.entry, Some(request.life)))
            }
            _ => None,
        };
        if let Some((node, life)) = target {
            match self.reaches(node, life) {
                None => return,
                Some(0) => {}
                Some(delay) => return self.after(delay, event),
            }
        }
        match event {
            Event::NewKey => self.new_key(),
            Event::Send(key) => self.send(key),
            Event::Claim(node, request) => self.claim(node, request),
            Event::Verdict(request, verdict) => self.verdict(request, verdict),
            Event::GiveUp(request) => self.give_up(*request),
            Event::Run(request) => self.run_action(request),
            Event::Ended(request) => self.settle(&request, ClaimState::Ran(200)),
            Event::Settle(node, key, settlement) => {
                self.batcher(node, shard_of(&key))
                    .settle(key.clone(), settlement);
                self.work(node, shard_of(&key));
            }
            Event::Apply(node, life, write, lost) => self.apply(node, life, write, lost),
            Event::Written(node, life, shard, version) => self.written(node, life, shard, version),
            Event::Loaded(node, life, shard, segments) => self.loaded(node, life, shard, segments),
            Event::Ready(node, _, shard) => {
                self.nodes[node].busy.remove(&shard);
                self.work(node, shard);
            }
            Event::Kill => self.kill(),
            Event::Pause => self.pause(),
            Event::Outage => self.outage(),
            Event::Tidy => self.tidy(),
        }
    }

    fn new_key(&mut self) {
        if !self.active() {
            return;
        }
        self.keys += 1;
        let service = super::super::detect::name("book");
        let key = ClaimKey::of(&service, None, &self.keys.to_string());
        for _ in 0..self.rng.random_range(1..=TRIES_MAX) {
            let delay = self.within(TRY_SPREAD);
            self.after(delay, Event::Send(key.clone()));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "pauses are short"
        )]
        let pause = (-self.rng.random_range(f64::EPSILON..1.0).ln() / KEYS_PER_MILLI) as u64;
        self.after(pause, Event::NewKey);
    }

    fn send(&mut self, key: ClaimKey) {
        self.result.requests += 1;
        if self.result.requests.is_multiple_of(20_000) {
            (self.progress)(self.result.requests);
        }
        let entry = self.rng.random_range(0..NODES);
        let life = self.nodes[entry].life;
        let token =
            super::super::detect::name(&format!("n{entry}-{life}-{}", self.result.requests));
        let deadline = self.now + CLAIM_PATIENCE;
        let request = Box::new(Try {
            key,
            token,
            entry,
            life,
            deadline,
        });
        if self.protocol == Protocol::Nothing {
            return self.after(1, Event::Run(request));
        }
        self.after(CLAIM_PATIENCE, Event::GiveUp(request.clone()));
        let node = self.route(&request.key);
        let delay = self.within(5);
        self.after(delay, Event::Claim(node, request));
    }

    fn route(&mut self, key: &ClaimKey) -> usize {
        if self.rng.random_bool(MISROUTED) {
            return self.rng.random_range(0..NODES);
        }
        usize::try_from(shard_of(key).get()).unwrap_or(0) % NODES
    }

    fn claim(&mut self, node: usize, request: Box<Try>) {
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
        let order = ClaimOrder {
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
        let decided = self.batcher(node, shard).claim(now, order);
        self.answer(node, decided);
        self.work(node, shard);
    }

    fn batcher(&mut self, node: usize, shard: ShardId) -> &mut ShardBatcher {
        self.nodes[node]
            .shards
            .entry(shard)
            .or_insert_with(|| ShardBatcher::new(shard))
    }

    fn answer(&mut self, node: usize, decided: Vec<Decided>) {
        for Decided { token, verdict, .. } in decided {
            if let Some(request) = self.nodes[node].waiting.remove(&token) {
                let delay = self.within(5);
                self.after(delay, Event::Verdict(request, verdict));
            }
        }
    }

    /// Starts the next read or update of a shard at a node.
    fn work(&mut self, node: usize, shard: ShardId) {
        let now = self.unix();
        let life = self.nodes[node].life;
        if self.nodes[node].busy.contains(&shard) || self.batcher(node, shard).waiting() == 0 {
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

    fn apply(&mut self, node: usize, life: u64, write: BatchWrite, lost: bool) {
        let shard = write.shard;
        let out = self.now < self.out_until;
        let version = if out {
            None
        } else {
            self.platform.apply(write)
        };
        if lost || out {
            return self.after(ANSWER_PATIENCE, Event::Written(node, life, shard, None));
        }
        let delay = self.within(5);
        self.after(delay, Event::Written(node, life, shard, version));
    }

    fn written(&mut self, node: usize, life: u64, shard: ShardId, version: Option<ObjectVersion>) {
        let now = self.unix();
        if let Some(version) = version {
            let decided = self.batcher(node, shard).written(now, version);
            self.answer(node, decided);
        } else {
            self.result.unsure_writes += 1;
            self.batcher(node, shard).unsure();
        }
        self.after(PACE, Event::Ready(node, life, shard));
    }

    fn loaded(
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
            None => ANSWER_PATIENCE,
        };
        self.after(delay, Event::Ready(node, life, shard));
    }

    fn verdict(&mut self, request: Box<Try>, verdict: ClaimVerdict) {
        let in_time = self.now < request.deadline;
        if !in_time || !self.answered.insert(request.token.clone()) {
            return;
        }
        match verdict {
            ClaimVerdict::Granted => {
                let delay = self.within(40);
                self.after(delay, Event::Run(request));
            }
            ClaimVerdict::Held(_) | ClaimVerdict::Mismatch => self.result.held += 1,
        }
    }

    fn give_up(&mut self, request: Try) {
        if self.answered.insert(request.token.clone()) {
            self.result.not_run += 1;
            self.settle(&request, ClaimState::NotRun);
            self.refused.push(request.token);
        }
    }

    /// The action arrives at the upstream, whatever became of the entry meanwhile.
    fn run_action(&mut self, request: Box<Try>) {
        self.result.runs += 1;
        let runs = self.ran.entry(request.key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.result.second_runs += 1;
        }
        self.ran_tokens.insert(request.token.clone());
        let delay = self.within(20);
        self.after(delay, Event::Ended(request));
    }

    fn settle(&mut self, request: &Try, state: ClaimState) {
        if self.protocol != Protocol::Claims {
            return;
        }
        let node = self.route(&request.key);
        let settlement = Settlement {
            token: request.token.clone(),
            state,
        };
        let delay = 200 + self.within(200);
        self.after(delay, Event::Settle(node, request.key.clone(), settlement));
    }

    fn kill(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let life = self.nodes[node].life + 1;
        self.nodes[node] = Node {
            life,
            ..Node::default()
        };
        self.again(KILL_INTERVAL, Event::Kill);
    }

    fn pause(&mut self) {
        let node = self.rng.random_range(0..NODES);
        self.nodes[node].paused_until = self.now + self.within(PAUSE_SPAN);
        self.again(PAUSE_INTERVAL, Event::Pause);
    }

    fn outage(&mut self) {
        self.out_until = self.now + self.within(OUTAGE_SPAN);
        self.again(OUTAGE_INTERVAL, Event::Outage);
    }

    fn tidy(&mut self) {
        let now = self.unix();
        for node in 0..NODES {
            if self.nodes[node].paused_until > self.now {
                continue;
            }
            let platform = &mut self.platform;
            for (shard, batcher) in &mut self.nodes[node].shards {
                while let Some((number, version)) = batcher.take_expired(now) {
                    platform.delete(*shard, number, version);
                }
            }
            self.withdraw_late(node);
        }
        self.again(TIDY_INTERVAL * 2, Event::Tidy);
    }

    /// Withdraws claims whose callers have gone.
    fn withdraw_late(&mut self, node: usize) {
        let now = self.now;
        let Node {
            waiting, shards, ..
        } = &mut self.nodes[node];
        waiting.retain(|token, request| {
            let waits = request.deadline > now;
            if let Some(batcher) = shards.get_mut(&shard_of(&request.key)).filter(|_| !waits) {
                batcher.withdraw(&request.key, token);
            }
            waits
        });
    }

    fn again(&mut self, interval: u64, event: Event) {
        if self.active() {
            let delay = self.within(interval * 2);
            self.after(delay, event);
        }
    }

    fn close(&mut self) {
        let false_refusals = self
            .refused
            .iter()
            .filter(|token| self.ran_tokens.contains(token));
        self.result.false_not_run = false_refusals.count() as u64;
        self.result.never_ran = self.keys - self.ran.len() as u64;
    }
}
