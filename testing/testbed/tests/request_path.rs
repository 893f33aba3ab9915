//! One request at a time: whole answers, true refusals, nothing run twice.

use std::time::Duration;

use standin::upstream_server::GrayMode;
use testbed::fleet::name;
use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use gooseberrydyke_testbed as testbed;

async fn lookups(upstreams: usize) -> Testbed {
    let services = vec![ServicePlan::lookups("docs", "/download", upstreams)];
    Testbed::start(TestbedPlan::small(services)).await.unwrap()
}

async fn actions(upstreams: usize) -> Testbed {
    let services = vec![ServicePlan::actions("orders", "/orders", upstreams)];
    Testbed::start(TestbedPlan::small(services)).await.unwrap()
}

fn pattern(size: usize) -> Vec<u8> {
    (0..size)
        .map(|position| u8::try_from(position % 251).unwrap())
        .collect()
}

#[tokio::test]
async fn a_download_that_breaks_off_is_resumed_on_another_upstream() {
    let testbed = lookups(2).await;
    testbed
        .upstream("docs-0")
        .standin
        .change(|behaviour| behaviour.gray = GrayMode::Truncate);
    let mut client = testbed.client(0);
    for _ in 0..8 {
        let answer = client.call(ClientRequest::get("/download/200000")).await;
        assert!(
            answer.whole && answer.status == 200,
            "status {}",
            answer.status
        );
        assert!(answer.body == pattern(200_000), "the joined bytes differ");
    }
}

#[tokio::test]
async fn half_an_answer_never_looks_whole() {
    let testbed = lookups(1).await;
    testbed
        .upstream("docs-0")
        .standin
        .change(|behaviour| behaviour.gray = GrayMode::Truncate);
    let answer = testbed
        .client(0)
        .call(ClientRequest::get("/download/200000"))
        .await;
    assert!(!answer.whole, "half an answer looked whole");
    let answer = testbed
        .client(0)
        .call(ClientRequest::get("/download/short-text"))
        .await;
    assert!(!answer.whole || answer.status >= 500);
}

#[tokio::test]
async fn a_lookup_is_tried_again_and_an_action_is_not() {
    let services = vec![
        ServicePlan::lookups("view", "/view", 2),
        ServicePlan::actions("book", "/book", 2),
    ];
    let testbed = Testbed::start(TestbedPlan::small(services)).await.unwrap();
    for id in ["view-0", "book-0"] {
        testbed
            .upstream(id)
            .standin
            .change(|behaviour| behaviour.gray = GrayMode::Errors);
    }
    let mut client = testbed.client(0);
    for number in 0..8 {
        let answer = client
            .call(ClientRequest::get(format!("/view/{number}")))
            .await;
        assert_eq!(answer.status, 200);
    }
    let mut errors = 0;
    for number in 0..8 {
        let answer = client
            .call(ClientRequest::post(format!("/book/{number}"), "slot"))
            .await;
        errors += u32::from(answer.status == 500);
    }
    assert!(
        errors > 0,
        "an action was tried again after it may have run"
    );
    let served: u64 = ["book-0", "book-1"]
        .iter()
        .map(|id| testbed.upstream(id).standin.served())
        .sum();
    assert_eq!(served, 8);
}

#[tokio::test]
async fn a_refused_connection_means_not_run_and_is_tried_elsewhere() {
    let mut testbed = actions(2).await;
    testbed.upstreams.remove(&name("orders-0"));
    let mut client = testbed.client(0);
    for number in 0..10 {
        let answer = client
            .call(ClientRequest::post(format!("/orders/{number}"), "rolls"))
            .await;
        assert_eq!(
            answer.status,
            200,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
    }
    testbed.upstreams.clear();
    let answer = client
        .call(ClientRequest::post("/orders/last", "rolls"))
        .await;
    assert_eq!(answer.outcome(), Some("not-run"));
}

#[tokio::test]
async fn an_action_without_an_answer_is_unknown() {
    let testbed = actions(1).await;
    testbed
        .upstream("orders-0")
        .link
        .change(|faults| faults.drop_back = true);
    let request = ClientRequest::post("/orders/1", "rolls").with("request-deadline-ms", "400");
    let started = Instant::now();
    let answer = testbed.client(0).call(request).await;
    assert_eq!(answer.outcome(), Some("unknown"));
    assert_eq!(answer.status, 504);
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "the deadline did not hold"
    );
    assert_eq!(testbed.upstream("orders-0").standin.served(), 1);
}

#[tokio::test]
async fn a_repeated_attempt_that_may_have_run_is_never_called_not_run() {
    let mut testbed = lookups(2).await;
    for id in ["docs-0", "docs-1"] {
        testbed
            .upstream(id)
            .link
            .change(|faults| faults.drop_back = true);
    }
    let request = ClientRequest::get("/download/10").with("request-deadline-ms", "600");
    let answer = testbed.client(0).call(request).await;
    assert_eq!(answer.outcome(), Some("unknown"));
    testbed.upstreams.clear();
    let answer = testbed
        .client(0)
        .call(ClientRequest::get("/download/11"))
        .await;
    assert_eq!(answer.outcome(), Some("not-run"));
}

#[tokio::test]
async fn the_time_left_is_passed_on_and_a_caller_that_leaves_cancels() {
    let docs = ServicePlan {
        floor: 1,
        ..ServicePlan::lookups("docs", "/download", 1)
    };
    let services = vec![docs.behaving(|behaviour| {
        behaviour.service_time = Duration::from_secs(3);
        behaviour.slots = 1;
        behaviour.queue = 0;
    })];
    let testbed = Testbed::start(TestbedPlan::small(services)).await.unwrap();
    let mut leaving = ClientRequest::get("/download/1").with("request-deadline-ms", "2500");
    leaving.timeout = Duration::from_millis(300);
    let answer = testbed.client(0).call(leaving).await;
    assert!(!answer.whole);
    let headers = testbed.ledger.last_headers().await;
    let left = headers
        .iter()
        .find(|(name, _)| name == "request-deadline-ms")
        .unwrap();
    let left: u64 = left.1.parse().unwrap();
    assert!((1..=2500).contains(&left), "{left}");
    // The only slot is free again long before the work would have ended.
    time::sleep(Duration::from_millis(300)).await;
    testbed.upstream("docs-0").standin.change(|behaviour| {
        behaviour.service_time = Duration::from_millis(5);
    });
    let answer = testbed
        .client(0)
        .call(ClientRequest::get("/download/2"))
        .await;
    assert_eq!(
        answer.status, 200,
        "the abandoned attempt still held its slot"
    );
}

#[tokio::test]
async fn connections_that_fall_silent_do_not_stop_new_ones() {
    let testbed = lookups(1).await;
    let mut client = testbed.client(0);
    for _ in 0..30 {
        assert_eq!(
            client.call(ClientRequest::get("/download/10")).await.status,
            200
        );
    }
    // Idle for so long that silence is the connection's own fault.
    time::sleep(Duration::from_millis(2_200)).await;
    let link = &testbed.upstream("docs-0").link;
    link.silence_open_connections();
    let answer = client.call(ClientRequest::get("/download/10")).await;
    assert!(
        answer.status == 200 || answer.outcome() == Some("unknown"),
        "{}",
        answer.status
    );
    let answer = client.call(ClientRequest::get("/download/10")).await;
    assert_eq!(answer.status, 200, "the pool kept silent connections");
    assert!(
        testbed
            .wait_avoided("docs-0", Duration::from_millis(300))
            .await
            .is_none()
    );
}

#[tokio::test]
async fn an_action_goes_over_a_proven_connection_only() {
    let testbed = actions(1).await;
    let mut client = testbed.client(0);
    assert_eq!(
        client
            .call(ClientRequest::post("/orders/1", "rolls"))
            .await
            .status,
        200
    );
    time::sleep(Duration::from_millis(1_200)).await;
    testbed.upstream("orders-0").link.silence_open_connections();
    let answer = client.call(ClientRequest::post("/orders/2", "rolls")).await;
    assert_eq!(answer.status, 200, "a connection without proof was used");
}

#[tokio::test]
async fn a_slow_upstream_is_raced_and_the_caller_does_not_wait_for_it() {
    let testbed = lookups(2).await;
    let mut client = testbed.client(0);
    for _ in 0..80 {
        assert_eq!(
            client.call(ClientRequest::get("/download/10")).await.status,
            200
        );
    }
    testbed.upstream("docs-0").standin.change(|behaviour| {
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
            "{:?}",
            started.elapsed()
        );
    }
}

#[tokio::test]
async fn answers_in_any_order_reach_their_own_callers() {
    let services = vec![
        ServicePlan::lookups("view", "/view", 3).behaving(|behaviour| {
            behaviour.service_time = Duration::from_millis(20);
        }),
    ];
    let testbed = Testbed::start(TestbedPlan::small(services)).await.unwrap();
    let address = testbed.caller_addresses()[0];
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            tokio::spawn(async move {
                let mut client = testbed::CallerClient::new(address);
                for number in 0..20 {
                    let target = format!("/view/{caller}-{number}");
                    let mut request = ClientRequest::get(&*target);
                    // Some callers leave before their answer comes.
                    if number % 5 == 4 {
                        request.timeout = Duration::from_millis(10);
                    }
                    let answer = client.call(request).await;
                    let own = answer.body == format!("{target}\n").as_bytes();
                    assert!(
                        !answer.whole || answer.status != 200 || own,
                        "a foreign answer"
                    );
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
}

#[tokio::test]
async fn overload_is_refused_as_not_run_and_the_rest_is_served() {
    let view = ServicePlan {
        floor: 1,
        ..ServicePlan::lookups("view", "/view", 1)
    };
    let services = vec![view.behaving(|behaviour| {
        behaviour.service_time = Duration::from_millis(200);
        behaviour.slots = 1;
        behaviour.queue = 0;
    })];
    let testbed = Testbed::start(TestbedPlan::small(services)).await.unwrap();
    let address = testbed.caller_addresses()[0];
    let callers: Vec<_> = (0..40)
        .map(|number| {
            tokio::spawn(async move {
                let request = ClientRequest::get(format!("/view/{number}"))
                    .with("request-deadline-ms", "900");
                testbed::CallerClient::new(address).call(request).await
            })
        })
        .collect();
    let mut good = 0;
    for caller in callers {
        let answer = caller.await.unwrap();
        match answer.status {
            200 => good += 1,
            _ => assert_eq!(
                answer.outcome(),
                Some("not-run"),
                "status {}",
                answer.status
            ),
        }
    }
    assert!(good >= 2, "{good}");
}
