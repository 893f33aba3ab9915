//! Admission by fair share at one node: what waits, what is rejected, and on which estimate.

#[path = "common/mod.rs"]
mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{name, service};
use gooseberrydyke_policy::limit::{FlowKey, RequestClass};
use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge};
use gooseberrydyke_policy::service::{
    Admission, AttemptKey, AttemptPurpose, AttemptRequest, FairAdmission, FairDecision,
    QueuedAttempt, ServiceBalancer, UpstreamLoad,
};
use model::error::ErrorKind;
use model::sizes::RequestCount;
use tokio::time::{self, Instant};

const SLOTS: u32 = 4;
/// Requests of other nodes at each upstream when there is no room for any more.
const FULL: u32 = 4 * SLOTS;

/// A node with the upstreams of its service.
struct Node {
    balancer: ServiceBalancer,
    admission: FairAdmission<u32>,
}

impl Node {
    fn new(upstreams: usize) -> Self {
        Self::in_centre("ikeja", upstreams)
    }

    fn in_centre(centre: &str, upstreams: usize) -> Self {
        let config = service(upstreams, SLOTS, 0);
        let now = Instant::now();
        let mut balancer = ServiceBalancer::new(now, config, name(centre), 7);
        balancer.set_fleet_size(120);
        Self {
            balancer,
            admission: FairAdmission::new(RequestCount::new(32), 7),
        }
    }

    /// Reports how many requests the other nodes have in flight at each upstream.
    fn report_others(&mut self, in_flight: u32) {
        let service = self.balancer.service().clone();
        for upstream in &service.upstreams {
            let load = UpstreamLoad {
                service: service.id.clone(),
                upstream: upstream.id.clone(),
                in_flight,
            };
            self.balancer.apply_data_centre_load(Instant::now(), &load);
        }
    }

    fn arrive(&mut self, waiter: u32, workspace: &str) -> Vec<FairDecision<u32>> {
        let class = Arc::new(RequestClass {
            flow: FlowKey::Workspace(name(workspace)),
            priority: 0,
        });
        let attempt = QueuedAttempt {
            request: AttemptRequest {
                request_id: name("request-1"),
                repeatable: false,
                exclude: Vec::new(),
                purpose: AttemptPurpose::First,
                charge: RetryCharge::Budget,
                target_latency: None,
                class: Some(Arc::clone(&class)),
            },
            deadline: Instant::now() + Duration::from_secs(4),
            waiter,
        };
        let now = Instant::now();
        self.admission
            .arrive(now, &mut self.balancer, class, attempt, |_| false)
    }

    /// Does what the task of a service does every 100 ms.
    fn tick(&mut self) -> Vec<FairDecision<u32>> {
        let now = Instant::now();
        let mut decisions = self.admission.expire(now, &self.balancer);
        let admitted = self
            .admission
            .admit_waiters(now, &mut self.balancer, |_| false);
        decisions.extend(admitted);
        decisions
    }

    fn finish(&mut self, attempt: AttemptKey) {
        let now = Instant::now();
        self.balancer.record_response_head(now, attempt);
        self.balancer.finish(now, attempt, AttemptEnd::Answered);
    }

    /// Sends a request that is answered after 50 ms.
    async fn serve(&mut self, workspace: &str) {
        let attempts = granted(&self.arrive(0, workspace));
        assert_eq!(attempts.len(), 1, "the node has room");
        time::advance(Duration::from_millis(50)).await;
        self.finish(attempts[0]);
    }
}

fn granted(decisions: &[FairDecision<u32>]) -> Vec<AttemptKey> {
    let attempts = decisions.iter().filter_map(|decision| match decision {
        FairDecision::Decided(_, Admission::Grant(grant)) => Some(grant.attempt),
        _ => None,
    });
    attempts.collect()
}

fn rejected(decisions: &[FairDecision<u32>]) -> Vec<ErrorKind> {
    let kinds = decisions.iter().filter_map(|decision| match decision {
        FairDecision::Rejected(_, refusal) => Some(refusal.kind),
        FairDecision::Decided(..) => None,
    });
    kinds.collect()
}

// A flow that is no longer excessive waits among the others from then on. The time since one of
// those last left the queue, minutes ago, was taken for a stall: every request behind it was
// rejected, with a Retry-After of minutes.
#[tokio::test(start_paused = true)]
async fn waiters_of_a_flow_that_cools_down_do_not_look_like_a_long_stall() {
    let mut node = Node::new(3);
    for _ in 0..40 {
        node.serve("hot").await;
        time::advance(Duration::from_millis(950)).await;
    }
    // One request waits, so that the node has seen one leave the queue.
    node.report_others(FULL);
    let running = granted(&node.arrive(1, "steady"));
    assert!(node.arrive(2, "steady").is_empty());
    node.report_others(0);
    let next = granted(&node.tick());
    assert_eq!(next.len(), 1);
    for attempt in running.into_iter().chain(next) {
        node.finish(attempt);
    }
    for _ in 0..40 {
        node.serve("hot").await;
        time::advance(Duration::from_millis(950)).await;
    }
    // The hot flow is held back, and excessive for as long as its burst counts.
    node.report_others(FULL);
    let running = granted(&node.arrive(3, "steady"));
    assert_eq!(running.len(), 1);
    for waiter in 10..18 {
        let decisions = node.arrive(waiter, "hot");
        assert!(granted(&decisions).is_empty(), "{decisions:?}");
    }
    assert!(!node.admission.is_empty());
    let mut cooled = false;
    for _ in 0..35 {
        time::advance(Duration::from_millis(100)).await;
        node.report_others(FULL);
        node.tick();
        let flow = FlowKey::Workspace(name("hot"));
        cooled = !node.balancer.flows().is_excessive(Instant::now(), &flow);
        if cooled {
            break;
        }
    }
    assert!(cooled && !node.admission.is_empty());
    let decisions = node.arrive(20, "hot");
    assert_eq!(rejected(&decisions), [], "{decisions:?}");
}

// The part of a small data centre in the slots of the others may be less than one slot. A flow
// with excessive use then found no room although nothing was in flight.
#[tokio::test(start_paused = true)]
async fn an_idle_service_has_room_for_one_request_of_any_flow() {
    let mut node = Node::in_centre("ibadan", 2);
    node.balancer.set_local_node_share(1.0 / 120.0);
    for _ in 0..20 {
        node.serve("hot").await;
        time::advance(Duration::from_millis(950)).await;
    }
    for _ in 0..10 {
        node.serve("hot").await;
    }
    let flow = FlowKey::Workspace(name("hot"));
    let flows = node.balancer.flows();
    assert!(flows.is_excessive(Instant::now(), &flow));
}

// Attempts that hang until their timeout made the mean time in service, and the wait that was
// expected from it, several seconds long until many others had ended: requests were rejected
// although there would have been room in time.
#[tokio::test(start_paused = true)]
async fn attempts_that_hung_do_not_make_the_expected_wait_far_too_long() {
    let mut node = Node::new(3);
    for _ in 0..40 {
        node.serve("steady").await;
        time::advance(Duration::from_millis(450)).await;
    }
    for _ in 0..20 {
        let attempts = granted(&node.arrive(0, "steady"));
        time::advance(Duration::from_secs(4)).await;
        let now = Instant::now();
        node.balancer.finish(now, attempts[0], AttemptEnd::TimedOut);
    }
    // No upstream is avoided any more.
    time::advance(Duration::from_secs(10)).await;
    let _ = node.balancer.tick(Instant::now());
    node.report_others(FULL);
    assert_eq!(granted(&node.arrive(1, "steady")).len(), 1);
    for waiter in 2..4 {
        let decisions = node.arrive(waiter, "steady");
        assert_eq!(rejected(&decisions), [], "{decisions:?}");
    }
    assert_eq!(node.admission.len(), 2);
}
