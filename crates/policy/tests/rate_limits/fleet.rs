//! A fleet of balancers of one service, some of whose upstreams name a rate limit. Draws,
//! reports and announcements travel between the nodes, and may be lost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::office::{HolderTerm, OfficeGrant, OfficeTerm};
use gooseberrydyke_policy::permit::{
    LimitRecord, LimitReport, LimitSignal, PermitDraw, PermitLedger, PermitReply, PermitRequest,
};
use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge};
use gooseberrydyke_policy::service::{
    Admission, AttemptGrant, AttemptKey, AttemptPurpose, AttemptRequest, ServiceBalancer,
};
use model::config::{DetectionProfile, Service};
use model::ids::{DataCentreId, UpstreamId};
use model::sizes::{RateLimit, Share};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::{self, Instant};

use super::common::{CENTRES, name, service};

const STEP: Duration = Duration::from_millis(10);
const LATENCY_MILLIS: std::ops::Range<u64> = 100..500;
/// Time until an announcement is known to the other nodes.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(50);
const PERMIT_DRAWS_MAX: usize = 3;
/// Many, so that only the rate limits bound the requests of an upstream.
const SLOTS: u32 = 64;

/// What a fleet is made of and how it is loaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    /// Nodes and upstreams, spread evenly over the data centres.
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    /// Requests of the whole fleet per second.
    pub(crate) requests_per_second: f64,
    /// Share of the messages between nodes that are lost.
    pub(crate) loss_share: f64,
    pub(crate) seed: u64,
}

struct AttemptInFlight {
    node: usize,
    upstream: usize,
    key: AttemptKey,
    ends_at: Duration,
}

/// A running fleet. Time passes on tokio's paused clock.
pub(crate) struct Fleet {
    plan: FleetPlan,
    rng: SmallRng,
    started: Instant,
    balancers: Vec<ServiceBalancer>,
    /// The ledger of the owner in each data centre; `None` while it is down.
    owners: BTreeMap<DataCentreId, Option<PermitLedger>>,
    /// The limits that the upstreams name.
    pub(crate) limits: Vec<Option<f64>>,
    in_flight: Vec<AttemptInFlight>,
    announcements: Vec<(Duration, LimitRecord)>,
    /// The times at which requests reached each upstream.
    pub(crate) arrivals: Vec<Vec<Duration>>,
    pub(crate) requests: usize,
    pub(crate) rejected: usize,
    pub(crate) draws: usize,
}

impl Fleet {
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let config = config_of(plan);
        let balancers = (0..plan.nodes).map(|node| balancer_of(plan, &config, node));
        Self {
            plan,
            rng: SmallRng::seed_from_u64(plan.seed),
            started: Instant::now(),
            balancers: balancers.collect(),
            owners: CENTRES
                .iter()
                .map(|centre| (name(centre), Some(PermitLedger::default())))
                .collect(),
            limits: vec![None; plan.upstreams],
            in_flight: Vec::new(),
            announcements: Vec::new(),
            arrivals: vec![Vec::new(); plan.upstreams],
            requests: 0,
            rejected: 0,
            draws: 0,
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Ends every owner; draws and reports are lost until `replace_owners`.
    pub(crate) fn stop_owners(&mut self) {
        self.owners.values_mut().for_each(|owner| *owner = None);
    }

    /// Other nodes become the owners, with what was announced to them.
    pub(crate) fn replace_owners(&mut self, known: &[LimitRecord]) {
        for owner in self.owners.values_mut() {
            let mut ledger = PermitLedger::default();
            for record in known {
                ledger.apply(Instant::now(), record);
            }
            *owner = Some(ledger);
        }
    }

    /// The limits that the owners know.
    pub(crate) fn known_limits(&self) -> Vec<LimitRecord> {
        let owners = self.owners.values().flatten();
        owners.flat_map(PermitLedger::records).collect()
    }

    /// Restarts the first nodes, which fetch the known limits from another node.
    pub(crate) fn restart_nodes(&mut self, count: usize) {
        let config = config_of(self.plan);
        let known = self.known_limits();
        self.in_flight.retain(|attempt| attempt.node >= count);
        for node in 0..count {
            let mut balancer = balancer_of(self.plan, &config, node);
            for record in &known {
                balancer.apply_limit(&record.upstream, record.state);
            }
            self.balancers[node] = balancer;
        }
    }

    /// Lets `duration` pass.
    pub(crate) async fn run(&mut self, duration: Duration) {
        let until = self.now() + duration;
        while self.now() < until {
            time::advance(STEP).await;
            self.end_attempts();
            self.deliver_announcements();
            let expected = self.plan.requests_per_second * STEP.as_secs_f64();
            let whole = expected.floor();
            let mut count = 0;
            while f64::from(count) < whole {
                count += 1;
            }
            count += u32::from(self.rng.random_bool(expected - whole));
            for _ in 0..count {
                self.send_request();
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.plan.loss_share)
    }

    fn end_attempts(&mut self) {
        let now = self.now();
        let (ended, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt: &AttemptInFlight| attempt.ends_at <= now);
        self.in_flight = in_flight;
        for attempt in ended {
            let signal = match self.limits[attempt.upstream] {
                Some(limit) => LimitSignal::Named(RateLimit::per_second(limit)),
                None => LimitSignal::Absent,
            };
            let balancer = &mut self.balancers[attempt.node];
            balancer.record_response_head(Instant::now(), attempt.key);
            let report = balancer.record_limit_signal(Instant::now(), attempt.key, signal);
            balancer.finish(Instant::now(), attempt.key, AttemptEnd::Answered);
            let _ = balancer.take_signals();
            if let Some(report) = report
                && !self.is_lost()
            {
                self.handle_report(&report);
            }
        }
    }

    fn handle_report(&mut self, report: &LimitReport) {
        if let Some(Some(ledger)) = self.owners.get_mut(&report.data_centre) {
            ledger.report(Instant::now(), report);
        }
    }

    fn deliver_announcements(&mut self) {
        let now = self.now();
        for ledger in self.owners.values_mut().flatten() {
            let records = ledger.take_announcements(Instant::now()).into_iter();
            self.announcements
                .extend(records.map(|record| (now + ANNOUNCEMENT_DELAY, record)));
        }
        let (due, later) = std::mem::take(&mut self.announcements)
            .into_iter()
            .partition(|(at, _): &(Duration, LimitRecord)| *at <= now);
        self.announcements = later;
        for (_, record) in due {
            for node in 0..self.plan.nodes {
                if !self.is_lost() {
                    self.balancers[node].apply_limit(&record.upstream, record.state);
                }
            }
        }
    }

    fn draw(&mut self, request: &PermitRequest) -> Option<PermitReply> {
        self.draws += 1;
        if self.is_lost() {
            return None;
        }
        let ledger = self.owners.get_mut(&request.data_centre)?.as_mut()?;
        let reply = ledger.draw(Instant::now(), request, Share::new(1.0));
        (!self.is_lost()).then_some(reply)
    }

    fn send_request(&mut self) {
        self.requests += 1;
        // Half of the nodes have a tenth of the requests.
        let half = self.plan.nodes / 2;
        let node = if self.rng.random_bool(0.1) {
            self.rng.random_range(0..half)
        } else {
            self.rng.random_range(half..self.plan.nodes)
        };
        match self.admit(node) {
            Some(grant) => self.record_grant(node, &grant),
            None => self.rejected += 1,
        }
    }

    fn admit(&mut self, node: usize) -> Option<AttemptGrant> {
        let request = AttemptRequest {
            request_id: name("request-1"),
            repeatable: false,
            exclude: Vec::new(),
            purpose: AttemptPurpose::First,
            charge: RetryCharge::Budget,
            target_latency: Some(Duration::from_millis(1_500)),
            class: None,
        };
        let mut admission = self.balancers[node].admit(Instant::now(), &request);
        for drawn in 1..=PERMIT_DRAWS_MAX {
            let Admission::PermitNeeded(permit) = admission else {
                break;
            };
            let given_by = HolderTerm {
                holder: "owner".parse().unwrap(),
                term: OfficeTerm::default(),
            };
            let draw = PermitDraw {
                grant: Some(OfficeGrant::new(Instant::now(), given_by)),
                reply: self.draw(&permit),
                request: permit,
                is_last: drawn == PERMIT_DRAWS_MAX,
            };
            admission = self.balancers[node].admit_with_draw(Instant::now(), &request, &draw);
        }
        match admission {
            Admission::Grant(grant) => Some(grant),
            Admission::PermitNeeded(_) => panic!("a permit was needed after the last draw"),
            _ => None,
        }
    }

    fn record_grant(&mut self, node: usize, grant: &AttemptGrant) {
        let now = self.now();
        let upstream = number_of(&grant.upstream.id);
        self.arrivals[upstream].push(now);
        let latency = self.rng.random_range(LATENCY_MILLIS);
        self.in_flight.push(AttemptInFlight {
            node,
            upstream,
            key: grant.attempt,
            ends_at: now + Duration::from_millis(latency),
        });
    }
}

fn config_of(plan: FleetPlan) -> Arc<Service> {
    Arc::new(Service {
        profile: DetectionProfile::Episodes,
        ..service(plan.upstreams, SLOTS, 0).as_ref().clone()
    })
}

fn balancer_of(plan: FleetPlan, config: &Arc<Service>, node: usize) -> ServiceBalancer {
    let centre = name(CENTRES[node % CENTRES.len()]);
    let seed = plan.seed.wrapping_mul(1_000).wrapping_add(node as u64);
    let mut balancer = ServiceBalancer::new(Instant::now(), Arc::clone(config), centre, seed);
    balancer.set_fleet_size(u32::try_from(plan.nodes).unwrap());
    balancer.set_local_node_share(1.0 / 3.0);
    balancer
}

fn number_of(id: &UpstreamId) -> usize {
    id.as_str().trim_start_matches("up-").parse().unwrap()
}
