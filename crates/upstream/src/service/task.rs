//! The task that owns the board of one service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::error::ErrorKind;
use model::{config, ids};
use policy::detection::EvidenceReport;
use policy::limit::WaitingLine;
use policy::service::{self, Admission, Ask, Grant, ServiceBoard};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::handle::{AttemptLease, FlightNote, ServiceHandle, ServiceOrder};
use crate::pool::ConnectionPool;

/// Orders that wait for the task; senders wait when it is full.
const ORDERS_MAX: usize = 1024;
/// Notes that are taken in one go.
const NOTES_BATCH: usize = 64;
/// How often the board looks at requests in flight.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Takes the name of a service and of its upstream that drains.
pub type DrainSink = Arc<dyn Fn(&ids::ServiceId, &ids::UpstreamId) + Send + Sync>;

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
}

type Reply = oneshot::Sender<Result<AttemptLease, ErrorKind>>;

struct Waiter {
    ask: Ask,
    deadline: Instant,
    reply: Reply,
}

struct ServiceTask {
    settings: ServiceSettings,
    board: ServiceBoard,
    line: WaitingLine<Waiter>,
    pools: HashMap<SocketAddr, ConnectionPool>,
    notes: mpsc::UnboundedSender<FlightNote>,
    nodes: usize,
}

/// Starts the task of a service; it ends with the last handle.
pub fn start(settings: ServiceSettings, service: Arc<config::Service>) -> ServiceHandle {
    let (orders, inbox) = mpsc::channel(ORDERS_MAX);
    let (notes, note_inbox) = mpsc::unbounded_channel();
    let line = WaitingLine::new(service.queue);
    let now = Instant::now();
    let board = ServiceBoard::new(now, service, settings.home.clone(), settings.seed);
    let pools = HashMap::new();
    let mut task = ServiceTask {
        settings,
        board,
        line,
        pools,
        notes: notes.clone(),
        nodes: 1,
    };
    task.sync_pools();
    tokio::spawn(task.run(inbox, note_inbox));
    ServiceHandle { orders, notes }
}

impl ServiceTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ServiceOrder>,
        mut note_inbox: mpsc::UnboundedReceiver<FlightNote>,
    ) {
        let mut next_tick = Instant::now();
        let mut notes = Vec::with_capacity(NOTES_BATCH);
        loop {
            tokio::select! {
                _ = note_inbox.recv_many(&mut notes, NOTES_BATCH) => {
                    notes.drain(..).for_each(|note| self.take_note(note));
                    self.serve_line();
                }
                order = inbox.recv() => {
                    let Some(order) = order else { return };
                    self.take_order(order);
                }
                () = time::sleep_until(next_tick), if self.needs_tick() => {
                    self.tick();
                    next_tick = Instant::now() + TICK_INTERVAL;
                }
            }
        }
    }

    /// An idle service costs no wake-ups.
    fn needs_tick(&self) -> bool {
        !self.line.is_empty() || self.board.needs_tick()
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for waiter in self.line.expire(now + self.board.time_needed()) {
            let _ = waiter.reply.send(Err(ErrorKind::DeadlineUnsent));
        }
        if let Some(report) = self.board.tick(now) {
            (self.settings.evidence)(report);
        }
        self.serve_line();
    }

    fn take_note(&mut self, note: FlightNote) {
        let now = Instant::now();
        match note {
            FlightNote::Suspect(ticket) => self.board.suspect(ticket),
            FlightNote::Head(ticket) => self.board.head(now, ticket),
            FlightNote::End(ticket, end) => self.board.finish(now, ticket, end),
            FlightNote::LeaveWorkspace(workspace) => self.board.leave_workspace(&workspace),
        }
    }

    fn take_order(&mut self, order: ServiceOrder) {
        let now = Instant::now();
        match order {
            ServiceOrder::Admit {
                ask,
                deadline,
                reply,
            } => {
                self.admit(
                    now,
                    Waiter {
                        ask,
                        deadline,
                        reply,
                    },
                );
            }
            ServiceOrder::Enter { workspace, reply } => {
                let entered = self.board.enter_workspace(&workspace.id, workspace.limit);
                let unheard = reply.send(entered).is_err();
                if unheard && entered {
                    self.board.leave_workspace(&workspace.id);
                }
            }
            ServiceOrder::Retry { case, reply } => {
                let _ = reply.send(self.board.decide_retry(&case));
            }
            ServiceOrder::Verdict { upstream, verdict } => {
                self.board.take_verdict(now, &upstream, &verdict);
            }
            ServiceOrder::Tempo(tempo) => self.board.take_tempo(&tempo),
            ServiceOrder::Record(record) => self.board.take_record(now, &record),
            ServiceOrder::Drain(upstream) => self.take_drain(now, &upstream),
            ServiceOrder::Load { upstream, load } => self.board.take_load(&upstream, load),
            ServiceOrder::Witness { upstream, good } => {
                self.board.take_witness(now, &upstream, good);
            }
            ServiceOrder::Configure(service) => self.configure(now, service),
            ServiceOrder::Fleet { nodes } => self.set_fleet(nodes),
            ServiceOrder::Views(reply) => {
                let _ = reply.send(self.board.views());
            }
        }
    }

    fn configure(&mut self, now: Instant, service: Arc<config::Service>) {
        self.board.configure(now, service);
        self.sync_pools();
        self.set_fleet(self.nodes);
    }

    fn set_fleet(&mut self, nodes: usize) {
        self.nodes = nodes;
        self.board
            .set_fleet_size(u32::try_from(nodes).unwrap_or(u32::MAX));
        let ServiceSettings { node, home, .. } = &self.settings;
        let subset = service::choose_subset(node, home, self.board.service(), nodes);
        self.board.set_subset(&subset);
    }

    /// Keeps a pool for each upstream; a dropped pool closes its idle connections.
    fn sync_pools(&mut self) {
        let service = self.board.service();
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
        if self.board.take_drain(now, upstream) {
            let service = self.board.service().id.clone();
            log::info!(target: "upstream", "{upstream} of {service} drains.");
            (self.settings.drains)(&service, upstream);
        }
    }

    fn admit(&mut self, now: Instant, waiter: Waiter) {
        match self.board.admit(now, &waiter.ask) {
            Admission::Go(grant) => self.hand_over(now, grant, waiter.reply),
            Admission::Refuse(kind) => {
                let _ = waiter.reply.send(Err(kind));
            }
            Admission::Wait => {
                if let Some(dropped) = self.line.push(waiter.deadline, waiter) {
                    let _ = dropped.reply.send(Err(ErrorKind::Overload));
                }
            }
        }
    }

    fn hand_over(&mut self, now: Instant, grant: Grant, reply: Reply) {
        let ticket = grant.ticket;
        let address = grant.upstream.address;
        let pool = self
            .pools
            .entry(address)
            .or_insert_with(|| ConnectionPool::start(address));
        let lease = AttemptLease {
            grant,
            service: Arc::clone(self.board.service()),
            pool: pool.clone(),
            hedge_delay: self.board.hedge_delay(),
            overdue: self.board.overdue_bound(),
            notes: self.notes.clone(),
            ended: false,
        };
        if let Err(Ok(mut lease)) = reply.send(Ok(lease)) {
            lease.ended = true;
            self.board
                .finish(now, ticket, policy::retry::AttemptEnd::Withdrawn);
        }
    }

    /// Lets waiters in while there is room.
    fn serve_line(&mut self) {
        let now = Instant::now();
        while !self.line.is_empty() {
            let released = self.line.pop(now + self.board.time_needed());
            for waiter in released.expired {
                let _ = waiter.reply.send(Err(ErrorKind::DeadlineUnsent));
            }
            let Some(waiter) = released.next else { return };
            if waiter.reply.is_closed() {
                continue;
            }
            match self.board.admit(now, &waiter.ask) {
                Admission::Go(grant) => self.hand_over(now, grant, waiter.reply),
                Admission::Refuse(kind) => {
                    let _ = waiter.reply.send(Err(kind));
                }
                Admission::Wait => return self.line.push_front(waiter.deadline, waiter),
            }
        }
    }
}
