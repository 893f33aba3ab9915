//! Nodes that claim, batch, pause and die; callers that repeat keys.

mod claims;
mod faults;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    BatchWrite, ClaimKey, ClaimState, ClaimToken, ClaimVerdict, Settlement, ShardBatcher, ShardId,
    StoredSegment, shard_of,
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
const CLAIM_TIMEOUT: u64 = 2_000;
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
const ANSWER_TIMEOUT: u64 = 300;
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
    /// The caller's timeout for a claim ends.
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
        let service = crate::detect::parse_name("book");
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
        let token = crate::detect::parse_name(&format!("n{entry}-{life}-{}", self.result.requests));
        let deadline = self.now + CLAIM_TIMEOUT;
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
        self.after(CLAIM_TIMEOUT, Event::GiveUp(request.clone()));
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

    fn close(&mut self) {
        let false_refusals = self
            .refused
            .iter()
            .filter(|token| self.ran_tokens.contains(token));
        self.result.false_not_run = false_refusals.count() as u64;
        self.result.never_ran = self.keys - self.ran.len() as u64;
    }
}
