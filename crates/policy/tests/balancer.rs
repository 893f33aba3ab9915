//! The service balancer: which upstreams get requests, and what counts as evidence.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{name, service};
use gooseberrydyke_policy::detection::{Verdict, VerdictScope};
use gooseberrydyke_policy::ejection::{Ejection, EjectionRecord};
use gooseberrydyke_policy::office::{HolderTerm, OfficeGrant, OfficeTerm};
use gooseberrydyke_policy::permit::{LimitState, LimitVersion, Permit, PermitDraw, PermitReply};
use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge, RetryContext, RetryRefusal};
use gooseberrydyke_policy::service::{
    Admission, AttemptGrant, AttemptPurpose, AttemptRequest, PreviewDecision, ServiceBalancer,
    UpstreamStatus, choose_subset,
};
use gooseberrydyke_policy::suspicion::SignalKind;
use model::clock::UnixMillis;
use model::config::{DetectionProfile, RetryAllowance, Service, UpstreamState};
use model::error::ErrorKind;
use model::ids::{NodeId, UpstreamId};
use model::sizes::RequestCount;
use tokio::time::{self, Instant};

fn holder_term() -> HolderTerm {
    HolderTerm {
        holder: "owner".parse().unwrap(),
        term: OfficeTerm::default(),
    }
}

fn balancer(upstreams: usize) -> ServiceBalancer {
    ServiceBalancer::new(Instant::now(), service(upstreams, 4, 4), name("ikeja"), 5)
}

fn request(repeatable: bool) -> AttemptRequest {
    AttemptRequest {
        request_id: name("request-1"),
        repeatable,
        exclude: Vec::new(),
        purpose: AttemptPurpose::First,
        charge: RetryCharge::Budget,
        target_latency: None,
        class: None,
    }
}

fn admit(balancer: &mut ServiceBalancer, repeatable: bool) -> AttemptGrant {
    match balancer.admit(Instant::now(), &request(repeatable)) {
        Admission::Grant(grant) => grant,
        other => panic!("the request was not admitted: {other:?}"),
    }
}

fn finish(balancer: &mut ServiceBalancer, grant: &AttemptGrant, end: AttemptEnd) {
    balancer.finish(Instant::now(), grant.attempt, end);
}

/// Runs `count` successful requests, one after another; returns their upstreams.
fn run_requests(balancer: &mut ServiceBalancer, count: usize, repeatable: bool) -> Vec<UpstreamId> {
    let used = (0..count).map(|_| {
        let grant = admit(balancer, repeatable);
        finish(balancer, &grant, AttemptEnd::Answered);
        grant.upstream.id.clone()
    });
    used.collect()
}

/// Requests must stay in the node's data centre while its upstreams have room. Beyond
/// that they must go to remote upstreams, and wait once all are full.
#[tokio::test(start_paused = true)]
async fn local_upstreams_are_preferred_and_overflow_goes_to_remote_ones() {
    let mut balancer = balancer(6);
    let local = run_requests(&mut balancer, 50, false);
    assert!(
        local
            .iter()
            .all(|id| [name("up-0"), name("up-3")].contains(id)),
        "{local:?}"
    );
    let grants: Vec<_> = (0..24).map(|_| admit(&mut balancer, false)).collect();
    let remote = grants
        .iter()
        .filter(|grant| grant.upstream.data_centre.as_str() != "ikeja");
    assert_eq!(remote.count(), 16);
    assert!(matches!(
        balancer.admit(Instant::now(), &request(false)),
        Admission::Wait
    ));
}

/// An upstream that is about to stop announces a drain in a response or is drained by the
/// configuration. It must finish its requests without getting new ones.
#[tokio::test(start_paused = true)]
async fn a_draining_upstream_gets_no_new_requests() {
    let mut balancer = balancer(3);
    assert!(balancer.record_drain(Instant::now(), &name("up-0")));
    assert!(
        !balancer.record_drain(Instant::now(), &name("up-0")),
        "the drain was reported as new twice"
    );
    let used = run_requests(&mut balancer, 100, true);
    assert!(!used.contains(&name("up-0")));
    let mut configured = service(3, 4, 4);
    Arc::make_mut(&mut configured).upstreams[1].state = UpstreamState::Draining;
    balancer.configure(Instant::now(), configured);
    assert!(!run_requests(&mut balancer, 100, true).contains(&name("up-1")));
}

/// An upstream can be removed while it handles requests. It must get no new ones, and the
/// end of those in flight must still be recorded.
#[tokio::test(start_paused = true)]
async fn an_upstream_removed_from_the_configuration_finishes_its_requests() {
    let mut balancer = balancer(3);
    let grant = admit(&mut balancer, false);
    let mut configured = service(3, 4, 4);
    Arc::make_mut(&mut configured)
        .upstreams
        .retain(|up| up.id != grant.upstream.id);
    balancer.configure(Instant::now(), configured);
    assert!(!run_requests(&mut balancer, 100, true).contains(&grant.upstream.id));
    finish(&mut balancer, &grant, AttemptEnd::Answered);
    assert_eq!(balancer.in_flight(), 0);
}

/// Every request to a failing upstream may fail. An avoided upstream must get few trials,
/// and only by repeatable requests, because a failed trial loses the others.
#[tokio::test(start_paused = true)]
async fn an_ejected_upstream_gets_no_requests_and_an_avoided_one_only_trials() {
    let mut balancer = balancer(3);
    balancer.set_fleet_size(48);
    let mut record = EjectionRecord::empty(name("stocklist"));
    let ejection = Ejection {
        at: UnixMillis::new(1),
        until: UnixMillis::new(2),
    };
    record.ejected.insert(name("up-1"), ejection);
    balancer.apply_ejection_record(Instant::now(), &record);
    let avoid = Verdict::Avoid(VerdictScope::Fleet);
    balancer.apply_verdict(Instant::now(), &name("up-0"), &avoid);
    let used = run_requests(&mut balancer, 200, true);
    assert!(!used.contains(&name("up-1")));
    let trials = used.iter().filter(|id| **id == name("up-0")).count();
    assert!(trials <= 1, "{trials} trials");
    assert_eq!(
        run_requests(&mut balancer, 50, false)
            .iter()
            .filter(|id| **id == name("up-0"))
            .count(),
        0
    );
}

/// If all upstreams are avoided, requests must still be sent to them instead of being
/// refused.
#[tokio::test(start_paused = true)]
async fn avoided_upstreams_serve_when_no_healthy_one_is_left() {
    let mut balancer = balancer(2);
    for id in ["up-0", "up-1"] {
        balancer.apply_verdict(Instant::now(), &name(id), &Verdict::Eject);
    }
    admit(&mut balancer, false);
    admit(&mut balancer, false);
    assert!(matches!(
        balancer.admit(Instant::now(), &request(false)),
        Admission::Wait
    ));
}

/// A collector may disappear before it clears a verdict. Nodes must not avoid the
/// upstream forever.
#[tokio::test(start_paused = true)]
async fn a_verdict_expires_unless_it_is_sent_again() {
    let mut balancer = balancer(3);
    balancer.apply_verdict(Instant::now(), &name("up-0"), &Verdict::Eject);
    assert_eq!(
        balancer.views(Instant::now())[&name("up-0")].status,
        UpstreamStatus::Avoided
    );
    time::advance(Duration::from_secs(11)).await;
    balancer.tick(Instant::now());
    assert_eq!(
        balancer.views(Instant::now())[&name("up-0")].status,
        UpstreamStatus::Healthy
    );
}

/// An upstream that hangs must be noticed before its requests time out, and each of them
/// must count once.
#[tokio::test(start_paused = true)]
async fn an_overdue_request_is_evidence_before_it_ends() {
    let mut balancer = balancer(3);
    for _ in 0..30 {
        let grant = admit(&mut balancer, false);
        time::advance(Duration::from_millis(10)).await;
        finish(&mut balancer, &grant, AttemptEnd::Answered);
    }
    balancer.tick(Instant::now());
    let grant = admit(&mut balancer, false);
    time::advance(Duration::from_millis(400)).await;
    let report = balancer.tick(Instant::now()).expect("a report is due");
    assert_eq!(report.counts[&grant.upstream.id].bad, 1);
    finish(&mut balancer, &grant, AttemptEnd::TimedOut);
    time::advance(Duration::from_millis(400)).await;
    assert!(
        balancer.tick(Instant::now()).is_none(),
        "the overdue request was counted twice"
    );
}

/// Some ends of an attempt, such as a cancellation, say nothing about the upstream.
/// Neither does a missing response on a connection that may be dead.
#[tokio::test(start_paused = true)]
async fn neutral_ends_and_suspect_connections_are_no_evidence() {
    let mut balancer = balancer(3);
    for end in [
        AttemptEnd::Unresponsive,
        AttemptEnd::Cancelled,
        AttemptEnd::NotSent,
        AttemptEnd::Shed,
    ] {
        let grant = admit(&mut balancer, false);
        finish(&mut balancer, &grant, end);
    }
    let grant = admit(&mut balancer, false);
    balancer.mark_connection_suspect(grant.attempt);
    time::advance(Duration::from_secs(30)).await;
    assert!(balancer.tick(Instant::now()).is_none());
}

/// An attempt that a later hedge overtakes shows a slow upstream, unless its connection
/// may be dead.
#[tokio::test(start_paused = true)]
async fn an_attempt_outpaced_by_a_hedge_is_evidence_unless_its_connection_is_suspect() {
    let mut balancer = balancer(3);
    let grant = admit(&mut balancer, false);
    balancer.mark_connection_suspect(grant.attempt);
    finish(&mut balancer, &grant, AttemptEnd::Outpaced);
    assert!(balancer.tick(Instant::now()).is_none());
    let grant = admit(&mut balancer, false);
    finish(&mut balancer, &grant, AttemptEnd::Outpaced);
    let report = balancer.tick(Instant::now()).expect("a report is due");
    assert_eq!(report.counts[&grant.upstream.id].bad, 1);
}

/// A caller that reads the body slowly delays the end of the attempt. Only the time to the
/// head of the response may count against the upstream.
#[tokio::test(start_paused = true)]
async fn a_slowly_read_response_body_is_no_evidence() {
    let mut balancer = balancer(1);
    for _ in 0..30 {
        run_requests(&mut balancer, 1, false);
    }
    time::advance(Duration::from_secs(1)).await;
    balancer.tick(Instant::now());
    let grant = admit(&mut balancer, false);
    balancer.record_response_head(Instant::now(), grant.attempt);
    time::advance(Duration::from_mins(1)).await;
    finish(&mut balancer, &grant, AttemptEnd::Answered);
    let report = balancer.tick(Instant::now()).expect("a report is due");
    assert_eq!(report.counts[&grant.upstream.id].bad, 0);
}

/// A workspace with many requests must not use up what the other workspaces may send.
#[tokio::test(start_paused = true)]
async fn a_workspace_at_its_limit_does_not_block_the_others() {
    let mut balancer = balancer(3);
    let limit = Some(RequestCount::new(2));
    assert!(balancer.enter_workspace(&name("lagos"), limit));
    assert!(balancer.enter_workspace(&name("lagos"), limit));
    assert!(!balancer.enter_workspace(&name("lagos"), limit));
    assert!(balancer.enter_workspace(&name("kano"), limit));
    balancer.leave_workspace(&name("lagos"));
    assert!(balancer.enter_workspace(&name("lagos"), limit));
}

/// A retry must not run a once-only request twice, exceed the number of attempts or the
/// budget, or start too close to the deadline.
#[tokio::test(start_paused = true)]
async fn retries_depend_on_the_route_rule_the_deadline_and_the_budget() {
    let mut balancer = balancer(3);
    let context = RetryContext {
        end: AttemptEnd::TimedOut,
        repeatable: true,
        shed_is_not_run: true,
        charge: RetryCharge::Budget,
        body_retained: true,
        attempts: 1,
        attempts_max: 3,
        time_left: Duration::from_secs(1),
    };
    let once_only = RetryContext {
        repeatable: false,
        ..context
    };
    assert_eq!(
        balancer.decide_retry(Instant::now(), &once_only),
        Err(RetryRefusal::Rule)
    );
    for end in [
        AttemptEnd::ConnectFailed,
        AttemptEnd::NotSent,
        AttemptEnd::Shed,
    ] {
        assert_eq!(
            balancer.decide_retry(Instant::now(), &RetryContext { end, ..once_only }),
            Ok(())
        );
    }
    let shed_may_have_run = RetryContext {
        end: AttemptEnd::Shed,
        shed_is_not_run: false,
        ..once_only
    };
    assert_eq!(
        balancer.decide_retry(Instant::now(), &shed_may_have_run),
        Err(RetryRefusal::Rule)
    );
    let near_deadline = RetryContext {
        time_left: Duration::ZERO,
        ..context
    };
    assert_eq!(
        balancer.decide_retry(Instant::now(), &near_deadline),
        Err(RetryRefusal::Time)
    );
    let exhausted = RetryContext {
        attempts: 3,
        ..context
    };
    assert_eq!(
        balancer.decide_retry(Instant::now(), &exhausted),
        Err(RetryRefusal::Attempts)
    );
    // The initial balance covers three retries. Of the retries above, only the one after
    // a shed response was charged, because the others did not reach an upstream.
    for _ in 0..2 {
        assert_eq!(balancer.decide_retry(Instant::now(), &context), Ok(()));
    }
    assert_eq!(
        balancer.decide_retry(Instant::now(), &context),
        Err(RetryRefusal::Budget)
    );
    let not_connected = RetryContext {
        end: AttemptEnd::ConnectFailed,
        ..context
    };
    assert_eq!(
        balancer.decide_retry(Instant::now(), &not_connected),
        Ok(())
    );
    assert_eq!(
        balancer.decide_retry(
            Instant::now(),
            &RetryContext {
                charge: RetryCharge::Trial,
                ..context
            }
        ),
        Ok(())
    );
    run_requests(&mut balancer, 10, false);
    assert_eq!(balancer.decide_retry(Instant::now(), &context), Ok(()));
}

/// The fleet's bound on retries counts each request once, however often it is decided on.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_deposits_retry_tokens_once() {
    let config = Service {
        profile: DetectionProfile::Episodes,
        retry_allowance: RetryAllowance {
            ratio_permille: 190,
            max_millitokens: 0,
            initial_millitokens: 0,
            fleet_max_millitokens: 60_800,
        },
        ..service(1, 1, 1).as_ref().clone()
    };
    let mut balancer = ServiceBalancer::new(Instant::now(), Arc::new(config), name("ikeja"), 5);
    admit(&mut balancer, false);
    let waiting = balancer.admit(Instant::now(), &request(false));
    assert!(matches!(waiting, Admission::Wait));
    for _ in 0..10 {
        let waiting = balancer.readmit(Instant::now(), &request(false));
        assert!(matches!(waiting, Admission::Wait));
    }
    let deposit = balancer.take_load_report().deposit.unwrap();
    assert_eq!(deposit.millitokens, 2 * 190);
}

/// Without an upstream, a queued request would wait in vain until its deadline.
#[tokio::test(start_paused = true)]
async fn a_service_without_upstreams_refuses_requests() {
    let mut balancer = balancer(0);
    let admission = balancer.admit(Instant::now(), &request(true));
    assert!(matches!(
        admission,
        Admission::Refuse(ErrorKind::NoUpstream)
    ));
}

/// Without subsets, each of the 580 nodes would connect to every upstream.
#[test]
fn subsets_bound_the_number_of_nodes_per_upstream() {
    let service = service(17, 4, 4);
    let mut nodes_by_upstream = std::collections::BTreeMap::new();
    for node in 0..580 {
        let id: NodeId = name(&format!("node-{node}"));
        let data_centre = name(common::CENTRES[node % 3]);
        for upstream in choose_subset(&id, &data_centre, &service, 580) {
            *nodes_by_upstream.entry(upstream).or_insert(0) += 1;
        }
    }
    assert_eq!(nodes_by_upstream.len(), 17);
    assert!(
        nodes_by_upstream.values().all(|count| *count <= 400),
        "{nodes_by_upstream:?}"
    );
}

// An upstream that asks for a pause gets nothing until its end, whatever would select it; after
// that its load returns gradually.
#[tokio::test(start_paused = true)]
async fn a_pausing_upstream_gets_nothing_and_returns_gradually() {
    let mut balancer = balancer(3);
    let pause = "2".parse().unwrap();
    let paused: UpstreamId = name("up-0");
    balancer.record_pause(Instant::now(), &paused, pause);
    let used = run_requests(&mut balancer, 100, true);
    assert!(!used.contains(&paused));
    time::advance(Duration::from_millis(1_900)).await;
    assert!(!run_requests(&mut balancer, 100, true).contains(&paused));
    time::advance(Duration::from_millis(300)).await;
    let grants: Vec<_> = (0..12).map(|_| admit(&mut balancer, false)).collect();
    let early = grants.iter().filter(|grant| grant.upstream.id == paused);
    assert!(early.count() <= 4);
}

// With all upstreams pausing, a request is rejected at once with the time to the first return.
#[tokio::test(start_paused = true)]
async fn a_request_is_rejected_at_once_while_all_upstreams_pause() {
    let mut balancer = balancer(3);
    for (upstream, seconds) in [("up-0", "7"), ("up-1", "3"), ("up-2", "5.5")] {
        let pause = seconds.parse().unwrap();
        balancer.record_pause(Instant::now(), &name(upstream), pause);
    }
    let admission = balancer.admit(Instant::now(), &request(true));
    let Admission::RateLimited(wait) = admission else {
        panic!("the request was not rejected: {admission:?}");
    };
    assert_eq!(wait, Duration::from_secs(3));
}

// A process that was paused between the draw of a permit and its use would send the request
// although the permits of that time have been granted to others since.
#[tokio::test(start_paused = true)]
async fn a_permit_is_not_used_after_a_pause_of_the_process() {
    for (pause, is_used) in [(50, true), (3_000, false)] {
        let mut balancer = balancer(1);
        let state = LimitState {
            rate: Some("2".parse().unwrap()),
            version: LimitVersion::default().next(),
        };
        balancer.apply_limit(&name("up-0"), state);
        let admission = balancer.admit(Instant::now(), &request(false));
        let Admission::PermitNeeded(permit_request) = admission else {
            panic!("no permit was needed: {admission:?}");
        };
        let permit = Permit {
            upstream: name("up-0"),
            version: state.version,
        };
        let draw = PermitDraw {
            request: permit_request,
            grant: Some(OfficeGrant::new(Instant::now(), holder_term())),
            reply: Some(PermitReply {
                permit: Some(permit),
                outlooks: Vec::new(),
            }),
            is_last: true,
        };
        time::advance(Duration::from_millis(pause)).await;
        let admission = balancer.admit_with_draw(Instant::now(), &request(false), &draw);
        let granted = matches!(admission, Admission::Grant(_));
        assert_eq!(granted, is_used, "{pause} ms: {admission:?}");
    }
}

/// Removes an upstream from the configuration for a while, as when its entry expires and is
/// written again.
async fn remove_for_a_while(balancer: &mut ServiceBalancer, upstream: &UpstreamId) {
    let configured = Arc::clone(balancer.service());
    let mut without = configured.as_ref().clone();
    without.upstreams.retain(|up| up.id != *upstream);
    balancer.configure(Instant::now(), Arc::new(without));
    time::advance(Duration::from_millis(500)).await;
    balancer.configure(Instant::now(), configured);
}

/// A service whose upstreams are instances, which never return to service.
fn instance_balancer() -> ServiceBalancer {
    let mut service = service(3, 4, 4).as_ref().clone();
    for upstream in &mut service.upstreams {
        upstream.instance = Some(upstream.id.as_str().into());
    }
    ServiceBalancer::new(Instant::now(), Arc::new(service), name("ikeja"), 5)
}

// An entry that expires and is written again is still the instance that asked for the pause.
#[tokio::test(start_paused = true)]
async fn a_pause_outlasts_the_removal_of_the_upstream() {
    let mut balancer = balancer(3);
    let paused = name("up-0");
    balancer.record_pause(Instant::now(), &paused, "2".parse().unwrap());
    remove_for_a_while(&mut balancer, &paused).await;
    time::advance(Duration::from_millis(1_400)).await;
    assert!(!run_requests(&mut balancer, 100, true).contains(&paused));
    time::advance(Duration::from_secs(5)).await;
    assert!(run_requests(&mut balancer, 100, true).contains(&paused));
}

#[tokio::test(start_paused = true)]
async fn a_stated_drain_outlasts_the_removal_of_the_instance() {
    let mut balancer = instance_balancer();
    let draining = name("up-0");
    balancer.record_drain(Instant::now(), &draining);
    for _ in 0..3 {
        remove_for_a_while(&mut balancer, &draining).await;
        time::advance(Duration::from_hours(2)).await;
        balancer.tick(Instant::now());
        assert!(!run_requests(&mut balancer, 100, true).contains(&draining));
    }
}

/// Adds an instance to the configuration.
fn add_instance(balancer: &mut ServiceBalancer, id: &UpstreamId) {
    let mut configured = balancer.service().as_ref().clone();
    let mut upstream = configured.upstreams[0].clone();
    upstream.id = id.clone();
    upstream.instance = Some(id.as_str().into());
    configured.upstreams.push(upstream);
    balancer.configure(Instant::now(), Arc::new(configured));
}

// Another node may state a drain before this one has read the entry of the instance.
#[tokio::test(start_paused = true)]
async fn a_drain_of_an_instance_that_is_not_configured_yet_is_kept() {
    let mut balancer = instance_balancer();
    let draining: UpstreamId = name("up-9");
    balancer.record_drain(Instant::now(), &draining);
    add_instance(&mut balancer, &draining);
    assert!(!run_requests(&mut balancer, 100, true).contains(&draining));
}

// Without its limit, an upstream would get requests without a permit from every node at once.
#[tokio::test(start_paused = true)]
async fn a_limit_outlasts_the_removal_of_the_upstream() {
    let mut balancer = balancer(1);
    let state = LimitState {
        rate: Some("2".parse().unwrap()),
        version: LimitVersion::default().next(),
    };
    balancer.apply_limit(&name("up-0"), state);
    remove_for_a_while(&mut balancer, &name("up-0")).await;
    let admission = balancer.admit(Instant::now(), &request(false));
    assert!(
        matches!(admission, Admission::PermitNeeded(_)),
        "{admission:?}"
    );
}

// Instances come and go for as long as a node runs.
#[tokio::test(start_paused = true)]
async fn of_the_removed_instances_only_the_last_ones_are_remembered() {
    let mut balancer = instance_balancer();
    let gone = |number: usize| name::<UpstreamId>(&format!("gone-{number}"));
    for number in 0..5_000 {
        balancer.record_drain(Instant::now(), &gone(number));
    }
    add_instance(&mut balancer, &gone(0));
    add_instance(&mut balancer, &gone(4_999));
    let used = run_requests(&mut balancer, 200, true);
    assert!(used.contains(&gone(0)));
    assert!(!used.contains(&gone(4_999)));
}

/// A service whose nodes share the news of their requests.
fn sharing_service(upstreams: usize) -> Service {
    Service {
        profile: DetectionProfile::Episodes,
        ..service(upstreams, 4, 4).as_ref().clone()
    }
}

// Every node of the data centre may have been asked for the same pause. After it, one of them
// sends the first request, and not all.
#[tokio::test(start_paused = true)]
async fn the_nodes_of_a_fleet_do_not_all_return_to_an_upstream_at_once() {
    const NODES: u32 = 48;
    let paused: UpstreamId = name("up-0");
    let mut fleet: Vec<_> = (0..NODES)
        .map(|seed| {
            let service = Arc::new(sharing_service(9));
            let mut balancer =
                ServiceBalancer::new(Instant::now(), service, name("ikeja"), seed.into());
            balancer.set_fleet_size(NODES);
            run_requests(&mut balancer, 40, true);
            balancer.record_pause(Instant::now(), &paused, "60".parse().unwrap());
            balancer
        })
        .collect();
    let mut arrivals = 0;
    for _ in 0..602 {
        time::advance(Duration::from_millis(100)).await;
        for balancer in &mut fleet {
            let used = run_requests(balancer, 1, true);
            arrivals += used.iter().filter(|id| **id == paused).count();
        }
    }
    // 200 ms after the end of the pause.
    assert!(arrivals <= 4, "{arrivals} requests");
}

// After a pause, an upstream is in service again within the time of an offer.
#[tokio::test(start_paused = true)]
async fn a_node_without_others_returns_to_an_upstream_soon_after_its_pause() {
    let paused: UpstreamId = name("up-0");
    for seed in 0..20 {
        let service = Arc::new(sharing_service(9));
        let mut balancer = ServiceBalancer::new(Instant::now(), service, name("ikeja"), seed);
        run_requests(&mut balancer, 40, true);
        balancer.record_pause(Instant::now(), &paused, "10".parse().unwrap());
        time::advance(Duration::from_secs(10)).await;
        let mut used = Vec::new();
        for _ in 0..20 {
            time::advance(Duration::from_millis(50)).await;
            used.extend(run_requests(&mut balancer, 1, true));
        }
        assert!(used.contains(&paused), "seed {seed}: {used:?}");
    }
}

/// How many of 300 requests an upstream gets, one after another. With two others in the data
/// centre, its share is 100.
fn count_of_300(balancer: &mut ServiceBalancer, upstream: &UpstreamId) -> usize {
    let used = run_requests(balancer, 300, false);
    used.iter().filter(|id| *id == upstream).count()
}

// An upstream that returns to service slowly does not return faster because it asks for a pause.
#[tokio::test(start_paused = true)]
async fn a_short_pause_does_not_shorten_the_return_to_service() {
    let mut balancer = balancer(9);
    let returning: UpstreamId = name("up-0");
    balancer.apply_verdict(Instant::now(), &returning, &Verdict::Eject);
    balancer.apply_verdict(Instant::now(), &returning, &Verdict::Clear);
    balancer.record_pause(Instant::now(), &returning, "0.1".parse().unwrap());
    time::advance(Duration::from_secs(4)).await;
    let count = count_of_300(&mut balancer, &returning);
    assert!(count < 60, "{count} requests");
    time::advance(Duration::from_secs(30)).await;
    let count = count_of_300(&mut balancer, &returning);
    assert!(count > 80, "{count} requests");
}

// A verdict that ends early in a pause does not use up the return after it.
#[tokio::test(start_paused = true)]
async fn load_returns_gradually_after_a_pause_in_which_a_verdict_ended() {
    let mut balancer = balancer(9);
    let paused: UpstreamId = name("up-0");
    balancer.record_pause(Instant::now(), &paused, "60".parse().unwrap());
    balancer.apply_verdict(Instant::now(), &paused, &Verdict::Eject);
    balancer.apply_verdict(Instant::now(), &paused, &Verdict::Clear);
    time::advance(Duration::from_millis(60_100)).await;
    let count = count_of_300(&mut balancer, &paused);
    assert!(count < 60, "{count} requests");
    time::advance(Duration::from_secs(3)).await;
    let count = count_of_300(&mut balancer, &paused);
    assert!(count > 80, "{count} requests");
}

// A caller that comes back sends a new request, which may use the upstreams that were tried.
#[tokio::test(start_paused = true)]
async fn a_retry_that_only_paused_upstreams_could_serve_tells_the_first_return() {
    let mut balancer = balancer(2);
    for (upstream, seconds) in [("up-0", "7"), ("up-1", "3")] {
        balancer.record_pause(Instant::now(), &name(upstream), seconds.parse().unwrap());
    }
    let mut retry = AttemptRequest {
        purpose: AttemptPurpose::Retry,
        exclude: vec![name("up-1")],
        ..request(true)
    };
    for _ in 0..2 {
        let admission = balancer.admit(Instant::now(), &retry);
        let Admission::RateLimited(wait) = admission else {
            panic!("the retry was not rejected with a time: {admission:?}");
        };
        assert_eq!(wait, Duration::from_secs(3));
        retry.exclude.push(name("up-0"));
    }
}

// One that was tried and asks for no pause may serve at once when the caller comes back.
#[tokio::test(start_paused = true)]
async fn a_retry_tells_no_long_time_if_a_tried_upstream_does_not_pause() {
    let mut balancer = balancer(2);
    balancer.record_pause(Instant::now(), &name("up-0"), "30".parse().unwrap());
    let retry = AttemptRequest {
        purpose: AttemptPurpose::Retry,
        exclude: vec![name("up-1")],
        ..request(true)
    };
    let admission = balancer.admit(Instant::now(), &retry);
    let Admission::RateLimited(wait) = admission else {
        panic!("the retry was not rejected with a time: {admission:?}");
    };
    assert_eq!(wait, Duration::ZERO);
}

// Operators see why an upstream gets nothing, and since when.
#[tokio::test(start_paused = true)]
async fn the_view_of_an_upstream_tells_the_age_and_the_rest_of_its_pause() {
    let mut balancer = balancer(1);
    let paused: UpstreamId = name("up-0");
    balancer.record_pause(Instant::now(), &paused, "10".parse().unwrap());
    time::advance(Duration::from_secs(3)).await;
    // A shorter one changes nothing.
    balancer.record_pause(Instant::now(), &paused, "1".parse().unwrap());
    remove_for_a_while(&mut balancer, &paused).await;
    let pause = balancer.views(Instant::now())[&paused].pause.unwrap();
    assert_eq!(pause.age, Duration::from_millis(3_500));
    assert_eq!(pause.left, Duration::from_millis(6_500));
    time::advance(Duration::from_secs(7)).await;
    assert_eq!(balancer.views(Instant::now())[&paused].pause, None);
}

// Whatever makes an attempt, and however upstreams are compared, a drain and a pause hold.
#[tokio::test(start_paused = true)]
async fn no_attempt_of_any_purpose_goes_to_an_upstream_that_drains_or_pauses() {
    for profile in [DetectionProfile::Detection, DetectionProfile::Episodes] {
        let service = Service {
            profile,
            ..service(9, 4, 4).as_ref().clone()
        };
        let service = Arc::new(service);
        let mut balancer = ServiceBalancer::new(Instant::now(), service, name("ikeja"), 5);
        let (draining, paused): (UpstreamId, UpstreamId) = (name("up-0"), name("up-3"));
        balancer.record_drain(Instant::now(), &draining);
        balancer.record_pause(Instant::now(), &paused, "50".parse().unwrap());
        for id in [&draining, &paused] {
            balancer.apply_verdict(Instant::now(), id, &Verdict::Eject);
        }
        for _ in 0..40 {
            // An offer, a trial and a probe of recovery are due by now.
            time::advance(Duration::from_secs(1)).await;
            for purpose in AttemptPurpose::ALL {
                let request = AttemptRequest {
                    purpose: *purpose,
                    charge: RetryCharge::Trial,
                    ..request(true)
                };
                let Admission::Grant(grant) = balancer.admit(Instant::now(), &request) else {
                    continue;
                };
                let used = &grant.upstream.id;
                assert!(![&draining, &paused].contains(&used), "{purpose}: {used}");
                finish(&mut balancer, &grant, AttemptEnd::Answered);
            }
        }
    }
}

// Another instance that responds at the address says nothing final about the one that was meant.
#[tokio::test(start_paused = true)]
async fn an_upstream_whose_address_had_another_instance_is_tried_again() {
    let mut balancer = instance_balancer();
    let misdirected: UpstreamId = name("up-0");
    assert!(balancer.record_misdirected(Instant::now(), &misdirected));
    time::advance(Duration::from_secs(50)).await;
    balancer.tick(Instant::now());
    assert!(!run_requests(&mut balancer, 50, true).contains(&misdirected));
    time::advance(Duration::from_secs(11)).await;
    balancer.tick(Instant::now());
    assert!(run_requests(&mut balancer, 50, true).contains(&misdirected));
}

/// Replaces an instance by its next start, which has the same name and another id.
fn restart_instance(balancer: &mut ServiceBalancer, next: &UpstreamId) {
    let mut configured = balancer.service().as_ref().clone();
    configured.upstreams[0].id = next.clone();
    balancer.configure(Instant::now(), Arc::new(configured));
}

// The next instance of a backend has another id, and nothing of the former one holds for it.
#[tokio::test(start_paused = true)]
async fn the_next_instance_at_an_address_starts_clean() {
    let mut balancer = instance_balancer();
    let (former, next): (UpstreamId, UpstreamId) = (name("up-0"), name("up-0:2"));
    balancer.record_pause(Instant::now(), &former, "50".parse().unwrap());
    time::advance(Duration::from_secs(2)).await;
    balancer.record_drain(Instant::now(), &former);
    restart_instance(&mut balancer, &next);
    assert!(run_requests(&mut balancer, 50, true).contains(&next));
}

// A response names its instance, not its start: a pause that was asked for just before a node
// learns of the next start, or on a request that was sent before, may be that of the next one.
#[tokio::test(start_paused = true)]
async fn a_pause_around_the_next_start_of_an_instance_holds_for_that_one() {
    let (former, next): (UpstreamId, UpstreamId) = (name("up-0"), name("up-0:2"));
    for millis in [0, 140, 1_900] {
        let mut balancer = instance_balancer();
        balancer.record_pause(Instant::now(), &former, "4".parse().unwrap());
        time::advance(Duration::from_millis(millis)).await;
        restart_instance(&mut balancer, &next);
        time::advance(Duration::from_millis(3_900 - millis)).await;
        let used = run_requests(&mut balancer, 50, true);
        assert!(!used.contains(&next), "{millis} ms");
        time::advance(Duration::from_secs(5)).await;
        assert!(run_requests(&mut balancer, 50, true).contains(&next));
    }
    let mut balancer = instance_balancer();
    let mut sent_before = Vec::new();
    while sent_before
        .iter()
        .all(|grant: &AttemptGrant| grant.upstream.id != former)
    {
        sent_before.push(admit(&mut balancer, true));
    }
    restart_instance(&mut balancer, &next);
    balancer.record_pause(Instant::now(), &former, "4".parse().unwrap());
    assert!(!run_requests(&mut balancer, 6, true).contains(&next));
}

/// Previews requests and then admits them, while upstreams are avoided and others are busy;
/// returns how many attempts went to avoided upstreams.
async fn check_previews(
    mut balancer: ServiceBalancer,
    avoid: impl Fn(&mut ServiceBalancer),
) -> usize {
    let mut grants = Vec::new();
    let mut trials = 0;
    for number in 0..60 {
        let request = request(number % 2 == 0);
        if number == 10 {
            avoid(&mut balancer);
        }
        let before = format!("{balancer:?}");
        let preview = balancer.preview(Instant::now(), &request);
        let after = format!("{balancer:?}");
        assert_eq!(after, before, "the preview changed the balancer");
        assert_eq!(preview.candidates.len(), 9);
        match balancer.admit(Instant::now(), &request) {
            Admission::Grant(grant) => {
                let PreviewDecision::Send { upstream, .. } = preview.decision else {
                    panic!("{:?} is not what was decided", preview.decision);
                };
                assert_eq!(upstream, grant.upstream.id);
                trials += usize::from(grant.trial);
                grants.push(grant);
            }
            Admission::Wait => assert_eq!(preview.decision, PreviewDecision::Wait),
            other => panic!("an unexpected decision: {other:?}"),
        }
        if number % 4 == 0 && !grants.is_empty() {
            let grant = grants.remove(0);
            finish(&mut balancer, &grant, AttemptEnd::Answered);
        }
        time::advance(Duration::from_millis(150)).await;
    }
    trials
}

/// Guards against a preview that draws random numbers, takes credit, postpones a trial or counts a
/// request, and against one that names another upstream than the balancer then selects.
#[tokio::test(start_paused = true)]
async fn a_preview_changes_nothing_and_names_the_upstream_that_is_selected_next() {
    let trials = check_previews(balancer(9), |balancer| {
        for _ in 0..10 {
            balancer.record_outcome(Instant::now(), &name("up-0"), false);
        }
    });
    assert!(trials.await > 0, "no trial was previewed");
}

/// The same with offers and with suspicion, which is brought up to date before a selection.
#[tokio::test(start_paused = true)]
async fn a_preview_changes_nothing_where_nodes_share_signals() {
    let mut episodes = Service::clone(&service(9, 4, 4));
    episodes.profile = DetectionProfile::Episodes;
    let balancer = ServiceBalancer::new(Instant::now(), Arc::new(episodes), name("ikeja"), 5);
    let trials = check_previews(balancer, |balancer| {
        for _ in 0..3 {
            balancer.apply_signal(Instant::now(), &name("up-0"), SignalKind::Overdue);
        }
    });
    assert!(trials.await > 0, "no offer to a suspect was previewed");
}
