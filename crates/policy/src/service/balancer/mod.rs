//! Admits attempts to the upstreams of a service, tracks them until they end and
//! collects evidence of failing upstreams.

mod admission;
mod instance_pauses;
pub(super) mod loads;
pub(super) mod offers;
pub(super) mod permits;
mod preview;
pub(super) mod remembered;
mod shared_room;
mod signals;
mod updates;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::{config, error, ids, sizes};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tokio::time::Instant;

pub use admission::SelectionReason;
pub use loads::{LoadReport, UpstreamLoad};
pub use offers::OfferCount;
pub use preview::{CandidateView, PreviewDecision, RequestPreview};

use self::instance_pauses::InstancePauses;
use self::remembered::RememberedUpstreams;
use super::entry::{UpstreamEntry, UpstreamView};
use super::placement::Placement;
use super::width::{NodeDemand, RequestDemand};
use crate::detection::{self, DetectionThresholds};
use crate::limit;
use crate::office::OfficeGrant;
use crate::permit::{LimitVersion, PermitRequest};
use crate::retry::{self, AttemptEnd};
use crate::suspicion::{LateShare, SignalKind, SuspicionSignal};

/// Trials of one avoided upstream per second, over the whole fleet.
const FLEET_TRIAL_RATE: sizes::Rate = sizes::Rate::per_second(4.0);
/// Minimum interval between two trials of an upstream by one node.
const TRIAL_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Share of the deadline that bounds the time until an attempt is overdue, and that is
/// used while the usual latency is not known.
const OVERDUE_DEADLINE_SHARE: f64 = 0.5;
/// Latency quantile of a slow request that is still normal.
const SLOW_LATENCY_QUANTILE: f64 = 0.95;
/// Factor on the slow latency. It gives the delay before a hedge and the time that a
/// queued request must have left.
const SLOW_LATENCY_FACTOR: f64 = 1.5;

slotmap::new_key_type! {
    struct UpstreamKey;
    /// Identifies an attempt in flight at the balancer.
    pub struct AttemptKey;
}

model::text_enum! {
    /// Why an attempt is made.
    pub enum AttemptPurpose {
        /// The first attempt of a request.
        First = "first",
        /// Another attempt after one that failed.
        Retry = "retry",
        /// A second attempt in parallel to a slow one.
        Hedge = "hedge",
    }
}

/// A request to send one attempt to some upstream.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Id of the caller's request that the attempt belongs to.
    pub request_id: ids::RequestId,
    /// Whether the route allows the request to run more than once.
    pub repeatable: bool,
    /// Upstreams that earlier attempts of the request were sent to.
    pub exclude: Vec<ids::UpstreamId>,
    /// Why the attempt is made.
    pub purpose: AttemptPurpose,
    /// What a hedge is charged to.
    pub charge: retry::RetryCharge,
    /// Target latency of the route, if it sets one.
    pub target_latency: Option<Duration>,
    /// The flow and priority of the request; `None` if callers have no workspaces, so that
    /// capacity is not shared by flow.
    pub class: Option<Arc<limit::RequestClass>>,
}

/// Permission to send one attempt.
#[derive(Debug, Clone)]
pub struct AttemptGrant {
    /// Key under which the balancer tracks the attempt.
    pub attempt: AttemptKey,
    /// The upstream to send it to.
    pub upstream: Arc<config::Upstream>,
    /// Whether the attempt is a trial of an avoided upstream.
    pub trial: bool,
    /// The time after which the attempt is overdue.
    pub overdue_after: Duration,
    /// The version of the permit with which it is sent; `None` if it needs none.
    pub permit: Option<LimitVersion>,
}

/// The balancer's decision on an attempt.
#[derive(Debug)]
pub enum Admission {
    /// The attempt may be sent.
    Grant(AttemptGrant),
    /// Every upstream that could serve it is at its limit; the request is to be queued.
    Wait,
    /// The upstream to use has a rate limit. A permit is to be drawn, and the attempt
    /// admitted with the result.
    PermitNeeded(PermitRequest),
    /// Every upstream that could serve it has reached its rate limit; the next permit is
    /// available after this time.
    RateLimited(Duration),
    /// The retry budget does not cover the hedge.
    NoBudget,
    /// No upstream can serve it.
    Refuse(error::ErrorKind),
}

#[derive(Debug, Clone)]
struct InFlightAttempt {
    upstream: UpstreamKey,
    started: Instant,
    /// Time to the head of the response, once it has arrived.
    latency: Option<Duration>,
    /// Whether the attempt was already counted as overdue.
    counted_overdue: bool,
    /// Whether the connection itself may be dead, so that a missing response says
    /// nothing about the upstream.
    connection_suspect: bool,
    /// Requests in flight from this node at the upstream when the attempt started.
    in_flight_before: u32,
    overdue_after: Duration,
    /// The version of the permit with which it is sent; `None` if it needs none.
    permit: Option<LimitVersion>,
    /// The flow that it belongs to; `None` if capacity is not shared by flow.
    flow: Option<limit::FlowKey>,
}

impl InFlightAttempt {
    fn is_overdue(&self, now: Instant) -> bool {
        let pending = self.latency.is_none() && !self.counted_overdue && !self.connection_suspect;
        pending && now.saturating_duration_since(self.started) >= self.overdue_after
    }
}

/// Load balancer of one service at one node.
#[derive(Debug, Clone)]
pub struct ServiceBalancer {
    service: Arc<config::Service>,
    local_data_centre: ids::DataCentreId,
    thresholds: DetectionThresholds,
    upstreams: SlotMap<UpstreamKey, UpstreamEntry>,
    by_id: HashMap<ids::UpstreamId, UpstreamKey>,
    remembered: RememberedUpstreams,
    /// Pauses that may be those of starts which are not known yet.
    instance_pauses: InstancePauses,
    attempts: SlotMap<AttemptKey, InFlightAttempt>,
    budget: retry::RetryBudget,
    estimate: detection::LatencyEstimate,
    /// Median latency that the service's collector published.
    collector_median: Option<Duration>,
    /// Latency of a recent success, for the next evidence report.
    latency_sample: Option<Duration>,
    evidence: detection::EvidenceBuffer,
    workspaces: limit::WorkspaceCounter,
    /// What each flow uses.
    flows: limit::FlowTable,
    service_rate: limit::ServiceRate,
    trial_interval: Duration,
    /// Suspicion signals not yet sent to the other nodes.
    signals: Vec<SuspicionSignal>,
    late_share: LateShare,
    fleet_nodes: u32,
    /// Share of the fleet's nodes that are in this node's data centre.
    local_node_share: f64,
    /// Offers to suspect upstreams that this node may make now.
    offer_credit: f64,
    /// Probability that a request prefers the upstreams of this node's data centre.
    local_share: f64,
    /// When requests of the data centre were last reported.
    loads_at: Instant,
    /// Requests of this node.
    demand: RequestDemand,
    /// How the upstreams are selected that this node prefers.
    placement: Placement,
    rng: SmallRng,
}

impl ServiceBalancer {
    /// Creates a balancer for a node in `local_data_centre`; `seed` drives its random
    /// choices.
    pub fn new(
        now: Instant,
        service: Arc<config::Service>,
        local_data_centre: ids::DataCentreId,
        seed: u64,
    ) -> Self {
        let mut balancer = Self {
            thresholds: DetectionThresholds::for_profile(service.profile),
            service: Arc::clone(&service),
            local_data_centre,
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            remembered: RememberedUpstreams::default(),
            instance_pauses: InstancePauses::default(),
            attempts: SlotMap::with_key(),
            budget: retry::RetryBudget::new(service.retry_allowance),
            estimate: detection::LatencyEstimate::default(),
            collector_median: None,
            latency_sample: None,
            evidence: detection::EvidenceBuffer::new(now),
            workspaces: limit::WorkspaceCounter::default(),
            flows: limit::FlowTable::new(now),
            service_rate: limit::ServiceRate::default(),
            trial_interval: TRIAL_INTERVAL_MIN,
            signals: Vec::new(),
            late_share: LateShare::new(now),
            fleet_nodes: 1,
            local_node_share: 1.0,
            offer_credit: 0.0,
            local_share: 1.0,
            loads_at: now,
            demand: RequestDemand::new(now),
            placement: Placement::Hashed,
            rng: SmallRng::seed_from_u64(seed),
        };
        balancer.configure(now, service);
        balancer
    }

    /// The service's current configuration.
    pub const fn service(&self) -> &Arc<config::Service> {
        &self.service
    }

    /// Counts a request of a workspace unless the workspace is at its limit; returns whether
    /// it was counted.
    ///
    /// `own_limit` overrides the service's default limit.
    pub fn enter_workspace(
        &mut self,
        workspace: &ids::WorkspaceId,
        own_limit: Option<sizes::RequestCount>,
    ) -> bool {
        let limit = own_limit.unwrap_or(self.service.workspace_limit);
        self.workspaces.enter(workspace, limit)
    }

    /// Counts a request of a workspace as finished.
    pub fn leave_workspace(&mut self, workspace: &ids::WorkspaceId) {
        self.workspaces.leave(workspace);
    }

    /// Marks that an attempt uses a connection that was idle for so long that it may be
    /// dead.
    pub fn mark_connection_suspect(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.connection_suspect = true;
        }
    }

    /// Whether retry tokens come from the data centre's pool.
    pub const fn pools_retries(&self) -> bool {
        self.budget.is_pooled()
    }

    /// Returns the deposits not yet reported to the retry pool.
    fn take_deposit(&mut self) -> Option<retry::RetryDeposit> {
        let (millitokens, fleet_max_millitokens) = self.budget.take_unreported()?;
        Some(retry::RetryDeposit {
            service: self.service.id.clone(),
            millitokens,
            fleet_max_millitokens,
        })
    }

    /// Records whether the retry pool granted a token.
    pub fn record_token_draw(&mut self, now: Instant, granted: Option<OfficeGrant>) {
        self.budget.record_token_draw(now, granted);
    }

    /// Records that the head of the response arrived.
    pub fn record_response_head(&mut self, now: Instant, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.latency = Some(now.saturating_duration_since(attempt.started));
        }
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Instant, key: AttemptKey, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let elapsed = now.saturating_duration_since(attempt.started);
        if let Some(flow) = &attempt.flow {
            self.flows.leave(flow);
            // One that hangs until its timeout says nothing of when the others end.
            let counted = match end {
                AttemptEnd::Answered => elapsed,
                _ => elapsed.min(attempt.overdue_after),
            };
            self.service_rate.observe(counted);
        }
        let latency = attempt.latency.unwrap_or(elapsed);
        let overdue = latency > attempt.overdue_after;
        let Some(entry) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                entry.progress_at = now;
                entry.own_answer_at = Some(now);
                entry.limit.on_success(attempt.in_flight_before);
                self.estimate.observe(latency);
                self.latency_sample = Some(latency);
            }
            AttemptEnd::Shed | AttemptEnd::ConnectFailed | AttemptEnd::TimedOut => {
                entry.limit.on_overload(now);
            }
            _ => {}
        }
        if end == AttemptEnd::ConnectFailed {
            self.record_missed_offer(attempt.upstream);
        }
        if self.shares_signals() {
            return self.signal_attempt_end(now, &attempt, end);
        }
        let inconclusive = attempt.connection_suspect && end == AttemptEnd::Outpaced;
        let good = end
            .counts_as_good()
            .filter(|_| !inconclusive)
            .map(|good| good && (!overdue || attempt.connection_suspect));
        if let Some(good) = good.filter(|_| !attempt.counted_overdue) {
            self.count_outcome(now, attempt.upstream, good);
        }
    }

    fn count_outcome(&mut self, now: Instant, key: UpstreamKey, good: bool) {
        let entry = &mut self.upstreams[key];
        let (good_count, bad_count) = if good { (1, 0) } else { (0, 1) };
        self.evidence.add(&entry.upstream.id, good_count, bad_count);
        entry.own_test.observe(good_count, bad_count, 0.0);
        if entry.own_test.score() >= self.thresholds.avoid {
            let jitter = self
                .trial_interval
                .mul_f64(rand::Rng::random::<f64>(&mut self.rng));
            entry.next_trial_at = entry.next_trial_at.max(now + jitter);
            entry.own_avoid_at = Some(now);
        } else if entry.own_test.score() <= 0.0 {
            entry.own_avoid_at = None;
        }
    }

    /// Whether some state changes with time alone. An idle balancer needs no ticks.
    pub fn needs_tick(&self) -> bool {
        let busy = !self.attempts.is_empty() || !self.evidence.is_empty();
        busy || self
            .upstreams
            .values()
            .any(UpstreamEntry::has_expiring_state)
    }

    /// Counts overdue attempts, expires old state and returns an evidence report when
    /// one is due.
    pub fn tick(&mut self, now: Instant) -> Option<detection::EvidenceReport> {
        self.count_overdue(now);
        self.expire(now);
        let counts = self.evidence.take_due(now)?;
        Some(detection::EvidenceReport {
            service: self.service.id.clone(),
            observer: self.local_data_centre.clone(),
            counts,
            latency_micros: self
                .latency_sample
                .take()
                .and_then(|latency| latency.as_micros().try_into().ok()),
        })
    }

    fn count_overdue(&mut self, now: Instant) {
        let overdue: Vec<_> = self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| attempt.is_overdue(now))
            .map(|(_, attempt)| {
                attempt.counted_overdue = true;
                attempt.upstream
            })
            .collect();
        for key in overdue {
            if self.shares_signals() {
                self.raise_signal(now, key, SignalKind::Overdue);
            } else if self.upstreams.contains_key(key) {
                self.count_outcome(now, key, false);
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        for entry in self
            .upstreams
            .values_mut()
            .filter(|entry| entry.has_expiring_state())
        {
            entry.expire(now);
        }
    }

    /// Time after which an attempt is overdue: derived from this node's median latency,
    /// else from the collector's median. It is at most a share of the deadline, which is
    /// also used while neither median is known.
    pub fn overdue_bound(&self) -> Duration {
        let fallback = self.service.deadline.get().mul_f64(OVERDUE_DEADLINE_SHARE);
        let median = self.estimate.median().or(self.collector_median);
        median.map_or(fallback, |median| {
            detection::overdue_bound(median).min(fallback)
        })
    }

    /// Minimum time to the deadline for a request to be worth sending.
    pub fn min_time_left(&self) -> Duration {
        self.slow_latency().unwrap_or_default()
    }

    /// Time within which nearly all requests end; `None` while it is not known.
    pub fn slow_latency(&self) -> Option<Duration> {
        let slow = self.estimate.rough_quantile(SLOW_LATENCY_QUANTILE)?;
        Some(slow.mul_f64(SLOW_LATENCY_FACTOR))
    }

    /// Delay before a repeatable request is hedged; `None` while the usual latency is not
    /// known.
    pub fn hedge_delay(&self, overdue_after: Duration) -> Option<Duration> {
        if self.shares_signals() {
            return Some(overdue_after);
        }
        self.estimate
            .quantile(SLOW_LATENCY_QUANTILE)
            .map(|slow| slow.mul_f64(SLOW_LATENCY_FACTOR))
    }

    /// Decides whether to make another attempt and charges it to the budget.
    ///
    /// # Errors
    /// The reason why no further attempt is made.
    pub fn decide_retry(
        &mut self,
        now: Instant,
        context: &retry::RetryContext,
    ) -> Result<(), retry::RetryRefusal> {
        let mut context = *context;
        if self.shares_signals() {
            context.charge = retry::RetryCharge::Budget;
        }
        retry::decide(now, &context, &mut self.budget)
    }

    /// Records an outcome seen outside of an attempt: that of a health probe.
    pub fn record_outcome(&mut self, now: Instant, upstream: &ids::UpstreamId, good: bool) {
        if let Some(key) = self.by_id.get(upstream).copied() {
            self.count_outcome(now, key, good);
        }
    }

    /// State of each upstream, for the status page.
    pub fn views(&self, now: Instant) -> BTreeMap<ids::UpstreamId, UpstreamView> {
        let views = self.upstreams.values().map(|entry| {
            let is_local = entry.upstream.data_centre == self.local_data_centre;
            entry.view(now, is_local)
        });
        views.map(|view| (view.upstream.clone(), view)).collect()
    }

    /// What this node sends to the service.
    pub fn demand(&self, now: Instant) -> NodeDemand {
        NodeDemand {
            rate: self.demand.rate(now),
            latency: self.estimate.median(),
        }
    }

    /// Number of requests in flight from this node, over all upstreams.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }
}
