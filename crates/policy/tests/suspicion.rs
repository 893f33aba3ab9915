//! Suspicion: when an upstream is avoided, and when it is used again.

mod common;

use std::time::Duration;

use common::{name, service};
use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge};
use gooseberrydyke_policy::service::{
    Admission, AttemptGrant, AttemptPurpose, AttemptRequest, LoadTotals, ServiceBalancer,
    UpstreamLoad,
};
use gooseberrydyke_policy::suspicion::{LateShare, SignalKind, SuspicionScore};
use model::config::{DetectionProfile, Service};
use model::ids::UpstreamId;
use tokio::time::{self, Instant};

/// Share of requests that are overdue at healthy upstreams without unusual load.
const BASE_LATE_SHARE: f64 = 0.1;
/// Target latency of the route.
const TARGET_LATENCY: Duration = Duration::from_millis(800);

fn balancer(upstreams: usize, nodes: u32) -> ServiceBalancer {
    let service = Service {
        profile: DetectionProfile::Episodes,
        ..service(upstreams, 4, 4).as_ref().clone()
    };
    let mut balancer = ServiceBalancer::new(Instant::now(), service.into(), name("ikeja"), 5);
    balancer.set_fleet_size(nodes);
    balancer
}

fn request(repeatable: bool) -> AttemptRequest {
    AttemptRequest {
        request_id: name("request-1"),
        repeatable,
        exclude: Vec::new(),
        purpose: AttemptPurpose::First,
        charge: RetryCharge::Budget,
        target_latency: Some(TARGET_LATENCY),
        class: None,
    }
}

fn admit(balancer: &mut ServiceBalancer) -> AttemptGrant {
    match balancer.admit(Instant::now(), &request(false)) {
        Admission::Grant(grant) => grant,
        other => panic!("the request was not admitted: {other:?}"),
    }
}

fn apply_signal(balancer: &mut ServiceBalancer, upstream: &UpstreamId, kind: SignalKind) {
    balancer.apply_signal(Instant::now(), upstream, kind);
}

/// A slow response is not a hang. The suspicion that a request raised while it was
/// overdue must end with its response.
#[tokio::test(start_paused = true)]
async fn one_overdue_request_raises_suspicion_and_its_late_response_reverts_it() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    assert!(!score.is_suspect(now));
    score.update(now, SignalKind::Overdue, BASE_LATE_SHARE);
    assert!(score.is_suspect(now));
    score.update(now, SignalKind::LateResponse, BASE_LATE_SHARE);
    assert!(!score.is_suspect(now));
}

/// One request in four gets a response during an episode, so a single response must not
/// clear the upstream.
#[tokio::test(start_paused = true)]
async fn one_response_does_not_end_the_suspicion_but_two_do() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    score.update(now, SignalKind::Overdue, BASE_LATE_SHARE);
    score.update(now, SignalKind::Answered, BASE_LATE_SHARE);
    assert!(score.is_suspect(now));
    score.update(now, SignalKind::Answered, BASE_LATE_SHARE);
    assert!(!score.is_suspect(now));
}

/// An upstream without requests gives no signals. Its suspicion must decay, or it might
/// never be used again.
#[tokio::test(start_paused = true)]
async fn suspicion_decays_without_evidence() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    for _ in 0..5 {
        score.update(now, SignalKind::Overdue, BASE_LATE_SHARE);
    }
    assert!(score.is_suspect(now + Duration::from_secs(9)));
    assert!(!score.is_suspect(now + Duration::from_secs(30)));
}

/// When a whole service slows down under load, most requests are overdue. One of them must
/// then hardly count against its upstream.
#[tokio::test(start_paused = true)]
async fn overdue_requests_are_weak_evidence_when_the_whole_service_is_slow() {
    let now = Instant::now();
    let mut late_share = LateShare::new(now);
    for _ in 0..10 {
        late_share.count_request(now, 48.0);
    }
    for _ in 0..400 {
        late_share.count_late(now);
    }
    let share = late_share.get(48.0);
    assert!(share > 0.5, "{share}");
    let mut score = SuspicionScore::new(now);
    score.update(now, SignalKind::Overdue, share);
    let unaffected = SuspicionScore::new(now);
    assert!(score.probability(now) < unaffected.probability(now) + 0.1);
}

/// The other nodes must learn of a hanging upstream before the attempt times out, and one
/// attempt must not count twice.
#[tokio::test(start_paused = true)]
async fn an_overdue_attempt_is_signalled_once_and_before_it_ends() {
    let mut balancer = balancer(3, 48);
    let grant = admit(&mut balancer);
    assert_eq!(
        balancer.next_overdue_at(),
        Some(Instant::now() + grant.overdue_after)
    );
    time::advance(grant.overdue_after).await;
    let _ = balancer.tick(Instant::now());
    let signals = balancer.take_signals();
    assert_eq!(signals.len(), 1);
    assert_eq!(
        (signals[0].kind, &signals[0].upstream),
        (SignalKind::Overdue, &grant.upstream.id)
    );
    let _ = balancer.tick(Instant::now());
    balancer.finish(Instant::now(), grant.attempt, AttemptEnd::TimedOut);
    assert!(balancer.take_signals().is_empty());
}

/// Many upstreams can be suspect at the same time. If all of them were avoided, the rest
/// could not carry the load.
#[tokio::test(start_paused = true)]
async fn a_suspect_upstream_gets_only_trials_and_at_most_half_are_avoided() {
    let mut balancer = balancer(6, 1_000);
    for number in 0..5 {
        let id = name(&format!("up-{number}"));
        for _ in 0..=number {
            apply_signal(&mut balancer, &id, SignalKind::Overdue);
        }
    }
    let mut count_by_upstream = std::collections::BTreeMap::new();
    for _ in 0..300 {
        let grant = admit(&mut balancer);
        *count_by_upstream
            .entry(grant.upstream.id.to_string())
            .or_insert(0) += 1;
        balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Cancelled);
    }
    let unavoided_count: usize = ["up-0", "up-1", "up-5"]
        .iter()
        .filter_map(|id| count_by_upstream.get(*id))
        .sum();
    assert!(unavoided_count >= 295, "{count_by_upstream:?}");
}

/// An episode ends after some seconds. A few trials must be enough to find that out.
#[tokio::test(start_paused = true)]
async fn a_suspect_upstream_that_passes_its_trials_is_used_again() {
    let mut balancer = balancer(2, 1);
    let id: UpstreamId = name("up-0");
    apply_signal(&mut balancer, &id, SignalKind::Overdue);
    let mut trials = 0;
    for _ in 0..200 {
        time::advance(Duration::from_millis(100)).await;
        let grant = admit(&mut balancer);
        trials += usize::from(grant.trial);
        balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Answered);
    }
    assert!((1..=6).contains(&trials), "{trials} trials");
    let signals = balancer.take_signals();
    assert!(signals.iter().all(|signal| signal.upstream == id));
    let used: std::collections::BTreeSet<_> = (0..50)
        .map(|_| {
            let grant = admit(&mut balancer);
            balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Answered);
            grant.upstream.id.clone()
        })
        .collect();
    assert!(used.contains(&id));
}

/// Other nodes may reach the upstream over another network path, so a failed connect must
/// affect only the node that saw it.
#[tokio::test(start_paused = true)]
async fn a_failed_connect_is_not_signalled_to_other_nodes() {
    let mut balancer = balancer(2, 48);
    let grant = admit(&mut balancer);
    balancer.finish(Instant::now(), grant.attempt, AttemptEnd::ConnectFailed);
    assert!(balancer.take_signals().is_empty());
    let next = admit(&mut balancer);
    assert_ne!(next.upstream.id, grant.upstream.id);
}

/// An upstream that other nodes fill must not get more requests. A count that is no
/// longer updated must not keep requests away from it.
#[tokio::test(start_paused = true)]
async fn load_of_the_data_centre_counts_until_it_expires() {
    // Both up-0 and up-3 are in the node's data centre.
    let mut balancer = balancer(6, 48);
    let load = UpstreamLoad {
        service: name("service"),
        upstream: name("up-0"),
        in_flight: 3,
    };
    balancer.apply_data_centre_load(Instant::now(), &load);
    let count_uses = |balancer: &mut ServiceBalancer| {
        let used = (0..40).map(|_| {
            let grant = admit(balancer);
            balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Cancelled);
            grant.upstream.id.clone()
        });
        used.filter(|id| *id == name("up-0")).count()
    };
    assert_eq!(
        count_uses(&mut balancer),
        0,
        "three requests of the other nodes fill it"
    );
    time::advance(Duration::from_secs(4)).await;
    assert!(count_uses(&mut balancer) > 5, "an expired count is ignored");
}

/// Until an attempt is overdue, a hanging upstream would get as many requests as others.
#[tokio::test(start_paused = true)]
async fn an_upstream_without_responses_gets_fewer_requests_before_one_is_overdue() {
    // Both up-0 and up-3 are in the node's data centre.
    let mut balancer = balancer(6, 48);
    for _ in 0..30 {
        let grant = admit(&mut balancer);
        time::advance(Duration::from_millis(200)).await;
        balancer.record_response_head(Instant::now(), grant.attempt);
        balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Answered);
    }
    let apply_load = |balancer: &mut ServiceBalancer, upstream, in_flight| {
        let load = UpstreamLoad {
            service: name("service"),
            upstream: name(upstream),
            in_flight,
        };
        balancer.apply_data_centre_load(Instant::now(), &load);
    };
    apply_load(&mut balancer, "up-0", 1);
    time::advance(Duration::from_millis(600)).await;
    apply_load(&mut balancer, "up-3", 3);
    apply_load(&mut balancer, "up-3", 2);
    let grant = admit(&mut balancer);
    assert_eq!(grant.upstream.id, name("up-3"));
    balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Cancelled);
    apply_load(&mut balancer, "up-0", 2);
    apply_load(&mut balancer, "up-0", 1);
    let grant = admit(&mut balancer);
    assert_eq!(grant.upstream.id, name("up-0"), "a response arrived there");
}

/// Every node of a data centre reports to the same relay, so a report must contain only
/// counts that changed.
#[tokio::test(start_paused = true)]
async fn only_changed_counts_are_reported() {
    let mut balancer = balancer(2, 48);
    assert!(!balancer.has_unreported_load());
    let grant = admit(&mut balancer);
    assert!(balancer.has_unreported_load());
    let report = balancer.take_load_report();
    assert_eq!((report.loads.len(), report.loads[0].in_flight), (1, 1));
    // One of two reports in a row may be lost.
    assert!(balancer.has_unreported_load());
    let repeated = balancer.take_load_report();
    assert_eq!((repeated.loads.len(), repeated.loads[0].in_flight), (1, 1));
    assert!(!balancer.has_unreported_load());
    assert!(balancer.take_load_report().loads.is_empty());
    balancer.finish(Instant::now(), grant.attempt, AttemptEnd::Answered);
    assert_eq!(balancer.take_load_report().loads[0].in_flight, 0);
}

/// A node that disappears does not report its requests as finished. Its last count must
/// expire.
#[tokio::test(start_paused = true)]
async fn totals_are_published_on_change_and_drop_expired_counts() {
    let load = |in_flight| UpstreamLoad {
        service: name("service"),
        upstream: name("up-0"),
        in_flight,
    };
    let mut totals = LoadTotals::default();
    totals.record(Instant::now(), &name("node-1"), vec![load(2)]);
    totals.record(Instant::now(), &name("node-2"), vec![load(1)]);
    assert_eq!(totals.take_changed(Instant::now()), [load(3)]);
    // One of two messages in a row may be lost.
    assert!(totals.has_changed());
    assert_eq!(totals.take_changed(Instant::now()), [load(3)]);
    assert!(!totals.has_changed());
    // A repeated report is no change.
    totals.record(Instant::now(), &name("node-2"), vec![load(1)]);
    assert!(!totals.has_changed());
    totals.record(Instant::now(), &name("node-1"), vec![load(0)]);
    assert_eq!(totals.take_changed(Instant::now()), [load(1)]);
    time::advance(Duration::from_secs(6)).await;
    totals.record(Instant::now(), &name("node-3"), vec![load(4)]);
    assert_eq!(totals.take_changed(Instant::now()), [load(4)]);
}
