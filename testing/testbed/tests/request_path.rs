//! The path of a request through one entry node: complete responses, refusals whose
//! outcome is true, and no action that runs twice.

use std::time::Duration;

use standin::upstream_server::GrayMode;
use testbed::fleet::parse_id;
use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use gooseberrydyke_testbed as testbed;

/// Downloads of one test.
const DOWNLOADS: u32 = 8;
/// Actions that a test sends until one reaches the failing upstream.
const ACTIONS_MAX: u64 = 64;

async fn start_lookup_testbed(upstreams: usize) -> Testbed {
    let services = vec![ServicePlan::lookups("docs", "/download", upstreams)];
    Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap()
}

async fn start_action_testbed(upstreams: usize) -> Testbed {
    let services = vec![ServicePlan::actions("orders", "/orders", upstreams)];
    Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap()
}

fn download_bytes(size: usize) -> Vec<u8> {
    (0..size)
        .map(|position| u8::try_from(position % 251).unwrap())
        .collect()
}

// Guards against a caller receiving a truncated or wrongly joined download: one upstream
// closes the connection within the body, and the rest comes from the other one.
#[tokio::test]
async fn a_truncated_download_is_resumed_on_another_upstream() {
    let mut service = ServicePlan::lookups("docs", "/download", 2);
    // Which upstream gets a download is random; the budget covers a resumption of each.
    service.retry_allowance.initial_millitokens = DOWNLOADS * 1_000;
    let testbed = Testbed::start(TestbedPlan::single_node(vec![service]))
        .await
        .unwrap();
    testbed
        .upstream("docs-0")
        .standin
        .change_behaviour(|behaviour| behaviour.gray = GrayMode::Truncate);
    let mut client = testbed.client(0);
    for _ in 0..DOWNLOADS {
        let response = client.call(ClientRequest::get("/download/200000")).await;
        assert!(
            response.complete && response.status == 200,
            "status {}",
            response.status
        );
        assert!(
            response.body == download_bytes(200_000),
            "the resumed body differs from the original"
        );
    }
}

// Guards against passing a truncated body off as complete when no other upstream can
// continue it.
#[tokio::test]
async fn a_truncated_response_never_looks_complete() {
    let testbed = start_lookup_testbed(1).await;
    testbed
        .upstream("docs-0")
        .standin
        .change_behaviour(|behaviour| behaviour.gray = GrayMode::Truncate);
    let response = testbed
        .client(0)
        .call(ClientRequest::get("/download/200000"))
        .await;
    assert!(!response.complete, "a truncated response looked complete");
    let response = testbed
        .client(0)
        .call(ClientRequest::get("/download/short-text"))
        .await;
    assert!(
        !response.complete || response.status >= 500,
        "a truncated response looked complete, with status {}",
        response.status
    );
}

// Guards against running an action twice: a server error leaves open whether the request
// ran, so only requests that may be repeated are retried.
#[tokio::test]
async fn a_lookup_is_retried_and_an_action_is_not() {
    let services = vec![
        ServicePlan::lookups("view", "/view", 2),
        ServicePlan::actions("book", "/book", 2),
    ];
    let testbed = Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap();
    for id in ["view-0", "book-0"] {
        testbed
            .upstream(id)
            .standin
            .change_behaviour(|behaviour| behaviour.gray = GrayMode::Errors);
    }
    let mut client = testbed.client(0);
    for number in 0..8 {
        let response = client
            .call(ClientRequest::get(format!("/view/{number}")))
            .await;
        assert_eq!(response.status, 200);
    }
    // Which upstream gets an action is random, so actions are sent until the failing one
    // got one.
    let failing = || testbed.upstream("book-0").standin.request_count();
    let (mut sent, mut errors) = (0, 0);
    while sent < 8 || (failing() == 0 && sent < ACTIONS_MAX) {
        let response = client
            .call(ClientRequest::post(format!("/book/{sent}"), "slot"))
            .await;
        sent += 1;
        errors += u64::from(response.status == 500);
    }
    assert!(failing() > 0, "no action reached the failing upstream");
    assert_eq!(
        errors,
        failing(),
        "an action was retried after it may have run"
    );
    let served: u64 = ["book-0", "book-1"]
        .iter()
        .map(|id| testbed.upstream(id).standin.request_count())
        .sum();
    assert_eq!(served, sent, "not every action ran exactly once");
}

// Guards against failing an action that provably did not run: a refused connection means
// that nothing was sent, so the action may go to another upstream.
#[tokio::test]
async fn a_refused_connection_means_not_run_and_is_retried_on_another_upstream() {
    let mut testbed = start_action_testbed(2).await;
    testbed.upstreams.remove(&parse_id("orders-0"));
    let mut client = testbed.client(0);
    for number in 0..10 {
        let response = client
            .call(ClientRequest::post(format!("/orders/{number}"), "rolls"))
            .await;
        assert_eq!(
            response.status,
            200,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
    }
    testbed.upstreams.clear();
    let response = client
        .call(ClientRequest::post("/orders/last", "rolls"))
        .await;
    assert_eq!(response.outcome(), Some("not-run"));
}

// Guards against a wrong outcome and a missed deadline when the action reaches the
// upstream but its response is lost.
#[tokio::test]
async fn an_action_without_a_response_has_an_unknown_outcome() {
    let testbed = start_action_testbed(1).await;
    testbed
        .upstream("orders-0")
        .link
        .change_faults(|faults| faults.drop_back = true);
    let request =
        ClientRequest::post("/orders/1", "rolls").with_header("request-deadline-ms", "400");
    let started = Instant::now();
    let response = testbed.client(0).call(request).await;
    assert_eq!(response.outcome(), Some("unknown"));
    assert_eq!(response.status, 504);
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "the deadline was not enforced"
    );
    assert_eq!(testbed.upstream("orders-0").standin.request_count(), 1);
}

// Guards against reporting a request as not run after an earlier attempt reached an
// upstream whose response is lost.
#[tokio::test]
async fn a_retried_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut testbed = start_lookup_testbed(2).await;
    for id in ["docs-0", "docs-1"] {
        testbed
            .upstream(id)
            .link
            .change_faults(|faults| faults.drop_back = true);
    }
    let request = ClientRequest::get("/download/10").with_header("request-deadline-ms", "600");
    let response = testbed.client(0).call(request).await;
    assert_eq!(response.outcome(), Some("unknown"));
    testbed.upstreams.clear();
    let response = testbed
        .client(0)
        .call(ClientRequest::get("/download/11"))
        .await;
    assert_eq!(response.outcome(), Some("not-run"));
}

// Guards against work that nobody waits for: the upstream learns the time left, and its
// slot becomes free when the caller disconnects.
#[tokio::test]
async fn the_time_left_is_forwarded_and_a_caller_that_disconnects_cancels_the_attempt() {
    let docs = ServicePlan {
        floor: 1,
        ..ServicePlan::lookups("docs", "/download", 1)
    };
    let services = vec![docs.with_behaviour(|behaviour| {
        behaviour.service_time = Duration::from_secs(3);
        behaviour.slots = 1;
        behaviour.queue = 0;
    })];
    let testbed = Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap();
    let mut abandoned =
        ClientRequest::get("/download/1").with_header("request-deadline-ms", "2500");
    abandoned.timeout = Duration::from_millis(300);
    let response = testbed.client(0).call(abandoned).await;
    assert!(!response.complete);
    let headers = testbed.ledger.last_headers().await;
    let left = headers
        .iter()
        .find(|(name, _)| name == "request-deadline-ms")
        .unwrap();
    let left: u64 = left.1.parse().unwrap();
    assert!(
        (1..=2500).contains(&left),
        "the upstream received a deadline of {left} ms"
    );
    // The only slot is free again long before the cancelled request would have
    // completed.
    time::sleep(Duration::from_millis(300)).await;
    testbed
        .upstream("docs-0")
        .standin
        .change_behaviour(|behaviour| {
            behaviour.service_time = Duration::from_millis(5);
        });
    let response = testbed
        .client(0)
        .call(ClientRequest::get("/download/2"))
        .await;
    assert_eq!(
        response.status, 200,
        "the cancelled attempt still occupied its slot"
    );
}

// Guards against a pool that keeps using connections on which the peer no longer
// responds, and against avoiding a healthy upstream because of them.
#[tokio::test]
async fn stale_connections_do_not_block_new_ones() {
    let testbed = start_lookup_testbed(1).await;
    let mut client = testbed.client(0);
    for _ in 0..30 {
        assert_eq!(
            client.call(ClientRequest::get("/download/10")).await.status,
            200
        );
    }
    // Idle for so long that a missing response counts as a stale connection rather than
    // as a failure of the upstream.
    time::sleep(Duration::from_millis(2_200)).await;
    let link = &testbed.upstream("docs-0").link;
    link.stall_open_connections();
    let response = client.call(ClientRequest::get("/download/10")).await;
    assert!(
        response.status == 200 || response.outcome() == Some("unknown"),
        "status {} and outcome {:?}",
        response.status,
        response.outcome()
    );
    let response = client.call(ClientRequest::get("/download/10")).await;
    assert_eq!(response.status, 200, "the pool kept stale connections");
    assert!(
        testbed
            .wait_avoided("docs-0", Duration::from_millis(300))
            .await
            .is_none(),
        "docs-0 is avoided because of stale connections"
    );
}

// Guards against losing an action on an idle connection that is stale: it cannot be
// retried, so it needs a connection that worked within the last second.
#[tokio::test]
async fn an_action_is_sent_only_over_a_recently_verified_connection() {
    let testbed = start_action_testbed(1).await;
    let mut client = testbed.client(0);
    assert_eq!(
        client
            .call(ClientRequest::post("/orders/1", "rolls"))
            .await
            .status,
        200
    );
    time::sleep(Duration::from_millis(1_200)).await;
    testbed.upstream("orders-0").link.stall_open_connections();
    let response = client.call(ClientRequest::post("/orders/2", "rolls")).await;
    assert_eq!(
        response.status, 200,
        "a connection that may be stale was used"
    );
}

// Guards against waiting for one slow upstream when another could respond to a hedge.
#[tokio::test]
async fn a_request_to_a_slow_upstream_is_hedged_and_the_caller_does_not_wait_for_it() {
    let testbed = start_lookup_testbed(2).await;
    let mut client = testbed.client(0);
    for _ in 0..80 {
        assert_eq!(
            client.call(ClientRequest::get("/download/10")).await.status,
            200
        );
    }
    testbed
        .upstream("docs-0")
        .standin
        .change_behaviour(|behaviour| {
            behaviour.service_time = Duration::from_secs(3);
        });
    for _ in 0..6 {
        let started = Instant::now();
        assert_eq!(
            client.call(ClientRequest::get("/download/10")).await.status,
            200
        );
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "the caller waited {:?} for its response",
            started.elapsed()
        );
    }
}

// Guards against delivering a response to another request, as could happen when callers
// disconnect while their connections are reused.
#[tokio::test]
async fn responses_in_any_order_reach_their_own_callers() {
    let services = vec![
        ServicePlan::lookups("view", "/view", 3).with_behaviour(|behaviour| {
            behaviour.service_time = Duration::from_millis(20);
        }),
    ];
    let testbed = Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap();
    let address = testbed.caller_addresses()[0];
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            tokio::spawn(async move {
                let mut client = testbed::CallerClient::new(address);
                for number in 0..20 {
                    let target = format!("/view/{caller}-{number}");
                    let mut request = ClientRequest::get(&*target);
                    // Every fifth request is abandoned before its response arrives.
                    if number % 5 == 4 {
                        request.timeout = Duration::from_millis(10);
                    }
                    let response = client.call(request).await;
                    let own = response.body == format!("{target}\n").as_bytes();
                    assert!(
                        !response.complete || response.status != 200 || own,
                        "a caller received the response to another request"
                    );
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
}

// Guards against unknown outcomes and total failure under overload: requests beyond the
// capacity are refused as not run, and the others succeed.
#[tokio::test]
async fn overload_is_refused_as_not_run_and_other_requests_are_served() {
    let view = ServicePlan {
        floor: 1,
        ..ServicePlan::lookups("view", "/view", 1)
    };
    let services = vec![view.with_behaviour(|behaviour| {
        behaviour.service_time = Duration::from_millis(200);
        behaviour.slots = 1;
        behaviour.queue = 0;
    })];
    let testbed = Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap();
    let address = testbed.caller_addresses()[0];
    let callers: Vec<_> = (0..40)
        .map(|number| {
            tokio::spawn(async move {
                let request = ClientRequest::get(format!("/view/{number}"))
                    .with_header("request-deadline-ms", "900");
                testbed::CallerClient::new(address).call(request).await
            })
        })
        .collect();
    let mut succeeded = 0;
    for caller in callers {
        let response = caller.await.unwrap();
        match response.status {
            200 => succeeded += 1,
            _ => assert_eq!(
                response.outcome(),
                Some("not-run"),
                "status {}",
                response.status
            ),
        }
    }
    assert!(succeeded >= 2, "only {succeeded} of 40 requests succeeded");
}
