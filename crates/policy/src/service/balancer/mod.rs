//! The balancer: admits requests, takes their ends, and gathers evidence.

mod doubts;
pub(super) mod loads;
mod updates;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::{config, error, ids, sizes};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tokio::time::Instant;

pub use loads::{LoadReport, UpstreamLoad};

use super::choose::{self, ChoiceWidth};
use super::member::{Member, MemberView, UpstreamStatus};
use crate::detection::{self, DetectionThresholds};
use crate::invariant;
use crate::limit;
use crate::retry::{self, AttemptEnd};
use crate::suspicion::{Doubt, DoubtKind, LateShare};

/// Trials of one avoided upstream, over the whole fleet.
const FLEET_TRIAL_RATE: sizes::Rate = sizes::Rate::per_second(4.0);
/// The shortest time between two trials by one node.
const TRIAL_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Share of the deadline that counts as overdue before the usual latency is known.
const OVERDUE_DEADLINE_SHARE: f64 = 0.5;
/// The quantile that counts as a usual slow request.
const SLOW_QUANTILE: f64 = 0.95;
/// How much longer than a usual slow request a hedge waits, and a waiting
/// request reckons with.
const SLOW_MARGIN: f64 = 1.5;

slotmap::new_key_type! {
    struct MemberKey;
    /// Names one request in flight.
    pub struct TicketKey;
}

model::choice! {
    /// Why an upstream is asked for.
    pub enum Purpose {
        /// The first attempt of a request.
        First = "first",
        /// A repeated attempt.
        Retry = "retry",
        /// A second attempt beside one that is slow.
        Hedge = "hedge",
    }
}

/// A request for an upstream.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The request.
    pub request: ids::RequestId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Upstreams that were tried.
    pub exclude: Vec<ids::UpstreamId>,
    /// Why it is asked for.
    pub purpose: Purpose,
    /// What pays for a hedge.
    pub payer: retry::RetryPayer,
    /// The latency that the caller expects, when its route says so.
    pub target: Option<Duration>,
}

/// Leave to send one attempt.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The attempt's name at the balancer.
    pub ticket: TicketKey,
    /// Where it goes.
    pub upstream: Arc<config::Upstream>,
    /// Whether the attempt tries an avoided upstream out.
    pub trial: bool,
    /// The time after which the attempt is overdue.
    pub overdue_after: Duration,
}

/// What the balancer says to a request.
#[derive(Debug)]
pub enum Admission {
    /// Send it there.
    Go(Grant),
    /// Every upstream is full.
    Wait,
    /// Nothing pays for it now.
    Unpaid,
    /// It cannot be sent.
    Refuse(error::ErrorKind),
}

#[derive(Debug)]
struct Ticket {
    member: MemberKey,
    started: Instant,
    /// Time until the head of the answer, once it is there.
    latency: Option<Duration>,
    counted: bool,
    /// Whether silence may be the connection's fault.
    suspect: bool,
    in_flight_before: u32,
    overdue_after: Duration,
}

impl Ticket {
    fn is_overdue(&self, now: Instant) -> bool {
        let waits = self.latency.is_none() && !self.counted && !self.suspect;
        waits && now.saturating_duration_since(self.started) >= self.overdue_after
    }
}

/// The state of one service at one node.
#[derive(Debug)]
pub struct ServiceBalancer {
    service: Arc<config::Service>,
    home: ids::DataCentreId,
    costs: DetectionThresholds,
    members: SlotMap<MemberKey, Member>,
    by_id: HashMap<ids::UpstreamId, MemberKey>,
    tickets: SlotMap<TicketKey, Ticket>,
    budget: retry::RetryBudget,
    estimate: detection::LatencyEstimate,
    /// The median that the service's collector told.
    told_median: Option<Duration>,
    /// A latency for the next report.
    sample: Option<Duration>,
    buffer: detection::EvidenceBuffer,
    counter: limit::WorkspaceCounter,
    trial_interval: Duration,
    /// Doubts that the other nodes were not told of yet.
    doubts: Vec<Doubt>,
    late: LateShare,
    /// Nodes in the fleet.
    nodes: u32,
    /// Chance that a request stays in its own data centre.
    near_share: f64,
    rng: SmallRng,
}

impl ServiceBalancer {
    /// A balancer without requests.
    pub fn new(
        now: Instant,
        service: Arc<config::Service>,
        home: ids::DataCentreId,
        seed: u64,
    ) -> Self {
        let mut balancer = Self {
            costs: DetectionThresholds::for_profile(service.profile),
            service: Arc::clone(&service),
            home,
            members: SlotMap::with_key(),
            by_id: HashMap::new(),
            tickets: SlotMap::with_key(),
            budget: retry::RetryBudget::new(service.retries),
            estimate: detection::LatencyEstimate::default(),
            told_median: None,
            sample: None,
            buffer: detection::EvidenceBuffer::new(now),
            counter: limit::WorkspaceCounter::default(),
            trial_interval: TRIAL_INTERVAL_MIN,
            doubts: Vec::new(),
            late: LateShare::new(now),
            nodes: 1,
            near_share: 1.0,
            rng: SmallRng::seed_from_u64(seed),
        };
        balancer.configure(now, service);
        balancer
    }

    /// The service as configured.
    pub const fn service(&self) -> &Arc<config::Service> {
        &self.service
    }

    /// Counts a request of a workspace, unless it is at its limit.
    pub fn enter_workspace(
        &mut self,
        workspace: &ids::WorkspaceId,
        own_limit: Option<sizes::RequestCount>,
    ) -> bool {
        let limit = own_limit.unwrap_or(self.service.workspace_limit);
        self.counter.enter(workspace, limit)
    }

    /// Counts a request of a workspace as done.
    pub fn leave_workspace(&mut self, workspace: &ids::WorkspaceId) {
        self.counter.leave(workspace);
    }

    /// Finds an upstream for an attempt.
    pub fn admit(&mut self, now: Instant, ask: &Ask) -> Admission {
        if ask.purpose == Purpose::First {
            self.budget.deposit();
            self.late.count_request(now, f64::from(self.nodes));
        }
        let Some(key) = self.choose(now, ask) else {
            return self.turn_away(ask);
        };
        let paid = ask.purpose != Purpose::Hedge
            || (ask.payer == retry::RetryPayer::Trial && !self.shares_doubts())
            || self.budget.pay();
        if !paid {
            return Admission::Unpaid;
        }
        Admission::Go(self.grant(now, key, ask))
    }

    fn choose(&mut self, now: Instant, ask: &Ask) -> Option<MemberKey> {
        if self.shares_doubts() {
            self.mark_avoided(now);
            let trial = if ask.purpose == Purpose::First {
                self.draw_trial(now, ask)
            } else {
                None
            };
            if trial.is_some() {
                return trial;
            }
        }
        let members = self.members.iter();
        let untried = members.filter(|(_, member)| !ask.exclude.contains(&member.upstream.id));
        let first_of_many =
            ask.repeatable && ask.purpose == Purpose::First && !self.shares_doubts();
        let trial = first_of_many
            .then(|| choose::pick_trial(untried.clone(), now))
            .flatten();
        if let Some(key) = trial {
            self.members[key].next_trial = now + self.trial_interval;
            return Some(key);
        }
        let leaves = !rand::Rng::random_bool(&mut self.rng, self.near_share);
        let explores = leaves || choose::explores(ask.repeatable, &mut self.rng);
        let choice = if self.shares_doubts() {
            ChoiceWidth::All
        } else {
            ChoiceWidth::Two
        };
        choose::pick(&untried, &self.home, explores, choice, now, &mut self.rng)
    }

    fn turn_away(&self, ask: &Ask) -> Admission {
        let could_serve = self.members.values().any(|member| {
            let status = member.status();
            let serves = matches!(status, UpstreamStatus::Healthy | UpstreamStatus::Avoided);
            serves && !ask.exclude.contains(&member.upstream.id)
        });
        if could_serve && ask.purpose != Purpose::Hedge {
            return Admission::Wait;
        }
        Admission::Refuse(error::ErrorKind::NoUpstream)
    }

    fn grant(&mut self, now: Instant, key: MemberKey, ask: &Ask) -> Grant {
        let overdue_after = self.overdue_after(ask);
        let member = &mut self.members[key];
        let status = member.status();
        invariant::check(
            invariant::Invariant::DrainRespected,
            status != UpstreamStatus::Draining,
            || format!("{} drains and was chosen", member.upstream.id),
        );
        let in_flight_before = member.in_flight;
        member.in_flight += 1;
        let upstream = Arc::clone(&member.upstream);
        let ticket = Ticket {
            member: key,
            started: now,
            latency: None,
            counted: false,
            suspect: false,
            in_flight_before,
            overdue_after,
        };
        let trial = status == UpstreamStatus::Avoided;
        Grant {
            ticket: self.tickets.insert(ticket),
            upstream,
            trial,
            overdue_after,
        }
    }

    /// Notes that an attempt goes over a connection that may have fallen silent.
    pub fn suspect(&mut self, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.suspect = true;
        }
    }

    /// Whether repeats come from the data centre's pool.
    pub const fn pools_repeats(&self) -> bool {
        self.budget.is_pooled()
    }

    /// What requests paid in that the pool was not told of.
    fn take_deposit(&mut self) -> Option<retry::RepeatDeposit> {
        let (millis, fleet_most_millis) = self.budget.take_untold()?;
        Some(retry::RepeatDeposit {
            service: self.service.id.clone(),
            millis,
            fleet_most_millis,
        })
    }

    /// Takes the pool's reply: one repeat, or none.
    pub fn take_drawn(&mut self, now: Instant, drawn: bool) {
        self.budget.take_drawn(now, drawn);
    }

    /// Takes the head of an answer.
    pub fn head(&mut self, now: Instant, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.latency = Some(now.saturating_duration_since(ticket.started));
        }
    }

    /// Takes the end of an attempt.
    pub fn finish(&mut self, now: Instant, key: TicketKey, end: AttemptEnd) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        let whole = now.saturating_duration_since(ticket.started);
        let latency = ticket.latency.unwrap_or(whole);
        let overdue = latency > ticket.overdue_after;
        let Some(member) = self.members.get_mut(ticket.member) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                member.limit.on_success(ticket.in_flight_before);
                self.estimate.observe(latency);
                self.sample = Some(latency);
            }
            AttemptEnd::Shed | AttemptEnd::ConnectFailed | AttemptEnd::TimedOut => {
                member.limit.on_overload(now);
            }
            _ => {}
        }
        if self.shares_doubts() {
            return self.doubt_end(now, &ticket, end);
        }
        let silent = ticket.suspect && end == AttemptEnd::Outpaced;
        let good = end
            .speaks_for()
            .filter(|_| !silent)
            .map(|good| good && (!overdue || ticket.suspect));
        if let Some(good) = good.filter(|_| !ticket.counted) {
            self.count_outcome(now, ticket.member, good);
        }
    }

    fn count_outcome(&mut self, now: Instant, key: MemberKey, good: bool) {
        let member = &mut self.members[key];
        let (goods, bads) = if good { (1, 0) } else { (0, 1) };
        self.buffer.add(&member.upstream.id, goods, bads);
        member.own.observe(goods, bads, 0.0);
        if member.own.score() >= self.costs.avoid {
            let jitter = self
                .trial_interval
                .mul_f64(rand::Rng::random::<f64>(&mut self.rng));
            member.next_trial = member.next_trial.max(now + jitter);
            member.own_avoid = Some(now);
        } else if member.own.score() <= 0.0 {
            member.own_avoid = None;
        }
    }

    /// Whether anything here changes with time alone; an idle balancer needs no ticks.
    pub fn needs_tick(&self) -> bool {
        let busy = !self.tickets.is_empty() || !self.buffer.is_empty();
        busy || self.members.values().any(Member::lapses)
    }

    /// Looks at requests in flight and takes a report when one is due.
    pub fn tick(&mut self, now: Instant) -> Option<detection::EvidenceReport> {
        self.count_overdue(now);
        self.lapse(now);
        let counts = self.buffer.take_due(now)?;
        Some(detection::EvidenceReport {
            service: self.service.id.clone(),
            observer: self.home.clone(),
            counts,
            latency_micros: self
                .sample
                .take()
                .and_then(|latency| latency.as_micros().try_into().ok()),
        })
    }

    fn count_overdue(&mut self, now: Instant) {
        let overdue: Vec<_> = self
            .tickets
            .iter_mut()
            .filter(|(_, ticket)| ticket.is_overdue(now))
            .map(|(_, ticket)| {
                ticket.counted = true;
                ticket.member
            })
            .collect();
        for key in overdue {
            if self.shares_doubts() {
                self.doubt(now, key, DoubtKind::Overdue);
            } else if self.members.contains_key(key) {
                self.count_outcome(now, key, false);
            }
        }
    }

    fn lapse(&mut self, now: Instant) {
        for member in self.members.values_mut().filter(|member| member.lapses()) {
            member.lapse(now);
        }
    }

    /// The bound from this node's own median, else from the collector's, else from the deadline.
    pub fn overdue_bound(&self) -> Duration {
        let fallback = self.service.deadline.get().mul_f64(OVERDUE_DEADLINE_SHARE);
        let median = self.estimate.median().or(self.told_median);
        median.map_or(fallback, |median| {
            detection::overdue_bound(median).min(fallback)
        })
    }

    /// Time that a request must have left to be worth sending.
    pub fn time_needed(&self) -> Duration {
        let slow = self
            .estimate
            .rough_quantile(SLOW_QUANTILE)
            .unwrap_or_default();
        slow.mul_f64(SLOW_MARGIN)
    }

    /// How long a repeatable request waits before a hedge, once that is known.
    pub fn hedge_delay(&self, overdue_after: Duration) -> Option<Duration> {
        if self.shares_doubts() {
            return Some(overdue_after);
        }
        self.estimate
            .quantile(SLOW_QUANTILE)
            .map(|slow| slow.mul_f64(SLOW_MARGIN))
    }

    /// Decides on a repeated attempt and pays for it.
    ///
    /// # Errors
    /// Why no further attempt is made.
    pub fn decide_retry(&mut self, case: &retry::RetryCase) -> Result<(), retry::RetryRefusal> {
        let mut case = *case;
        if self.shares_doubts() {
            case.payer = retry::RetryPayer::Budget;
        }
        retry::decide(&case, &mut self.budget)
    }

    /// Adds the outcome of a probe or of a body that broke off late.
    pub fn take_outcome(&mut self, now: Instant, upstream: &ids::UpstreamId, good: bool) {
        if let Some(key) = self.by_id.get(upstream).copied() {
            self.count_outcome(now, key, good);
        }
    }

    /// The lines of the status page.
    pub fn views(&self) -> BTreeMap<ids::UpstreamId, MemberView> {
        let views = self.members.values().map(Member::view);
        views.map(|view| (view.upstream.clone(), view)).collect()
    }

    /// Requests in flight at every upstream.
    pub fn in_flight(&self) -> usize {
        self.tickets.len()
    }
}
