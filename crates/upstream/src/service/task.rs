//! The task that owns the balancer of one service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::error::ErrorKind;
use model::{config, ids};
use policy::detection::EvidenceReport;
use policy::limit::RequestQueue;
use policy::service::{self, Admission, AttemptGrant, AttemptRequest, LoadReport, ServiceBalancer};
use policy::suspicion::SuspicionSignal;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::handle::{
    AttemptLease, FleetSize, FlightEvent, Outpaced, ServiceCommand, ServiceHandle,
};
use super::repeats::RepeatSource;
use crate::pool::ConnectionPool;
use crate::wire::UpstreamHeaders;

/// Orders that wait for the task; senders wait when it is full.
const COMMANDS_MAX: usize = 1024;
/// Notes that are taken in one go.
const EVENTS_BATCH: usize = 64;
/// How often the balancer looks at requests in flight.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two messages with loads, for each node of the data
/// centre: its relay gets 250 of them a second at most.
const LOAD_PAUSE: Duration = Duration::from_millis(4);
/// How much slower the pace is where overdue requests are looked up in time.
const SLOW_TICK_FACTOR: u32 = 10;

/// Takes the name of a service and of its upstream that drains.
pub type DrainSink = Arc<dyn Fn(&ids::ServiceId, &ids::UpstreamId) + Send + Sync>;

/// Takes doubts that the other nodes are to hear of.
pub type DoubtSink = Arc<dyn Fn(Vec<SuspicionSignal>) + Send + Sync>;

/// Takes what the data centre's relay is to hear of.
pub type LoadSink = Arc<dyn Fn(LoadReport) + Send + Sync>;

/// What a service's task needs to know of its node.
#[derive(Clone)]
pub struct ServiceSettings {
    /// The node.
    pub node: ids::NodeId,
    /// Its data centre.
    pub home: ids::DataCentreId,
    /// Seed of the random choices.
    pub seed: u64,
    /// Takes evidence that is due.
    pub evidence: Arc<dyn Fn(EvidenceReport) + Send + Sync>,
    /// Takes news of a drain that this node saw first.
    pub drains: DrainSink,
    /// Takes doubts for the other nodes.
    pub doubts: DoubtSink,
    /// Takes counts of requests in flight, and deposits, for the relay.
    pub loads: LoadSink,
    /// Draws repeats from the data centre's pool; none where each node has its own.
    pub repeats: Option<RepeatSource>,
    /// The names of headers that upstreams use.
    pub headers: Arc<UpstreamHeaders>,
}

type Reply = oneshot::Sender<Result<AttemptLease, ErrorKind>>;

struct Waiter {
    request: AttemptRequest,
    deadline: Instant,
    reply: Reply,
}

struct ServiceTask {
    settings: ServiceSettings,
    balancer: ServiceBalancer,
    queue: RequestQueue<Waiter>,
    pools: HashMap<SocketAddr, ConnectionPool>,
    events: mpsc::UnboundedSender<FlightEvent>,
    size: FleetSize,
}

/// Starts the task of a service; it ends with the last handle.
pub fn start(settings: ServiceSettings, service: Arc<config::Service>) -> ServiceHandle {
    let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
    let (events, event_inbox) = mpsc::unbounded_channel();
    let queue = RequestQueue::new(service.queue);
    let now = Instant::now();
    let balancer = ServiceBalancer::new(now, service, settings.home.clone(), settings.seed);
    let pools = HashMap::new();
    let headers = Arc::clone(&settings.headers);
    let repeats = settings.repeats.clone();
    let mut task = ServiceTask {
        settings,
        balancer,
        queue,
        pools,
        events: events.clone(),
        size: FleetSize { nodes: 1, near: 1 },
    };
    task.sync_pools();
    tokio::spawn(task.run(inbox, event_inbox));
    ServiceHandle {
        commands,
        events,
        headers,
        repeats,
    }
}

impl ServiceTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ServiceCommand>,
        mut event_inbox: mpsc::UnboundedReceiver<FlightEvent>,
    ) {
        let mut last_tick = Instant::now();
        let mut last_loads = Instant::now();
        let mut events = Vec::with_capacity(EVENTS_BATCH);
        loop {
            tokio::select! {
                _ = event_inbox.recv_many(&mut events, EVENTS_BATCH) => {
                    events.drain(..).for_each(|event| self.take_event(event));
                    self.serve_queue();
                }
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.take_command(command);
                }
                () = time::sleep_until(last_loads + self.load_pause()), if self.balancer.has_unreported_load() => {
                    last_loads = Instant::now();
                    (self.settings.loads)(self.balancer.take_load_report());
                }
                () = time::sleep_until(self.next_tick(last_tick)), if self.needs_tick() => {
                    self.tick();
                    last_tick = Instant::now();
                }
            }
            let signals = self.balancer.take_signals();
            if !signals.is_empty() {
                (self.settings.doubts)(signals);
            }
        }
    }

    /// An idle service costs no wake-ups.
    fn needs_tick(&self) -> bool {
        !self.queue.is_empty() || self.balancer.needs_tick()
    }

    fn load_pause(&self) -> Duration {
        LOAD_PAUSE * u32::try_from(self.size.near).unwrap_or(u32::MAX)
    }

    /// The next look at requests in flight: at a fixed pace, or where doubts are
    /// shared as soon as one of them is overdue.
    fn next_tick(&self, last: Instant) -> Instant {
        let paced = last + TICK_INTERVAL;
        if self.balancer.service().profile != config::DetectionProfile::Spells {
            return paced;
        }
        let slow = last + TICK_INTERVAL * SLOW_TICK_FACTOR;
        let paced = if self.queue.is_empty() { slow } else { paced };
        self.balancer
            .next_overdue_at()
            .map_or(paced, |overdue| overdue.min(paced))
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for waiter in self.queue.expire(now + self.balancer.min_time_left()) {
            let _ = waiter.reply.send(Err(ErrorKind::DeadlineUnsent));
        }
        if let Some(report) = self.balancer.tick(now) {
            (self.settings.evidence)(report);
        }
        self.serve_queue();
    }

    fn take_event(&mut self, event: FlightEvent) {
        let now = Instant::now();
        match event {
            FlightEvent::Suspect(attempt) => self.balancer.mark_connection_suspect(attempt),
            FlightEvent::Head(attempt) => self.balancer.record_response_head(now, attempt),
            FlightEvent::End(attempt, end) => self.balancer.finish(now, attempt, end),
            FlightEvent::LeaveWorkspace(workspace) => self.balancer.leave_workspace(&workspace),
        }
    }

    fn take_command(&mut self, command: ServiceCommand) {
        let now = Instant::now();
        match command {
            ServiceCommand::Admit {
                request,
                deadline,
                reply,
            } => {
                self.admit(
                    now,
                    Waiter {
                        request,
                        deadline,
                        reply,
                    },
                );
            }
            ServiceCommand::Enter { workspace, reply } => {
                let entered = self
                    .balancer
                    .enter_workspace(&workspace.id, workspace.limit);
                let unheard = reply.send(entered).is_err();
                if unheard && entered {
                    self.balancer.leave_workspace(&workspace.id);
                }
            }
            ServiceCommand::Retry { context, reply } => {
                let _ = reply.send(self.balancer.decide_retry(&context));
            }
            ServiceCommand::Verdict { upstream, verdict } => {
                self.balancer.apply_verdict(now, &upstream, &verdict);
            }
            ServiceCommand::Estimate(estimate) => self.balancer.apply_estimate(&estimate),
            ServiceCommand::Record(record) => self.balancer.apply_ejection_record(now, &record),
            ServiceCommand::Drain(upstream) => self.take_drain(now, &upstream),
            ServiceCommand::Load { upstream, load } => {
                self.balancer.record_upstream_load(&upstream, load);
            }
            ServiceCommand::Outcome { upstream, good } => {
                self.balancer.record_outcome(now, &upstream, good);
            }
            ServiceCommand::Configure(service) => self.configure(now, service),
            ServiceCommand::Fleet(size) => self.set_fleet(size),
            ServiceCommand::CentreLoad(load) => self.balancer.apply_data_centre_load(now, &load),
            ServiceCommand::Signal(signal) => {
                self.balancer
                    .apply_signal(now, &signal.upstream, signal.kind);
            }
            ServiceCommand::Drawn(drawn) => self.balancer.record_token_draw(now, drawn),
            ServiceCommand::Views(reply) => {
                let _ = reply.send(self.balancer.views());
            }
        }
    }

    fn configure(&mut self, now: Instant, service: Arc<config::Service>) {
        self.balancer.configure(now, service);
        self.sync_pools();
        self.set_fleet(self.size);
    }

    fn set_fleet(&mut self, size: FleetSize) {
        self.size = size;
        let FleetSize { nodes, near } = size;
        let count = |nodes| u32::try_from(nodes).unwrap_or(u32::MAX);
        self.balancer.set_fleet_size(count(nodes));
        let near_share = f64::from(count(near)) / f64::from(count(nodes).max(1));
        self.balancer.set_local_node_share(near_share);
        let ServiceSettings { node, home, .. } = &self.settings;
        let subset = service::choose_subset(node, home, self.balancer.service(), nodes);
        self.balancer.set_subset(&subset);
    }

    /// Keeps a pool for each upstream; a dropped pool closes its idle connections.
    fn sync_pools(&mut self) {
        let service = self.balancer.service();
        let active = service
            .upstreams
            .iter()
            .filter(|up| up.state == config::UpstreamState::Active);
        let wanted: Vec<_> = active.map(|up| up.address).collect();
        self.pools.retain(|address, _| wanted.contains(address));
        for address in wanted {
            self.pools
                .entry(address)
                .or_insert_with(|| ConnectionPool::start(address));
        }
    }

    fn take_drain(&mut self, now: Instant, upstream: &ids::UpstreamId) {
        if self.balancer.record_drain(now, upstream) {
            let service = self.balancer.service().id.clone();
            log::info!(target: "upstream", "{upstream} of {service} drains.");
            (self.settings.drains)(&service, upstream);
        }
    }

    fn admit(&mut self, now: Instant, waiter: Waiter) {
        match self.balancer.admit(now, &waiter.request) {
            Admission::Grant(grant) => self.hand_over(now, grant, waiter),
            Admission::Refuse(kind) => {
                let _ = waiter.reply.send(Err(kind));
            }
            Admission::NoBudget => {
                let _ = waiter.reply.send(Err(ErrorKind::Overload));
            }
            Admission::Wait => {
                if let Some(dropped) = self.queue.push(waiter.deadline, waiter) {
                    let _ = dropped.reply.send(Err(ErrorKind::Overload));
                }
            }
        }
    }

    fn hand_over(&mut self, now: Instant, grant: AttemptGrant, waiter: Waiter) {
        let Waiter { request, reply, .. } = waiter;
        let attempt = grant.attempt;
        let grant_overdue = grant.overdue_after;
        let address = grant.upstream.address;
        let pool = self
            .pools
            .entry(address)
            .or_insert_with(|| ConnectionPool::start(address));
        let lease = AttemptLease {
            grant,
            service: Arc::clone(self.balancer.service()),
            pool: pool.clone(),
            hedge_delay: self.balancer.hedge_delay(grant_overdue),
            events: self.events.clone(),
            ended: false,
            outpaced: Outpaced::default(),
            request: request.request_id,
            purpose: request.purpose,
            granted: now,
        };
        if let Err(Ok(mut lease)) = reply.send(Ok(lease)) {
            lease.ended = true;
            self.balancer
                .finish(now, attempt, policy::retry::AttemptEnd::Cancelled);
        }
    }

    /// Lets waiters in while there is room.
    fn serve_queue(&mut self) {
        let now = Instant::now();
        while !self.queue.is_empty() {
            let released = self.queue.pop(now + self.balancer.min_time_left());
            for waiter in released.expired {
                let _ = waiter.reply.send(Err(ErrorKind::DeadlineUnsent));
            }
            let Some(waiter) = released.next else { return };
            if waiter.reply.is_closed() {
                continue;
            }
            match self.balancer.admit(now, &waiter.request) {
                Admission::Grant(grant) => self.hand_over(now, grant, waiter),
                Admission::Refuse(kind) => {
                    let _ = waiter.reply.send(Err(kind));
                }
                Admission::NoBudget => {
                    let _ = waiter.reply.send(Err(ErrorKind::Overload));
                }
                Admission::Wait => return self.queue.push_front(waiter.deadline, waiter),
            }
        }
    }
}
