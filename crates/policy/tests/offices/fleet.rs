//! Nodes that vote for the holder that each of them believes in, on a clock of their own.

use std::collections::BTreeSet;
use std::time::Duration;

use gooseberrydyke_policy::office::{
    HolderTime, HolderTimes, OfficeVote, VOTE_INTERVAL, VOTE_RETRY_INTERVAL, VoteStep, VoteTally,
};
use model::ids::NodeId;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

/// Resolution of the simulated time.
const STEP: Duration = Duration::from_millis(150);
/// How long a run lasts.
const LENGTH: Duration = Duration::from_secs(18);
/// Nodes that may hold the office, the first that a node knows to be up.
const CANDIDATES: usize = 4;
/// Longest time until a node notices that a candidate is down, or back.
const NOTICE_STEPS_MAX: u64 = 12;
/// Share of messages that are lost.
const LOSS: f64 = 0.05;
/// Share of messages that arrive late, and of those that arrive once more.
const DELAY: f64 = 0.05;
/// Longest time that a message is late.
const DELAY_STEPS_MAX: u64 = 40;
/// Probability of a new disturbance in a step.
const DISTURBANCE: f64 = 0.08;

#[derive(Debug, Clone, Copy)]
pub(crate) struct OfficePlan {
    pub(crate) nodes: usize,
    pub(crate) seed: u64,
}

/// What keeps a node from taking part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Absence {
    /// Its process is gone until this step; then a new one starts.
    Down(u64),
    /// Its process stands still until this step. Its clock goes on.
    Frozen(u64),
    /// Its machine is suspended until this step. Its steady clock stands still.
    Suspended(u64),
}

impl Absence {
    /// Whether messages that arrive are read afterwards.
    fn keeps_messages(self) -> bool {
        !matches!(self, Self::Down(_))
    }
}

/// A message between two processes.
#[derive(Debug, Clone)]
struct OfficeMessage {
    arrives: u64,
    to: NodeId,
    content: Content,
}

#[derive(Debug, Clone)]
enum Content {
    Vote {
        from: usize,
        heard: Option<HolderTime>,
    },
    /// The time of a holder, in reply to a vote.
    Time(NodeId, HolderTime),
    Release {
        from: usize,
    },
    /// The time at which a holder released a vote.
    Released(NodeId, HolderTime),
}

struct OfficeNode {
    /// The name of its process.
    name: NodeId,
    runs: usize,
    started: Instant,
    /// Time for which its steady clock stood still.
    suspended: Duration,
    heard: HolderTimes,
    vote: OfficeVote,
    tally: VoteTally,
    vote_at: Instant,
    absence: Option<Absence>,
    leaving: bool,
    /// The candidates that this node believes to be up.
    known: BTreeSet<usize>,
}

/// A fleet with one office.
pub(crate) struct OfficeFleet {
    plan: OfficePlan,
    rng: SmallRng,
    started: Instant,
    step: u64,
    nodes: Vec<OfficeNode>,
    messages: Vec<OfficeMessage>,
    /// Processes that said that they leave.
    left: BTreeSet<NodeId>,
    /// Nodes that cannot reach the others, until a step.
    cut: Option<(BTreeSet<usize>, u64)>,
    disturbed: bool,
}

impl OfficeFleet {
    /// A fleet to which something happens all the time.
    pub(crate) fn start(plan: OfficePlan) -> Self {
        let mut fleet = Self::calm(plan);
        fleet.disturbed = true;
        fleet
    }

    /// A fleet to which nothing happens.
    pub(crate) fn calm(plan: OfficePlan) -> Self {
        let started = Instant::now();
        let node = |number: usize| OfficeNode {
            name: process_name(number, 0),
            runs: 0,
            started,
            suspended: Duration::ZERO,
            heard: HolderTimes::default(),
            vote: OfficeVote::new(started, true),
            tally: VoteTally::default(),
            vote_at: started,
            absence: None,
            leaving: false,
            known: (0..CANDIDATES).collect(),
        };
        Self {
            plan,
            rng: SmallRng::seed_from_u64(plan.seed),
            started,
            step: 0,
            nodes: (0..plan.nodes).map(node).collect(),
            messages: Vec::new(),
            left: BTreeSet::new(),
            cut: None,
            disturbed: false,
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        STEP * u32::try_from(self.step).unwrap()
    }

    fn instant(&self) -> Instant {
        self.started + self.now()
    }

    /// Advances one step; returns whether the run goes on.
    pub(crate) fn step(&mut self) -> bool {
        self.step += 1;
        self.end_absences();
        if self.disturbed && self.rng.random_bool(DISTURBANCE) {
            self.disturb();
        }
        for number in 0..self.nodes.len() {
            self.update_view(number);
            self.vote(number);
        }
        self.deliver();
        self.now() < LENGTH
    }

    /// The sum of the shares of all nodes that may hand out anything.
    pub(crate) fn granted(&self) -> f64 {
        let now = self.instant();
        let holders = self.nodes.iter().take(CANDIDATES);
        let active = holders.filter(|node| node.absence.is_none() && !node.leaving);
        active
            .map(|node| {
                let share = node.tally.share(node.holder_time(now), self.plan.nodes);
                share.get()
            })
            .sum()
    }

    /// The mean of what is handed out over a time.
    pub(crate) fn mean_granted(&mut self, span: Duration) -> f64 {
        let steps = u32::try_from(span.as_millis() / STEP.as_millis()).unwrap();
        let mut sum = 0.0;
        for _ in 0..steps {
            self.step();
            sum += self.granted();
        }
        sum / f64::from(steps)
    }

    /// Stops the first candidate as planned; it is back after 2 s.
    pub(crate) fn restart_holder(&mut self) {
        self.stop_as_planned(0, 13);
    }

    fn stop_as_planned(&mut self, number: usize, steps: u64) {
        // A stopping process tells the others and hands out nothing more; then it ends.
        self.left.insert(self.nodes[number].name.clone());
        self.nodes[number].leaving = true;
        self.nodes[number].absence = Some(Absence::Down(self.step + steps));
    }

    fn disturb(&mut self) {
        let number = self.rng.random_range(0..CANDIDATES.min(self.nodes.len()));
        let until = self.step + self.rng.random_range(1..40);
        match self.rng.random_range(0..7) {
            0 | 1 => self.stop_as_planned(number, until - self.step),
            2 => self.nodes[number].absence = Some(Absence::Down(until)),
            3 => self.nodes[number].absence = Some(Absence::Frozen(until)),
            6 => self.nodes[number].absence = Some(Absence::Suspended(until)),
            4 => {
                let share = self.rng.random_range(0.1..0.9);
                let cut = (0..self.nodes.len()).filter(|_| self.rng.random_bool(share));
                self.cut = Some((cut.collect(), until));
            }
            _ => {
                for node in &mut self.nodes {
                    node.absence = Some(Absence::Down(self.step + 2));
                }
            }
        }
    }

    fn end_absences(&mut self) {
        let (now, step) = (self.instant(), self.step);
        if self.cut.as_ref().is_some_and(|(_, until)| *until <= step) {
            self.cut = None;
        }
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if let Some(Absence::Suspended(_)) = node.absence {
                node.suspended += STEP;
            }
            match node.absence {
                Some(Absence::Frozen(until) | Absence::Suspended(until)) if until <= step => {
                    node.absence = None;
                }
                Some(Absence::Down(until)) if until <= step => {
                    node.absence = None;
                    node.leaving = false;
                    node.runs += 1;
                    node.name = process_name(number, node.runs);
                    node.started = now;
                    node.heard = HolderTimes::default();
                    node.vote = OfficeVote::new(node.steady(now), false);
                    node.tally = VoteTally::default();
                }
                _ => {}
            }
        }
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.nodes[to].absence.is_none() && self.is_connected(from, to)
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let side = |number| {
            self.cut
                .as_ref()
                .is_some_and(|(cut, _)| cut.contains(&number))
        };
        side(from) == side(to)
    }

    /// Each node notices at its own time which candidates it reaches.
    fn update_view(&mut self, number: usize) {
        for candidate in 0..CANDIDATES.min(self.nodes.len()) {
            let is_up = candidate == number || self.is_reachable(number, candidate);
            let is_known = self.nodes[number].known.contains(&candidate);
            if is_up == is_known || self.rng.random_range(0..NOTICE_STEPS_MAX) > 0 {
                continue;
            }
            let known = &mut self.nodes[number].known;
            if is_up {
                known.insert(candidate);
            } else {
                known.remove(&candidate);
            }
        }
    }

    fn vote(&mut self, number: usize) {
        let node = &self.nodes[number];
        let now = node.steady(self.instant());
        if node.absence.is_some() || node.vote_at > now {
            return;
        }
        let Some(holder) = node.known.first().copied() else {
            return;
        };
        let name = self.nodes[holder].name.clone();
        let voter = &mut self.nodes[number];
        let heard = voter.heard.last(&name);
        let leaving = |node: &NodeId| self.left.contains(node);
        let from = number;
        let step = voter.vote.step(now, &name, heard, leaving);
        let is_vote = heard.is_some() && matches!(step, VoteStep::Cast(_));
        voter.vote_at = now
            + if is_vote {
                VOTE_INTERVAL
            } else {
                VOTE_RETRY_INTERVAL
            };
        let (to, content) = match step {
            VoteStep::Cast(to) => (to, Content::Vote { from, heard }),
            VoteStep::Release(to) => (to, Content::Release { from }),
            VoteStep::Wait => return,
        };
        let to_number = self.nodes.iter().position(|node| node.name == to);
        if to_number.is_some_and(|to| self.is_connected(number, to)) {
            self.send(&to, &content);
        }
    }

    /// Sends a message, which may be lost, late or repeated.
    fn send(&mut self, to: &NodeId, content: &Content) {
        if self.rng.random_bool(LOSS) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(DELAY));
        for _ in 0..copies {
            let delay = if self.rng.random_bool(DELAY) {
                self.rng.random_range(1..=DELAY_STEPS_MAX)
            } else {
                0
            };
            self.messages.push(OfficeMessage {
                arrives: self.step + delay,
                to: to.clone(),
                content: content.clone(),
            });
        }
    }

    /// Delivers what has arrived; a process that stands still reads it afterwards.
    fn deliver(&mut self) {
        while let Some(index) = self.messages.iter().position(|message| {
            message.arrives <= self.step
                && !self.nodes.iter().any(|node| {
                    node.name == message.to && node.absence.is_some_and(Absence::keeps_messages)
                })
        }) {
            let message = self.messages.swap_remove(index);
            let to = self.nodes.iter().position(|node| node.name == message.to);
            let Some(to) = to.filter(|to| self.nodes[*to].absence.is_none()) else {
                continue;
            };
            match message.content {
                Content::Vote { from, heard } => self.count(to, from, heard),
                Content::Time(holder, time) => self.hear(to, &holder, time),
                Content::Release { from } => self.release(to, from),
                Content::Released(holder, time) => {
                    let now = self.nodes[to].steady(self.instant());
                    let node = &mut self.nodes[to];
                    if node.vote.release(now, &holder, time) {
                        node.vote_at = now;
                    }
                }
            }
        }
    }

    fn count(&mut self, holder: usize, from: usize, heard: Option<HolderTime>) {
        let voters = self.plan.nodes;
        let now = self.nodes[holder].holder_time(self.instant());
        let voter = self.nodes[from].name.clone();
        if let Some(heard) = heard {
            let tally = &mut self.nodes[holder].tally;
            tally.record(now, voter.clone(), heard, voters);
        }
        let holder = self.nodes[holder].name.clone();
        self.send(&voter, &Content::Time(holder, now));
    }

    fn release(&mut self, holder: usize, from: usize) {
        let now = self.nodes[holder].holder_time(self.instant());
        let voter = self.nodes[from].name.clone();
        self.nodes[holder].tally.release(now, voter.clone());
        let holder = self.nodes[holder].name.clone();
        self.send(&voter, &Content::Released(holder, now));
    }

    fn hear(&mut self, voter: usize, holder: &NodeId, time: HolderTime) {
        let node = &mut self.nodes[voter];
        if node.heard.hear(holder, time) {
            node.vote_at = node.started;
        }
    }
}

impl OfficeNode {
    /// Its steady clock.
    fn steady(&self, now: Instant) -> Instant {
        now.checked_sub(self.suspended).unwrap()
    }

    /// Its clock as a holder, which counts the time for which it was suspended.
    fn holder_time(&self, now: Instant) -> HolderTime {
        HolderTime::since_start(now - self.started)
    }
}

/// The name of a process: its machine, and how often it was started.
fn process_name(number: usize, runs: usize) -> NodeId {
    format!("n-{number}-{runs}").parse().unwrap()
}
