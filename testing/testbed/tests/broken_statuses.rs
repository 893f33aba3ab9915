//! Statuses that HTTP does not have, from upstreams that neither sign responses nor return ids.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gooseberrydyke_testbed as testbed;
use model::config::{Upstream, UpstreamState};
use model::sizes::SlotCount;
use operator::change::ConfigStep;
use testbed::fleet::parse_id;
use testbed::{ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const BROKEN_STATUSES: [&str; 10] = [
    "000", "099", "600", "799", "999", "20", "2000", "", "abc", "101",
];

/// Responds to each request with the status that its target ends with.
async fn serve(mut stream: TcpStream, arrivals: Arc<AtomicUsize>) -> std::io::Result<()> {
    loop {
        let mut request = Vec::new();
        while !request.ends_with(b"rolls") {
            request.push(stream.read_u8().await?);
        }
        arrivals.fetch_add(1, Ordering::Relaxed);
        let head = String::from_utf8_lossy(&request);
        let target = head.split(' ').nth(1).unwrap_or_default();
        let status = target.rsplit('/').next().unwrap_or_default();
        let response = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok");
        stream.write_all(response.as_bytes()).await?;
    }
}

async fn start_upstream(arrivals: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::clone(arrivals);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&arrivals)));
        }
    });
    address
}

// Without a signature and an id, the status alone tells that the response is none.
#[tokio::test]
async fn a_broken_status_is_an_unknown_outcome_and_reaches_no_caller() {
    let arrivals = Arc::default();
    let address = start_upstream(&arrivals).await;
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
    let generation = testbed.commit(step).await.unwrap().generation;
    testbed.wait_generation(generation).await.unwrap();
    let mut client = testbed.client(0);
    for (number, status) in BROKEN_STATUSES.into_iter().enumerate() {
        let request = ClientRequest::post(format!("/orders/{status}"), "rolls");
        let response = client.call(request).await;
        assert_eq!(response.outcome(), Some("unknown"), "status {status:?}");
        assert_eq!(arrivals.load(Ordering::Relaxed), number + 1, "{status:?}");
    }
}
