//! Fleets of several nodes under failures of nodes, upstreams, links and the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::clock::UnixMillis;
use model::config::UpstreamState;
use model::error::ErrorKind;
use model::ids::UpstreamId;
use node::keys::{FleetCa, NodeKeys};
use node::link;
use operator::change::ConfigStep;
use operator::commit::ChangeRequest;
use platform::object::Condition;
use platform::{PlatformClient, records};
use policy::invariant::{self, Invariant};
use standin::platform_api::PlatformFaults;
use standin::upstream_server::GrayMode;
use testbed::fleet::parse_id;
use testbed::{CallerClient, ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use gooseberrydyke_testbed as testbed;

fn fleet_plan(nodes_per_data_centre: usize) -> TestbedPlan {
    let services = vec![
        ServicePlan::lookups("view", "/view", 6),
        ServicePlan::actions("book", "/book", 3),
    ];
    TestbedPlan::three_data_centres(nodes_per_data_centre, services)
}

fn drain_step(upstream: &str) -> ConfigStep {
    ConfigStep::SetState {
        service: parse_id(upstream.split('-').next().unwrap()),
        upstream: parse_id(upstream),
        state: UpstreamState::Draining,
    }
}

fn assert_invariants() {
    for invariant in Invariant::ALL {
        assert_eq!(
            invariant::breaches(*invariant),
            0,
            "breaches of {invariant}"
        );
    }
}

/// Starts a caller at each node that sends lookups until the flag turns true. Each caller
/// returns the number of lookups and a description of each failed one.
fn start_lookups(
    addresses: &[SocketAddr],
    stop: &watch::Receiver<bool>,
) -> Vec<tokio::task::JoinHandle<(u64, Vec<String>)>> {
    let callers = addresses.iter().enumerate().map(|(index, address)| {
        let (address, stop) = (*address, stop.clone());
        tokio::spawn(async move {
            let mut client = CallerClient::new(address);
            let (mut count, mut failures) = (0, Vec::new());
            while !*stop.borrow() {
                let target = format!("/view/{index}-{count}");
                let response = client.call(ClientRequest::get(&*target)).await;
                count += 1;
                if !response.complete || response.status != 200 {
                    failures.push(format!(
                        "{target}: {} {:?}",
                        response.status,
                        response.outcome()
                    ));
                } else if response.body != format!("{target}\n").as_bytes() {
                    failures.push(format!("{target}: the response of another request"));
                }
                time::sleep(Duration::from_millis(5)).await;
            }
            (count, failures)
        })
    });
    callers.collect()
}

/// Guards against an upstream that responds with errors and stays in use at some node,
/// and against failed lookups until it is avoided.
#[tokio::test(flavor = "multi_thread")]
async fn a_gray_upstream_is_avoided_everywhere_and_then_ejected() {
    let testbed = Testbed::start(fleet_plan(2)).await.unwrap();
    let (stop, stop_watch) = watch::channel(false);
    let callers = start_lookups(&testbed.caller_addresses(), &stop_watch);
    time::sleep(Duration::from_secs(1)).await;
    testbed
        .upstream("view-1")
        .standin
        .change_behaviour(|behaviour| behaviour.gray = GrayMode::Errors);
    let detected = testbed
        .wait_avoided("view-1", Duration::from_secs(10))
        .await;
    assert!(
        detected.is_some(),
        "view-1 is still in use at some node after 10 s"
    );
    let service = parse_id("view");
    let deadline = Instant::now() + Duration::from_secs(15);
    loop {
        let stored = records::read_ejections(testbed.committer.platform(), &service)
            .await
            .unwrap();
        if stored
            .record
            .ejected
            .contains_key(&parse_id::<UpstreamId>("view-1"))
        {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "view-1 is not ejected after 15 s"
        );
        time::sleep(Duration::from_millis(100)).await;
    }
    stop.send_replace(true);
    for caller in callers {
        let (count, failures) = caller.await.unwrap();
        assert!(count > 0, "a caller sent no lookup");
        assert!(failures.is_empty(), "failed lookups: {failures:?}");
    }
    assert_invariants();
}

/// Guards against nodes that need the platform for lookups, for starting or for avoiding a
/// failed upstream, and against actions that run although their key could not be claimed.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_continue_and_keyed_actions_are_refused_during_a_platform_outage() {
    let mut testbed = Testbed::start(fleet_plan(1)).await.unwrap();
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: true,
            lose_responses: 0,
        })
        .await;
    let mut client = testbed.client(0);
    for number in 0..20 {
        assert_eq!(
            client
                .call(ClientRequest::get(format!("/view/{number}")))
                .await
                .status,
            200
        );
    }
    let request = ClientRequest::post("/book/1", "slot")
        .with_header("idempotency-key", "outage")
        .with_header("action-id", "outage");
    let response = client.call(request).await;
    assert_eq!(response.outcome(), Some("not-run"));
    assert!(!testbed.ledger.run_counts().await.contains_key("outage"));
    // A node that starts now fetches the configuration from the other nodes.
    let address = testbed.start_entry("lekki-late", "lekki").await.unwrap();
    testbed.wait_generation(2.into_generation()).await.unwrap();
    let response = CallerClient::new(address)
        .call(ClientRequest::get("/view/late"))
        .await;
    assert_eq!(response.status, 200);
    // A failing upstream is avoided without the platform.
    testbed
        .upstream("view-0")
        .standin
        .change_behaviour(|behaviour| behaviour.gray = GrayMode::Errors);
    for number in 0..40 {
        assert_eq!(
            client
                .call(ClientRequest::get(format!("/view/b{number}")))
                .await
                .status,
            200
        );
    }
    assert_invariants();
}

trait IntoGeneration {
    fn into_generation(self) -> model::sizes::Generation;
}

impl IntoGeneration for u64 {
    fn into_generation(self) -> model::sizes::Generation {
        model::sizes::Generation::new(self)
    }
}

/// Guards against nodes that send new requests to a draining upstream, whether an operator
/// drains it or it announces the drain itself, and against requests that the drain breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_takes_effect_everywhere_within_three_seconds_and_fails_no_request() {
    let mut plan = fleet_plan(2);
    plan.services[0] = plan.services[0]
        .clone()
        .with_behaviour(|behaviour| behaviour.service_time = Duration::from_millis(60));
    let testbed = Testbed::start(plan).await.unwrap();
    let (stop, stop_watch) = watch::channel(false);
    let callers = start_lookups(&testbed.caller_addresses(), &stop_watch);
    time::sleep(Duration::from_millis(500)).await;
    // An operator drains one upstream, another one announces its drain itself.
    testbed.commit(drain_step("view-2")).await.unwrap();
    testbed
        .upstream("view-4")
        .standin
        .change_behaviour(|behaviour| behaviour.draining = true);
    time::sleep(Duration::from_secs(3)).await;
    let served = |id| testbed.upstream(id).standin.request_count();
    let before = (served("view-2"), served("view-4"));
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(
        (served("view-2"), served("view-4")),
        before,
        "new requests three seconds after the drain"
    );
    stop.send_replace(true);
    for caller in callers {
        let (_, failures) = caller.await.unwrap();
        assert!(failures.is_empty(), "failed lookups: {failures:?}");
    }
    assert_invariants();
}

/// Guards against a stopping node that breaks off requests it has accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_fails_no_request_in_flight() {
    let mut plan = fleet_plan(1);
    plan.services[0] = plan.services[0]
        .clone()
        .with_behaviour(|behaviour| behaviour.service_time = Duration::from_millis(150));
    let mut testbed = Testbed::start(plan).await.unwrap();
    let entry = testbed.remove_entry("ikeja-0").unwrap();
    let address = entry.caller_address;
    let callers: Vec<_> = (0..12)
        .map(|number| {
            tokio::spawn(async move {
                let mut client = CallerClient::new(address);
                let mut responses = Vec::new();
                for turn in 0..10 {
                    let response = client
                        .call(ClientRequest::get(format!("/view/{number}-{turn}")))
                        .await;
                    responses.push((response.status, response.complete, response.sent));
                    if response.status == 0 {
                        break;
                    }
                }
                responses
            })
        })
        .collect();
    time::sleep(Duration::from_millis(400)).await;
    entry.stop().await;
    for caller in callers {
        let responses = caller.await.unwrap();
        // A connection may be refused after the stop, but a request that was sent gets a
        // complete response.
        let has_failure = responses
            .iter()
            .any(|(status, complete, sent)| *sent && (!complete || *status != 200));
        assert!(
            !has_failure,
            "a request that was sent failed: {responses:?}"
        );
        assert!(
            responses[0] == (200, true, true),
            "the first request failed: {responses:?}"
        );
    }
    assert_invariants();
}

/// Guards against actions that run twice, or run although every attempt was reported as not
/// run, when nodes are killed, the platform's responses are lost and the platform fails for a
/// time while callers send each action to several nodes.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_actions_run_at_most_once_while_nodes_fail_and_platform_responses_are_lost() {
    let mut testbed = Testbed::start(fleet_plan(2)).await.unwrap();
    let addresses = testbed.caller_addresses();
    let callers: Vec<_> = (0..12)
        .map(|caller| {
            let addresses = addresses.clone();
            tokio::spawn(async move {
                // Keys of which every attempt was reported as not run.
                let mut refused = Vec::new();
                for number in 0..15 {
                    let key = format!("{caller}-{number}");
                    let mut attempts = Vec::new();
                    for turn in 0..3 {
                        let address = addresses[(caller + number + turn) % addresses.len()];
                        let mut request = ClientRequest::post(format!("/book/{key}"), "slot")
                            .with_header("idempotency-key", &*key)
                            .with_header("action-id", &*key);
                        request.timeout = Duration::from_secs(5);
                        let response = CallerClient::new(address).call(request).await;
                        let not_run = response.outcome() == Some("not-run") || response.status == 0;
                        attempts.push((response.outcome() == Some("not-run"), not_run));
                    }
                    if attempts.iter().all(|(certain, _)| *certain) {
                        refused.push(key);
                    }
                }
                refused
            })
        })
        .collect();
    for (pause, node) in [(300, "ikeja-1"), (700, "lekki-0")] {
        time::sleep(Duration::from_millis(pause)).await;
        testbed
            .platform
            .set_faults(PlatformFaults {
                outage: false,
                lose_responses: 5,
            })
            .await;
        testbed.remove_entry(node).unwrap().kill();
    }
    time::sleep(Duration::from_millis(500)).await;
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: true,
            lose_responses: 0,
        })
        .await;
    time::sleep(Duration::from_millis(500)).await;
    testbed.platform.set_faults(PlatformFaults::default()).await;
    let mut refused = Vec::new();
    for caller in callers {
        refused.extend(caller.await.unwrap());
    }
    let counts = testbed.ledger.run_counts().await;
    let run_twice: Vec<_> = counts.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(run_twice.is_empty(), "ran more than once: {run_twice:?}");
    let wrongly_refused: Vec<_> = refused
        .iter()
        .filter(|key| counts.contains_key(*key))
        .collect();
    assert!(
        wrongly_refused.is_empty(),
        "ran, but reported as not run: {wrongly_refused:?}"
    );
    assert!(counts.len() > 60, "only {} ran", counts.len());
    assert_invariants();
}

/// Guards against a change that overwrites a concurrent one, and against a conflict that does
/// not name the operator whose change was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_a_conflict() {
    let testbed = Testbed::start(fleet_plan(1)).await.unwrap();
    let seen = testbed.committer.read().await.unwrap().generation;
    let request = |operator: &str, upstream: &str| ChangeRequest {
        operator: parse_id(operator),
        step: drain_step(upstream),
        expected: Some(seen),
    };
    let (lagos, kano) = (request("lagos", "view-0"), request("kano", "view-1"));
    let (first, second) = tokio::join!(
        testbed.committer.commit(&lagos),
        testbed.committer.commit(&kano)
    );
    let (winner, loser) = match (&first, &second) {
        (Ok(_), Err(error)) => ("lagos", error),
        (Err(error), Ok(_)) => ("kano", error),
        other => panic!("expected exactly one accepted change: {other:?}"),
    };
    assert_eq!(loser.kind(), ErrorKind::Conflict);
    assert!(loser.detail().contains(winner), "{loser}");
    let waited = testbed.wait_generation(seen.next()).await.unwrap();
    assert!(
        waited < Duration::from_secs(6),
        "the change took {waited:?} to reach every node"
    );
}

/// Guards against a change that is reported as failed, or made twice, when the platform's
/// response to a write is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_to_the_write_of_the_root_is_resolved_by_reading_it_back() {
    let testbed = Testbed::start(fleet_plan(1)).await.unwrap();
    let before = testbed.committer.read().await.unwrap().generation;
    // The reservation, the service's chunk, the audit entry and the root.
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: false,
            lose_responses: 4,
        })
        .await;
    let accepted = testbed.commit(drain_step("view-3")).await.unwrap();
    assert_eq!(accepted.generation, before.next());
    assert_eq!(
        testbed.committer.read().await.unwrap().generation,
        before.next()
    );
}

/// Guards against nodes that keep an old configuration when responses of the platform no
/// longer reach their data centre; they can fetch it from nodes of other data centres.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_a_data_centre_whose_link_to_the_platform_is_cut_one_way() {
    let testbed = Testbed::start(fleet_plan(2)).await.unwrap();
    testbed.platform_links[&parse_id("ikeja")].change_faults(|faults| faults.drop_back = true);
    let accepted = testbed.commit(drain_step("view-5")).await.unwrap();
    let waited = testbed.wait_generation(accepted.generation).await.unwrap();
    assert!(
        waited < Duration::from_secs(6),
        "the change took {waited:?} to reach every node"
    );
    assert_invariants();
}

/// Guards against a drain and an ejection that each respect the capacity floor alone but
/// together go below it.
#[tokio::test(flavor = "multi_thread")]
async fn a_concurrent_drain_and_ejection_keep_the_capacity_floor() {
    let mut plan = fleet_plan(1);
    plan.services[0].floor = 20;
    let testbed = Testbed::start(plan).await.unwrap();
    let client = testbed.committer.platform();
    let service = testbed.committer.read().await.unwrap().services[&parse_id("view")].clone();
    let stored = records::read_ejections(client, &service.id).await.unwrap();
    let mut record = stored.record.clone();
    record
        .eject(&service, &parse_id("view-0"), UnixMillis::new(1), |_| true)
        .unwrap();
    let (drained, ejected) = tokio::join!(
        testbed.commit(drain_step("view-1")),
        records::write_ejections(client, &record, stored.condition),
    );
    assert!(drained.is_err() || ejected.is_err(), "both were accepted");
    let refused = drained.err().map(|error| error.kind());
    assert!(
        refused.is_none_or(|kind| kind == ErrorKind::UnderFloor),
        "the drain was refused for another reason than the floor: {refused:?}"
    );
}

/// Guards against nodes that accept connections from outside the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_a_certificate_of_another_authority_is_refused() {
    let testbed = Testbed::start(fleet_plan(1)).await.unwrap();
    let node = testbed.entries.values().next().unwrap().node_address;
    let foreign = NodeKeys::issue(&FleetCa::generate().unwrap()).unwrap();
    let endpoint = link::open_endpoint(([127, 0, 0, 1], 0).into(), &foreign).unwrap();
    let connecting = endpoint.connect(node, node::keys::SERVER_NAME).unwrap();
    let connected = time::timeout(Duration::from_secs(3), connecting).await;
    assert!(
        !matches!(connected, Ok(Ok(_))),
        "a node outside the fleet could connect"
    );
}

/// Guards against calls that fail because their pooled connection was reset while idle.
#[tokio::test]
async fn a_call_to_the_platform_survives_the_reset_of_an_idle_connection() {
    let testbed = Testbed::start(TestbedPlan::single_node(vec![]))
        .await
        .unwrap();
    let link = &testbed.platform_links[&parse_id("ikeja")];
    let client = PlatformClient::start(link.address(), Arc::new(|_| {}));
    let object = "test/idle".parse().unwrap();
    client
        .put(&object, "a".into(), Condition::Absent)
        .await
        .unwrap();
    for _ in 0..20 {
        link.change_faults(|faults| faults.reset = true);
        time::sleep(Duration::from_millis(3)).await;
        link.change_faults(|faults| faults.reset = false);
        let read = client.get(&object).await.unwrap().unwrap();
        assert_eq!(read.body, "a");
    }
}

/// Guards against conditional writes to the platform that overwrite each other, and against a
/// write whose response was lost and that is reported as not made.
#[tokio::test]
async fn one_of_two_concurrent_conditional_writes_succeeds() {
    let testbed = Testbed::start(TestbedPlan::single_node(vec![]))
        .await
        .unwrap();
    let client = PlatformClient::start(testbed.platform.address(), Arc::new(|_| {}));
    let object = "test/object".parse().unwrap();
    let (a, b) = tokio::join!(
        client.put(&object, "a".into(), Condition::Absent),
        client.put(&object, "b".into(), Condition::Absent),
    );
    assert_eq!(u32::from(a.is_ok()) + u32::from(b.is_ok()), 1);
    let version = a.or(b).unwrap();
    client
        .put(&object, "c".into(), Condition::Version(version))
        .await
        .unwrap();
    let late = client
        .put(&object, "d".into(), Condition::Version(version))
        .await;
    assert_eq!(late.unwrap_err().kind(), ErrorKind::Conflict);
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: false,
            lose_responses: 1,
        })
        .await;
    let other = "test/other".parse().unwrap();
    let lost = client.put(&other, "e".into(), Condition::Absent).await;
    assert_eq!(lost.unwrap_err().kind(), ErrorKind::WriteUnknown);
    let settled = client
        .put_and_confirm(&other, "e".into(), Condition::Absent)
        .await;
    assert_eq!(
        settled.unwrap_err().kind(),
        ErrorKind::Conflict,
        "the write whose response was lost did not take effect"
    );
}
