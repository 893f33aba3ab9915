//! The task that owns the balancer of one service.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::error::ErrorKind;
use model::{config, ids};
use policy::detection::EvidenceReport;
use policy::limit::RequestQueue;
use policy::permit::{LimitReport, LimitSignal, PermitDraw};
use policy::retry::RetryRefusal;
use policy::service::{
    Admission, AttemptGrant, AttemptKey, AttemptRequest, FairAdmission, FairDecision, LoadReport,
    Placement, QueuedAttempt, ServiceBalancer,
};
use policy::suspicion::SuspicionSignal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::handle::{
    AdmissionError, AttemptLease, FleetShape, LeaseRefusal, OutpacedFlag, RequestEvent,
    ServiceCommand, ServiceHandle,
};
use super::permit_source::PermitSource;
use super::retry_tokens::RetryTokenSource;
use super::subset_selection::SubsetSelection;
use crate::pool::ConnectionPool;
use crate::wire::UpstreamHeaders;

/// Capacity of the command channel; senders wait while it is full.
const COMMANDS_MAX: usize = 1024;
/// Maximum number of request events that are handled in one batch.
const EVENTS_BATCH_MAX: usize = 64;
/// How often the balancer checks for overdue and expired requests.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two load reports of a service, for each node of the data
/// centre: the more nodes report, the less often each does, so that their snapshot relay receives
/// at most 250 reports a second for each service.
const LOAD_REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Factor on [`TICK_INTERVAL`] for services whose ticks are also scheduled for the
/// moment at which the next request becomes overdue.
const SLOW_TICK_FACTOR: u32 = 10;

/// Receives the ids of a service and of its upstream that began to drain.
pub type DrainSink = Arc<dyn Fn(&ids::ServiceId, &ids::UpstreamId) + Send + Sync>;

/// Receives the suspicion signals to send to the other nodes.
pub type SignalSink = Arc<dyn Fn(Vec<SuspicionSignal>) + Send + Sync>;

/// Receives the load reports to send to the snapshot relay of the data centre.
pub type LoadSink = Arc<dyn Fn(LoadReport) + Send + Sync>;

/// Receives what responses state about limits, to send to the owners of the limits.
pub type LimitSink = Arc<dyn Fn(LimitReport) + Send + Sync>;

/// The identity of the node and the sinks that the task of a service reports to.
#[derive(Clone)]
pub struct ServiceSettings {
    /// The id of the node that runs the task.
    pub node: ids::NodeId,
    /// The data centre of the node.
    pub data_centre: ids::DataCentreId,
    /// Seed of the random choices that the balancer makes.
    pub seed: u64,
    /// Receives evidence reports for the collector of the service.
    pub evidence: Arc<dyn Fn(EvidenceReport) + Send + Sync>,
    /// Receives drains that this node detected itself.
    pub drains: DrainSink,
    /// Receives suspicion signals for the other nodes.
    pub signals: SignalSink,
    /// Receives counts of requests in flight and retry token deposits for the snapshot relay.
    pub loads: LoadSink,
    /// Draws from the retry pool of the data centre; none when each node has its own budget.
    pub retry_tokens: Option<RetryTokenSource>,
    /// Receives reports about the rate limits of upstreams.
    pub limits: LimitSink,
    /// Draws permits for upstreams with a rate limit.
    pub permits: PermitSource,
    /// The names of the headers that the service and its upstreams exchange.
    pub headers: Arc<UpstreamHeaders>,
    /// How the upstreams that the node prefers are selected.
    pub placement: Placement,
}

type LeaseReply = oneshot::Sender<Result<AttemptLease, LeaseRefusal>>;

struct PendingRequest {
    request: AttemptRequest,
    deadline: Instant,
    reply: LeaseReply,
}

impl PendingRequest {
    fn into_attempt(self) -> QueuedAttempt<LeaseReply> {
        QueuedAttempt {
            request: self.request,
            deadline: self.deadline,
            waiter: self.reply,
        }
    }

    fn refuse(self, refusal: impl Into<LeaseRefusal>) {
        let _ = self.reply.send(Err(refusal.into()));
    }
}

struct ServiceTask {
    settings: ServiceSettings,
    balancer: ServiceBalancer,
    /// Requests without a class, which wait in order of arrival.
    queue: RequestQueue<PendingRequest>,
    /// Requests with a class, which callers with workspaces have.
    fair_queue: FairAdmission<LeaseReply>,
    /// The length of both queues, for the metrics.
    queue_length: watch::Sender<usize>,
    pools: HashMap<SocketAddr, ConnectionPool>,
    events: mpsc::UnboundedSender<RequestEvent>,
    shape: FleetShape,
    subset: SubsetSelection,
    /// Time within which nearly all requests end, for the handles.
    slow_latency: watch::Sender<Option<Duration>>,
    /// Whether too many upstreams of the data centre were without requests at the last tick.
    under_floor: bool,
}

/// Starts the task of a service; it ends when the last handle is dropped.
pub fn start(settings: ServiceSettings, service: Arc<config::Service>) -> ServiceHandle {
    let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
    let (events, event_inbox) = mpsc::unbounded_channel();
    let queue = RequestQueue::new(service.queue);
    let fair_queue = FairAdmission::new(service.queue, settings.seed);
    let (length_sender, queue_length) = watch::channel(0);
    let now = Instant::now();
    let mut balancer =
        ServiceBalancer::new(now, service, settings.data_centre.clone(), settings.seed);
    balancer.set_placement(settings.placement);
    let pools = HashMap::new();
    let (node, placement) = (settings.node.clone(), settings.placement);
    let headers = Arc::clone(&settings.headers);
    let retry_tokens = settings.retry_tokens.clone();
    let permits = settings.permits.clone();
    let (latency_sender, slow_latency) = watch::channel(None);
    let task = ServiceTask {
        settings,
        balancer,
        queue,
        fair_queue,
        queue_length: length_sender,
        pools,
        events: events.clone(),
        shape: FleetShape {
            nodes: 1,
            local: Arc::new([node]),
        },
        subset: SubsetSelection::new(now, placement),
        slow_latency: latency_sender,
        under_floor: false,
    };
    tokio::spawn(task.run(inbox, event_inbox));
    ServiceHandle {
        commands,
        events,
        headers,
        retry_tokens,
        permits,
        slow_latency,
        queue_length,
    }
}

impl ServiceTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ServiceCommand>,
        mut event_inbox: mpsc::UnboundedReceiver<RequestEvent>,
    ) {
        let mut last_tick = Instant::now();
        let mut last_load_report = Instant::now();
        let mut events = Vec::with_capacity(EVENTS_BATCH_MAX);
        loop {
            tokio::select! {
                _ = event_inbox.recv_many(&mut events, EVENTS_BATCH_MAX) => {
                    events.drain(..).for_each(|event| self.handle_event(event));
                    self.publish_latency();
                    self.admit_queued();
                }
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.handle_command(command);
                }
                () = time::sleep_until(last_load_report + self.load_report_interval()), if self.balancer.has_unreported_load() => {
                    last_load_report = Instant::now();
                    (self.settings.loads)(self.balancer.take_load_report());
                }
                () = time::sleep_until(self.subset.due_at()), if self.subset.is_outdated() => {
                    self.select_subset();
                }
                () = time::sleep_until(self.next_tick(last_tick)), if self.needs_tick() => {
                    self.tick();
                    last_tick = Instant::now();
                }
            }
            self.publish_queue_length();
            let signals = self.balancer.take_signals();
            if !signals.is_empty() {
                (self.settings.signals)(signals);
            }
        }
    }

    fn publish_latency(&self) {
        let latency = self.balancer.slow_latency();
        self.slow_latency.send_if_modified(|current| {
            let is_modified = *current != latency;
            *current = latency;
            is_modified
        });
    }

    fn publish_queue_length(&self) {
        let length = self.queue.len() + self.fair_queue.len();
        self.queue_length.send_if_modified(|current| {
            let is_modified = *current != length;
            *current = length;
            is_modified
        });
    }

    fn has_waiters(&self) -> bool {
        !self.queue.is_empty() || !self.fair_queue.is_empty()
    }

    /// Whether a tick has work to do; an idle service causes no wake-ups.
    fn needs_tick(&self) -> bool {
        self.has_waiters() || self.balancer.needs_tick()
    }

    fn load_report_interval(&self) -> Duration {
        LOAD_REPORT_INTERVAL_PER_NODE * count(self.shape.local.len())
    }

    /// When the next tick is due: at a fixed interval, or for a service whose nodes
    /// share suspicion signals as soon as a request in flight becomes overdue.
    fn next_tick(&self, last: Instant) -> Instant {
        let periodic = last + TICK_INTERVAL;
        if self.balancer.service().profile != config::DetectionProfile::Episodes {
            return periodic;
        }
        let slow = last + TICK_INTERVAL * SLOW_TICK_FACTOR;
        let periodic = if self.has_waiters() { periodic } else { slow };
        self.balancer
            .next_overdue_at()
            .map_or(periodic, |overdue| overdue.min(periodic))
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for pending in self.queue.expire(now + self.balancer.min_time_left()) {
            pending.refuse(ErrorKind::DeadlineBeforeSend);
        }
        let expired = self.fair_queue.expire(now, &self.balancer);
        self.answer_fairly(now, expired);
        if let Some(report) = self.balancer.tick(now) {
            (self.settings.evidence)(report);
        }
        self.select_subset();
        self.log_unoffered(now);
        self.admit_queued();
    }

    /// Logs when too many upstreams are without requests, and when that ends.
    fn log_unoffered(&mut self, now: Instant) {
        if self.balancer.service().profile != config::DetectionProfile::Episodes {
            return;
        }
        let count = self.balancer.count_unoffered(now);
        let under_floor = count.is_under_floor();
        if under_floor == self.under_floor {
            return;
        }
        self.under_floor = under_floor;
        let state = if under_floor { "too few" } else { "enough" };
        log::info!(
            target: "offers",
            service:% = self.balancer.service().id,
            unoffered = count.unoffered,
            eligible = count.eligible;
            "In this data centre, {state} upstreams got a request within the last two seconds."
        );
    }

    fn handle_event(&mut self, event: RequestEvent) {
        let now = Instant::now();
        match event {
            RequestEvent::PossiblyStale(attempt) => self.balancer.mark_connection_suspect(attempt),
            RequestEvent::HeadReceived(attempt) => self.balancer.record_response_head(now, attempt),
            RequestEvent::LimitStated(attempt, signal) => {
                self.report_limit(now, attempt, signal);
            }
            RequestEvent::AttemptEnded(attempt, end) => self.balancer.finish(now, attempt, end),
            RequestEvent::LeaveWorkspace(workspace) => self.balancer.leave_workspace(&workspace),
        }
    }

    fn handle_command(&mut self, command: ServiceCommand) {
        let now = Instant::now();
        match command {
            ServiceCommand::Admit {
                request,
                draw,
                deadline,
                reply,
            } => {
                let pending = PendingRequest {
                    request,
                    deadline,
                    reply,
                };
                self.admit(now, pending, draw.as_ref());
            }
            ServiceCommand::EnterWorkspace { workspace, reply } => {
                let entered = self
                    .balancer
                    .enter_workspace(&workspace.id, workspace.limit);
                let abandoned = reply.send(entered).is_err();
                if abandoned && entered {
                    self.balancer.leave_workspace(&workspace.id);
                }
            }
            ServiceCommand::DecideRetry { context, reply } => {
                let decision = self.balancer.decide_retry(now, &context);
                if decision == Err(RetryRefusal::Budget) {
                    self.report_before_draw();
                }
                let _ = reply.send(decision);
            }
            ServiceCommand::Verdict { upstream, verdict } => {
                self.balancer.apply_verdict(now, &upstream, &verdict);
            }
            ServiceCommand::Estimate(estimate) => self.balancer.apply_estimate(&estimate),
            ServiceCommand::Record(record) => self.balancer.apply_ejection_record(now, &record),
            ServiceCommand::ReportDrain(upstream) => {
                if self.handle_drain(now, &upstream) {
                    (self.settings.drains)(&self.balancer.service().id, &upstream);
                }
            }
            ServiceCommand::Drained(upstream) => {
                self.handle_drain(now, &upstream);
            }
            ServiceCommand::ReportMisdirected(upstream) => {
                if self.balancer.record_misdirected(now, &upstream) {
                    let service = &self.balancer.service().id;
                    log::info!(
                        target: "upstream", service:%, upstream:%;
                        "Another instance has the address of an upstream."
                    );
                }
            }
            ServiceCommand::ReportPause { upstream, pause } => {
                self.balancer.record_pause(now, &upstream, pause);
            }
            ServiceCommand::ReportLoad { upstream, load } => {
                self.balancer.record_upstream_load(&upstream, load);
            }
            ServiceCommand::ReportProbe {
                upstream,
                reachable,
            } => {
                self.balancer.record_outcome(now, &upstream, reachable);
            }
            ServiceCommand::Configure(service) => self.configure(now, service),
            ServiceCommand::SetFleetShape(shape) => self.set_fleet_shape(shape),
            ServiceCommand::DataCentreLoad(load) => {
                self.balancer.apply_data_centre_load(now, &load);
            }
            ServiceCommand::Limit { upstream, state } => {
                self.balancer.apply_limit(&upstream, state);
            }
            ServiceCommand::Signal(signal) => {
                self.balancer
                    .apply_signal(now, &signal.upstream, signal.kind);
            }
            ServiceCommand::RetryTokenDrawn(drawn) => self.balancer.record_token_draw(now, drawn),
            ServiceCommand::Views(reply) => {
                let _ = reply.send(self.balancer.views(now));
            }
            ServiceCommand::Preview(request, reply) => {
                let _ = reply.send(self.balancer.preview(now, &request));
            }
        }
    }

    fn configure(&mut self, now: Instant, service: Arc<config::Service>) {
        self.fair_queue.set_capacity(service.queue);
        self.balancer.configure(now, service);
        self.sync_pools();
        self.subset.mark_outdated();
        self.set_fleet_shape(self.shape.clone());
    }

    fn set_fleet_shape(&mut self, shape: FleetShape) {
        let (nodes, local) = (count(shape.nodes), count(shape.local.len()));
        self.balancer.set_fleet_size(nodes);
        self.balancer
            .set_local_node_share(f64::from(local) / f64::from(nodes.max(1)));
        self.subset.set_shape(&shape);
        self.shape = shape;
        self.select_subset();
    }

    /// Selects the subset of upstreams that this node prefers, if it may have changed.
    fn select_subset(&mut self) {
        let ServiceSettings {
            node, data_centre, ..
        } = &self.settings;
        self.subset
            .update(Instant::now(), node, data_centre, &mut self.balancer);
    }

    /// Drops the connection pools of upstreams that are no longer active, which closes their
    /// idle connections.
    fn sync_pools(&mut self) {
        let upstreams = self.balancer.service().upstreams.iter();
        let active = upstreams.filter(|up| up.state == config::UpstreamState::Active);
        let addresses: HashSet<_> = active.map(|up| up.address).collect();
        self.pools.retain(|address, _| addresses.contains(address));
    }

    /// Records that an upstream drains; returns whether that is new.
    fn handle_drain(&mut self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let is_new = self.balancer.record_drain(now, upstream);
        if is_new {
            let service = &self.balancer.service().id;
            log::info!(target: "upstream", service:%, upstream:%; "An upstream is draining.");
        }
        is_new
    }

    fn admit(&mut self, now: Instant, pending: PendingRequest, draw: Option<&PermitDraw>) {
        if let (Some(class), None) = (&pending.request.class, draw) {
            let class = class.clone();
            let attempt = pending.into_attempt();
            let decisions = self.fair_queue.arrive(
                now,
                &mut self.balancer,
                class,
                attempt,
                LeaseReply::is_closed,
            );
            return self.answer_fairly(now, decisions);
        }
        let admission = match draw {
            Some(draw) => self.balancer.admit_with_draw(now, &pending.request, draw),
            None => self.balancer.admit(now, &pending.request),
        };
        let Some(pending) = self.answer(now, pending, admission) else {
            return;
        };
        if let Some(class) = pending.request.class.clone() {
            let attempt = pending.into_attempt();
            let dropped = self.fair_queue.wait(now, &self.balancer, class, attempt);
            return self.answer_fairly(now, dropped.into_iter().collect());
        }
        if let Some(dropped) = self.queue.push(pending.deadline, pending) {
            dropped.refuse(ErrorKind::Overload);
        }
    }

    /// Answers the requests on which the admission by fair share decided.
    fn answer_fairly(&mut self, now: Instant, decisions: Vec<FairDecision<LeaseReply>>) {
        for decision in decisions {
            match decision {
                FairDecision::Decided(attempt, admission) => {
                    let pending = PendingRequest {
                        request: attempt.request,
                        deadline: attempt.deadline,
                        reply: attempt.waiter,
                    };
                    if let Some(pending) = self.answer(now, pending, admission) {
                        pending.refuse(ErrorKind::Overload);
                    }
                }
                FairDecision::Rejected(reply, refusal) => {
                    let _ = reply.send(Err(LeaseRefusal::Refused(refusal.into())));
                }
            }
        }
    }

    /// Answers a request for a lease; returns the request if it has to wait.
    fn answer(
        &mut self,
        now: Instant,
        pending: PendingRequest,
        admission: Admission,
    ) -> Option<PendingRequest> {
        match admission {
            Admission::Grant(grant) => self.grant_lease(now, grant, pending),
            Admission::PermitNeeded(permit) => pending.refuse(LeaseRefusal::PermitNeeded(permit)),
            Admission::RateLimited(wait) => pending.refuse(LeaseRefusal::Refused(AdmissionError {
                kind: ErrorKind::RateLimited,
                retry_after: Some(wait),
                outlook: None,
            })),
            Admission::Refuse(kind) => pending.refuse(kind),
            Admission::NoBudget => {
                self.report_before_draw();
                pending.refuse(ErrorKind::Overload);
            }
            Admission::Wait => return Some(pending),
        }
        None
    }

    /// Reports what a response states about the limit of its upstream, if that is news.
    fn report_limit(&mut self, now: Instant, attempt: AttemptKey, signal: LimitSignal) {
        let Some(report) = self.balancer.record_limit_signal(now, attempt, signal) else {
            return;
        };
        log::info!(
            target: "limits",
            service:% = report.service,
            upstream:% = report.upstream,
            limit:% = report.signal,
            permit = report.permit.unwrap_or_default().get();
            "A response states another limit on the requests per second than was known."
        );
        (self.settings.limits)(report);
    }

    /// Reports the deposits of the last requests, since a token is about to be drawn from
    /// the pool that they fill.
    fn report_before_draw(&mut self) {
        if self.settings.retry_tokens.is_some() && self.balancer.has_unreported_load() {
            (self.settings.loads)(self.balancer.take_load_report());
        }
    }

    fn grant_lease(&mut self, now: Instant, grant: AttemptGrant, pending: PendingRequest) {
        let PendingRequest { request, reply, .. } = pending;
        let attempt = grant.attempt;
        let overdue_after = grant.overdue_after;
        let address = grant.upstream.address;
        let pool = self
            .pools
            .entry(address)
            .or_insert_with(|| ConnectionPool::start(address));
        let lease = AttemptLease {
            grant,
            service: Arc::clone(self.balancer.service()),
            pool: pool.clone(),
            hedge_delay: self.balancer.hedge_delay(overdue_after),
            events: self.events.clone(),
            ended: false,
            outpaced: OutpacedFlag::default(),
            request: request.request_id,
            purpose: request.purpose,
            granted: now,
            connection: None,
        };
        if let Err(Ok(mut lease)) = reply.send(Ok(lease)) {
            lease.ended = true;
            self.balancer
                .finish(now, attempt, policy::retry::AttemptEnd::Cancelled);
        }
    }

    /// Grants leases to queued requests while upstreams have capacity.
    fn admit_queued(&mut self) {
        let now = Instant::now();
        self.admit_unclassified(now);
        let is_gone = LeaseReply::is_closed;
        let decisions = self
            .fair_queue
            .admit_waiters(now, &mut self.balancer, is_gone);
        self.answer_fairly(now, decisions);
    }

    fn admit_unclassified(&mut self, now: Instant) {
        while !self.queue.is_empty() {
            let released = self.queue.pop(now + self.balancer.min_time_left());
            for pending in released.expired {
                pending.refuse(ErrorKind::DeadlineBeforeSend);
            }
            let Some(pending) = released.next else { return };
            if pending.reply.is_closed() {
                continue;
            }
            let admission = self.balancer.readmit(now, &pending.request);
            if let Some(pending) = self.answer(now, pending, admission) {
                return self.queue.push_front(pending.deadline, pending);
            }
        }
    }
}

fn count(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}
