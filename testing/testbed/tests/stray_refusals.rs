//! Refusals that name no request, from upstreams that do not return ids.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gooseberrydyke_testbed as testbed;
use model::config::{Upstream, UpstreamState};
use model::sizes::SlotCount;
use operator::change::ConfigStep;
use testbed::fleet::parse_id;
use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

const SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\nContent-Length: 0\r\n\r\n";

/// Time that an upstream works on the request whose refusal is not its own.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Requests that an upstream has received.
type Arrivals = Arc<AtomicUsize>;

/// Serves the requests of a connection with these responses in turn, and then closes it.
async fn serve(
    mut stream: TcpStream,
    responses: &[&[u8]],
    arrivals: Arrivals,
) -> std::io::Result<()> {
    for response in responses {
        let mut request = Vec::new();
        while !request.ends_with(b"rolls") {
            request.push(stream.read_u8().await?);
        }
        arrivals.fetch_add(1, Ordering::Relaxed);
        stream.write_all(response).await?;
    }
    Ok(())
}

/// Serves a connection whose second request gets a stray refusal before its response.
async fn serve_late(mut stream: TcpStream) -> std::io::Result<()> {
    for number in 0.. {
        let mut request = Vec::new();
        while !request.ends_with(b"rolls") {
            request.push(stream.read_u8().await?);
        }
        if number == 1 {
            stream.write_all(REFUSAL).await?;
            time::sleep(WORK_TIME).await;
        }
        let head = String::from_utf8_lossy(&request);
        let target = head.split(' ').nth(1).unwrap_or_default();
        let length = target.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{target}");
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}

async fn start_upstream(responses: &'static [&'static [u8]], arrivals: &Arrivals) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::clone(arrivals);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, responses, Arc::clone(&arrivals)));
        }
    });
    address
}

/// Starts a node in front of one upstream that responds like this on each connection.
async fn start(responses: &'static [&'static [u8]]) -> (Testbed, Arrivals) {
    let arrivals = Arrivals::default();
    let address = start_upstream(responses, &arrivals).await;
    (start_before(address).await, arrivals)
}

async fn start_before(address: SocketAddr) -> Testbed {
    let plan = ServicePlan::actions("orders", "/orders", 0);
    let testbed = Testbed::start(TestbedPlan::single_node(vec![plan]))
        .await
        .unwrap();
    let upstream = Upstream {
        id: parse_id("orders-scripted"),
        address,
        data_centre: parse_id("ikeja"),
        slots: SlotCount::new(4),
        state: UpstreamState::Active,
        instance: None,
    };
    let step = ConfigStep::PutUpstream {
        service: parse_id("orders"),
        upstream,
    };
    let outcome = testbed.commit(step).await;
    let generation = outcome.unwrap().generation;
    testbed.wait_generation(generation).await.unwrap();
    testbed
}

async fn outcomes(testbed: &Testbed, count: usize) -> Vec<Option<String>> {
    let mut client = testbed.client(0);
    let mut outcomes = Vec::new();
    for number in 0..count {
        let request = ClientRequest::post(format!("/orders/{number}"), "rolls");
        let response = client.call(request).await;
        outcomes.push(response.outcome().map(str::to_owned));
    }
    outcomes
}

// The upstream may be running the second action: the refusal may be one too many of the first.
#[tokio::test]
async fn a_refusal_without_an_id_proves_nothing_on_a_connection_that_served_another_request() {
    let (testbed, arrivals) = start(&[SUCCESS, REFUSAL]).await;
    let outcomes = outcomes(&testbed, 2).await;
    assert_eq!(outcomes[1].as_deref(), Some("unknown"), "{outcomes:?}");
    assert_eq!(arrivals.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn a_refusal_without_an_id_is_true_on_a_new_connection() {
    let (testbed, arrivals) = start(&[REFUSAL]).await;
    let outcomes = outcomes(&testbed, 1).await;
    assert_eq!(outcomes[0].as_deref(), Some("not-run"), "{outcomes:?}");
    assert_eq!(arrivals.load(Ordering::Relaxed), 1);
}

// What is still due on the connection is the response to the request before.
#[tokio::test]
async fn a_connection_with_a_stray_refusal_carries_no_other_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_late(stream));
        }
    });
    let testbed = start_before(address).await;
    let mut client = testbed.client(0);
    for number in 0..3 {
        let target = format!("/orders/{number}");
        let response = client.call(ClientRequest::post(&target, "rolls")).await;
        let body = String::from_utf8_lossy(&response.body).into_owned();
        let is_own = response.status != 200 || body == target;
        assert!(is_own, "{target} got the response to {body}");
    }
}
