//! The simulation: nodes that batch claims, pause and are killed, and callers that send
//! several requests with the same key.

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

use super::platform::SimulatedPlatform;
use super::protocol::Protocol;

/// Nodes of the fleet; each is an entry and a batcher.
const NODE_COUNT: usize = 8;
/// Mean rate of new keys.
const KEYS_PER_MILLI: f64 = 1.0;
/// Limit on the requests with the same key.
const REQUESTS_PER_KEY_MAX: u64 = 4;
/// Time from the generation of a key within which all its requests are sent.
const REQUEST_SPREAD_MILLIS: u64 = 8_000;
/// How long an entry waits for the verdict on a claim.
const CLAIM_TIMEOUT_MILLIS: u64 = 2_000;
/// How long a claim is kept.
const CLAIM_RETENTION_MILLIS: u64 = 40_000;
/// Time after the deadline of a claim at which it counts as settled.
const SETTLE_WAIT_MILLIS: u64 = 4_000;
/// Time between the end of an update and the next platform call for the shard at a node.
const WRITE_INTERVAL_MILLIS: u64 = 50;
/// Share of claims and settlements that go to a random node in place of the shard's batcher.
const MISROUTED_SHARE: f64 = 0.02;
/// Share of updates whose response is lost.
const LOST_RESPONSE_SHARE: f64 = 0.01;
/// Share of the updates without a response that take effect up to 5 s later.
const LATE_WRITE_SHARE: f64 = 0.3;
/// Time after which a node treats a platform call without a response as failed.
const RESPONSE_TIMEOUT_MILLIS: u64 = 300;
/// Mean time between two kills, over all nodes.
const KILL_INTERVAL_MILLIS: u64 = 4_000;
/// Mean time between two pauses, over all nodes.
const PAUSE_INTERVAL_MILLIS: u64 = 1_500;
/// Mean time between two outages of the platform.
const OUTAGE_INTERVAL_MILLIS: u64 = 30_000;
/// Limit on the length of a pause.
const PAUSE_MILLIS_MAX: u64 = 6_000;
/// Limit on the length of an outage.
const OUTAGE_MILLIS_MAX: u64 = 3_000;
/// Half of the mean time between two clean-ups.
const CLEAN_UP_INTERVAL_MILLIS: u64 = 1_000;

/// The counts of one run.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    /// Keyed requests sent.
    pub(super) requests: u64,
    /// Actions run by the upstream.
    pub(super) runs: u64,
    /// Actions run again under the same key.
    pub(super) second_runs: u64,
    /// Requests reported as not run although their action ran.
    pub(super) false_not_run: u64,
    /// Requests reported as not run.
    pub(super) not_run: u64,
    /// Requests whose key was already claimed by another one.
    pub(super) already_claimed: u64,
    /// Keys of which no request ran.
    pub(super) keys_never_run: u64,
    /// Updates sent to the platform.
    pub(super) writes: u64,
    /// Updates that were refused or whose response was lost.
    pub(super) uncertain_writes: u64,
    /// Reads of a whole shard.
    pub(super) shard_reads: u64,
}

/// One request with a key.
#[derive(Debug, Clone)]
struct KeyedRequest {
    key: ClaimKey,
    token: ClaimToken,
    /// Index of the entry node.
    entry: usize,
    /// Incarnation of the entry; after a kill, its requests get no response.
    incarnation: u64,
    /// When the entry stops waiting for a verdict.
    deadline: u64,
}

/// An event; numbers are the index of the node and its incarnation.
enum Event {
    /// A caller uses a new key.
    NewKey,
    /// A caller sends a request with a key.
    Send(ClaimKey),
    /// A claim reaches a node.
    Claim(usize, Box<KeyedRequest>),
    /// A verdict reaches the entry.
    Verdict(Box<KeyedRequest>, ClaimVerdict),
    /// The entry's wait for a verdict ends.
    ClaimTimeout(Box<KeyedRequest>),
    /// The upstream runs the action.
    RunAction(Box<KeyedRequest>),
    /// The entry learns the outcome.
    ActionEnded(Box<KeyedRequest>),
    /// The outcome of a request reaches a node.
    Settle(usize, ClaimKey, Settlement),
    /// An update reaches the platform; the flag says whether its response is lost.
    ApplyWrite(usize, u64, BatchWrite, bool),
    /// A node learns the result of an update.
    WriteEnded(usize, u64, ShardId, Option<ObjectVersion>),
    /// A node learns the result of a read.
    LoadEnded(usize, u64, ShardId, Option<Vec<StoredSegment>>),
    /// A node may make the next platform call for a shard.
    ShardReady(usize, u64, ShardId),
    /// A node is killed.
    Kill,
    /// A node is suspended.
    Pause,
    /// The platform becomes unavailable.
    Outage,
    /// Every node cleans up.
    CleanUp,
}

/// The state of a node, which a kill discards.
#[derive(Default)]
struct Node {
    /// Number of times that the node was killed.
    incarnation: u64,
    paused_until: u64,
    shards: BTreeMap<ShardId, ShardBatcher>,
    /// Shards with a platform call in progress or in the interval after it.
    busy_shards: HashSet<ShardId>,
    /// Claims that wait for a verdict.
    waiting_claims: HashMap<ClaimToken, Box<KeyedRequest>>,
    /// Keys seen, for [`Protocol::OwnerMemory`].
    memory: HashMap<ClaimKey, ClaimToken>,
}

struct Simulation<F> {
    rng: SmallRng,
    protocol: Protocol,
    now: u64,
    /// Time and number of each scheduled event, ordered by both.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    event_bodies: HashMap<u64, Event>,
    event_count: u64,
    nodes: Vec<Node>,
    platform: SimulatedPlatform,
    outage_until: u64,
    requests_wanted: u64,
    runs_by_key: HashMap<ClaimKey, u32>,
    tokens_run: HashSet<ClaimToken>,
    /// Tokens of the requests reported as not run.
    tokens_refused: Vec<ClaimToken>,
    /// Tokens of the requests that had a verdict or timed out.
    tokens_answered: HashSet<ClaimToken>,
    key_count: u64,
    result: RunResult,
    progress: F,
}

/// Runs until `requests_wanted` requests were sent and every event was handled.
pub(super) fn run(
    seed: u64,
    requests_wanted: u64,
    protocol: Protocol,
    progress: impl FnMut(u64),
) -> RunResult {
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        protocol,
        now: 1,
        events: BinaryHeap::new(),
        event_bodies: HashMap::new(),
        event_count: 0,
        nodes: (0..NODE_COUNT).map(|_| Node::default()).collect(),
        platform: SimulatedPlatform::default(),
        outage_until: 0,
        requests_wanted,
        runs_by_key: HashMap::new(),
        tokens_run: HashSet::new(),
        tokens_refused: Vec::new(),
        tokens_answered: HashSet::new(),
        key_count: 0,
        result: RunResult::default(),
        progress,
    };
    simulation.run();
    simulation.result
}

impl<F: FnMut(u64)> Simulation<F> {
    fn run(&mut self) {
        for event in [
            Event::NewKey,
            Event::Kill,
            Event::Pause,
            Event::Outage,
            Event::CleanUp,
        ] {
            self.schedule_after(1, event);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let Some(event) = self.event_bodies.remove(&number) else {
                continue;
            };
            self.handle_event(event);
        }
        self.finish_result();
    }

    /// Schedules an event after a delay.
    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + delay, self.event_count)));
        self.event_bodies.insert(self.event_count, event);
    }

    /// Draws a delay of 1 to `max` milliseconds.
    fn draw_delay(&mut self, max: u64) -> u64 {
        self.rng.random_range(1..=max)
    }

    fn unix_now(&self) -> UnixMillis {
        UnixMillis::new(self.now)
    }

    /// Whether further requests are to be sent.
    fn has_requests_left(&self) -> bool {
        self.result.requests < self.requests_wanted
    }

    /// Returns the delay until a paused node handles an event; `None` for an event of an
    /// earlier incarnation, which is dropped.
    fn delivery_delay(&mut self, node: usize, incarnation: Option<u64>) -> Option<u64> {
        if incarnation.is_some_and(|incarnation| incarnation != self.nodes[node].incarnation) {
            return None;
        }
        Some(self.nodes[node].paused_until.saturating_sub(self.now))
    }

    fn handle_event(&mut self, event: Event) {
        let target = match &event {
            Event::Claim(node, _) | Event::Settle(node, ..) => Some((*node, None)),
            Event::WriteEnded(node, incarnation, ..)
            | Event::LoadEnded(node, incarnation, ..)
            | Event::ShardReady(node, incarnation, _) => Some((*node, Some(*incarnation))),
            Event::Verdict(request, _)
            | Event::ActionEnded(request)
            | Event::ClaimTimeout(request) => Some((request.entry, Some(request.incarnation))),
            _ => None,
        };
        if let Some((node, incarnation)) = target {
            match self.delivery_delay(node, incarnation) {
                None => return,
                Some(0) => {}
                Some(delay) => return self.schedule_after(delay, event),
            }
        }
        match event {
            Event::NewKey => self.generate_key(),
            Event::Send(key) => self.send(key),
            Event::Claim(node, request) => self.claim(node, request),
            Event::Verdict(request, verdict) => self.handle_verdict(request, verdict),
            Event::ClaimTimeout(request) => self.refuse_timed_out(*request),
            Event::RunAction(request) => self.run_action(request),
            Event::ActionEnded(request) => self.settle(&request, ClaimState::Ran(200)),
            Event::Settle(node, key, settlement) => {
                self.batcher(node, shard_of(&key))
                    .settle(key.clone(), settlement);
                self.start_next_call(node, shard_of(&key));
            }
            Event::ApplyWrite(node, incarnation, write, lost) => {
                self.apply_write(node, incarnation, write, lost);
            }
            Event::WriteEnded(node, incarnation, shard, version) => {
                self.finish_write(node, incarnation, shard, version);
            }
            Event::LoadEnded(node, incarnation, shard, segments) => {
                self.finish_load(node, incarnation, shard, segments);
            }
            Event::ShardReady(node, _, shard) => {
                self.nodes[node].busy_shards.remove(&shard);
                self.start_next_call(node, shard);
            }
            Event::Kill => self.kill_node(),
            Event::Pause => self.pause_node(),
            Event::Outage => self.start_outage(),
            Event::CleanUp => self.clean_up(),
        }
    }

    /// Schedules the requests with a new key, and the next new key.
    fn generate_key(&mut self) {
        if !self.has_requests_left() {
            return;
        }
        self.key_count += 1;
        let service = crate::detect::parse_id("book");
        let key = ClaimKey::of(&service, None, &self.key_count.to_string());
        for _ in 0..self.rng.random_range(1..=REQUESTS_PER_KEY_MAX) {
            let delay = self.draw_delay(REQUEST_SPREAD_MILLIS);
            self.schedule_after(delay, Event::Send(key.clone()));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times between two keys are short"
        )]
        let interarrival = (-self.rng.random_range(f64::EPSILON..1.0).ln() / KEYS_PER_MILLI) as u64;
        self.schedule_after(interarrival, Event::NewKey);
    }

    /// Sends a request with a key to a random entry.
    fn send(&mut self, key: ClaimKey) {
        self.result.requests += 1;
        if self.result.requests.is_multiple_of(20_000) {
            (self.progress)(self.result.requests);
        }
        let entry = self.rng.random_range(0..NODE_COUNT);
        let incarnation = self.nodes[entry].incarnation;
        let token =
            crate::detect::parse_id(&format!("n{entry}-{incarnation}-{}", self.result.requests));
        let deadline = self.now + CLAIM_TIMEOUT_MILLIS;
        let request = Box::new(KeyedRequest {
            key,
            token,
            entry,
            incarnation,
            deadline,
        });
        if self.protocol == Protocol::Unprotected {
            return self.schedule_after(1, Event::RunAction(request));
        }
        self.schedule_after(CLAIM_TIMEOUT_MILLIS, Event::ClaimTimeout(request.clone()));
        let node = self.route(&request.key);
        let delay = self.draw_delay(5);
        self.schedule_after(delay, Event::Claim(node, request));
    }

    /// Returns the node to which a message about a key goes.
    fn route(&mut self, key: &ClaimKey) -> usize {
        if self.rng.random_bool(MISROUTED_SHARE) {
            return self.rng.random_range(0..NODE_COUNT);
        }
        usize::try_from(shard_of(key).get()).unwrap_or(0) % NODE_COUNT
    }

    /// Handles a verdict at the entry; it is ignored after the deadline.
    fn handle_verdict(&mut self, request: Box<KeyedRequest>, verdict: ClaimVerdict) {
        let in_time = self.now < request.deadline;
        if !in_time || !self.tokens_answered.insert(request.token.clone()) {
            return;
        }
        match verdict {
            ClaimVerdict::Granted => {
                let delay = self.draw_delay(40);
                self.schedule_after(delay, Event::RunAction(request));
            }
            ClaimVerdict::Held(_) | ClaimVerdict::Mismatch => self.result.already_claimed += 1,
        }
    }

    /// Reports a request as not run when its claim had no verdict in time.
    fn refuse_timed_out(&mut self, request: KeyedRequest) {
        if self.tokens_answered.insert(request.token.clone()) {
            self.result.not_run += 1;
            self.settle(&request, ClaimState::NotRun);
            self.tokens_refused.push(request.token);
        }
    }

    /// Runs the action at the upstream, also when the entry was killed meanwhile.
    fn run_action(&mut self, request: Box<KeyedRequest>) {
        self.result.runs += 1;
        let runs = self.runs_by_key.entry(request.key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.result.second_runs += 1;
        }
        self.tokens_run.insert(request.token.clone());
        let delay = self.draw_delay(20);
        self.schedule_after(delay, Event::ActionEnded(request));
    }

    /// Sends the outcome of a request to the batcher of its key.
    fn settle(&mut self, request: &KeyedRequest, state: ClaimState) {
        if self.protocol != Protocol::Claims {
            return;
        }
        let node = self.route(&request.key);
        let settlement = Settlement {
            token: request.token.clone(),
            state,
        };
        let delay = 200 + self.draw_delay(200);
        self.schedule_after(delay, Event::Settle(node, request.key.clone(), settlement));
    }

    /// Completes the counts.
    fn finish_result(&mut self) {
        let false_refusals = self
            .tokens_refused
            .iter()
            .filter(|token| self.tokens_run.contains(token));
        self.result.false_not_run = false_refusals.count() as u64;
        self.result.keys_never_run = self.key_count - self.runs_by_key.len() as u64;
    }
}
