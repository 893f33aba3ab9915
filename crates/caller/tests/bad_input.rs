//! Bad input at the callers' door: refused or passed on as the HTTP standard says.

use std::net::SocketAddr;
use std::time::Duration;

use testbed::{CallerClient, ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time;

async fn testbed() -> Testbed {
    let services = vec![
        ServicePlan::lookups("stock", "/stock", 2),
        ServicePlan::actions("dues", "/dues", 2),
    ];
    Testbed::start(TestbedPlan::small(services)).await.unwrap()
}

/// Sends bytes as they are and returns what comes back until the connection closes.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut text = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let reading = time::timeout(Duration::from_secs(2), stream.read(&mut piece)).await;
        match reading {
            Ok(Ok(size @ 1..)) => text.extend_from_slice(&piece[..size]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

async fn assert_others_are_served(testbed: &Testbed) {
    let answer = testbed
        .client(0)
        .call(ClientRequest::get("/stock/after"))
        .await;
    assert_eq!(
        (answer.status, answer.body.as_ref()),
        (200, b"/stock/after\n".as_slice())
    );
}

/// The upstream of once-only requests is not held to account for what callers sent.
async fn assert_not_blamed(testbed: &Testbed) {
    let avoided = testbed.wait_avoided("dues-0", Duration::from_millis(500));
    assert!(avoided.await.is_none());
}

#[tokio::test]
async fn an_oversized_head_is_refused() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let large = format!(
        "GET /stock/1 HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    assert_eq!(status(&raw(address, large.as_bytes()).await), "431");
    let many = "X: a\r\n".repeat(200);
    let many = format!("GET /stock/1 HTTP/1.1\r\nHost: h\r\n{many}\r\n");
    assert_eq!(status(&raw(address, many.as_bytes()).await), "431");
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn a_length_beside_chunks_is_refused_or_the_chunks_win() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let smuggled = "5\r\nhello\r\n0\r\n\r\nGET /stock/smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    let first = format!(
        "POST /dues/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n{smuggled}"
    );
    let answer = raw(address, first.as_bytes()).await;
    // RFC 9112, 6.3: the server may refuse, or take the chunks and close the connection.
    let refused = status(&answer) == "400";
    let chunks_won =
        status(&answer) == "200" && answer.to_lowercase().contains("connection: close");
    assert!(refused || chunks_won, "{answer}");
    assert_eq!(
        answer.matches("HTTP/1.1").count(),
        1,
        "the smuggled request was served: {answer}"
    );
    let two =
        "POST /dues/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(status(&raw(address, two.as_bytes()).await), "400");
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn bare_line_feeds_are_read_as_line_ends_or_refused() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let answer = raw(
        address,
        b"GET /stock/lf HTTP/1.1\nHost: h\nConnection: close\n\n",
    )
    .await;
    assert!(["200", "400"].contains(&status(&answer)), "{answer}");
    let hidden = b"GET /stock/1 HTTP/1.1\r\nHost: h\r\nX: a\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = raw(address, hidden).await;
    assert!(["400", "none"].contains(&status(&answer)) || !answer.contains("200 OK\r\n200"));
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn an_unknown_method_is_passed_on_and_connect_is_not() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let answer = raw(
        address,
        b"PROPFIND /stock/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    )
    .await;
    assert_eq!(status(&answer), "200", "{answer}");
    let answer = raw(address, b"CONNECT h:443 HTTP/1.1\r\nHost: h:443\r\n\r\n").await;
    assert_eq!(status(&answer), "400", "{answer}");
    let answer = raw(address, b"G@T /stock HTTP/1.1\r\nHost: h\r\n\r\n").await;
    assert_eq!(status(&answer), "400", "{answer}");
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn a_missing_or_doubled_host_is_refused() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let none = raw(
        address,
        b"GET /stock/1 HTTP/1.1\r\nConnection: close\r\n\r\n",
    )
    .await;
    assert_eq!(status(&none), "400", "{none}");
    let two = b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n";
    assert_eq!(status(&raw(address, two).await), "400");
}

#[tokio::test]
async fn a_body_shorter_than_declared_runs_nothing_and_blames_no_upstream() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    for _ in 0..10 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = b"POST /dues/1 HTTP/1.1\r\nHost: h\r\nAction-Id: short\r\nContent-Length: 10\r\n\r\nabc";
        stream.write_all(head).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        let _ = time::timeout(Duration::from_secs(2), stream.read_to_end(&mut rest)).await;
    }
    assert!(!testbed.ledger.counts().await.contains_key("short"));
    assert_not_blamed(&testbed).await;
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn a_slow_head_is_cut_off() {
    let services = vec![ServicePlan::lookups("stock", "/stock", 1)];
    let mut plan = TestbedPlan::small(services);
    plan.head_timeout = Duration::from_millis(300);
    let testbed = Testbed::start(plan).await.unwrap();
    let mut stream = TcpStream::connect(testbed.caller_addresses()[0])
        .await
        .unwrap();
    stream
        .write_all(b"GET /stock/1 HTTP/1.1\r\nHost:")
        .await
        .unwrap();
    let mut rest = Vec::new();
    let closed = time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection stayed open");
    assert_eq!(status(&String::from_utf8_lossy(&rest)), "408");
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn a_pause_before_a_head_is_no_slow_head() {
    let services = vec![ServicePlan::lookups("stock", "/stock", 1)];
    let mut plan = TestbedPlan::small(services);
    plan.head_timeout = Duration::from_millis(300);
    let testbed = Testbed::start(plan).await.unwrap();
    let mut stream = TcpStream::connect(testbed.caller_addresses()[0])
        .await
        .unwrap();
    for number in 0..2 {
        time::sleep(Duration::from_millis(600)).await;
        let request = format!("GET /stock/{number} HTTP/1.1\r\nHost: h\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut piece = [0; 4096];
        let reading = time::timeout(Duration::from_secs(2), stream.read(&mut piece)).await;
        let size = reading.unwrap().unwrap();
        let answer = String::from_utf8_lossy(&piece[..size]).into_owned();
        assert_eq!(status(&answer), "200", "{answer}");
    }
}

#[tokio::test]
async fn wrong_chunks_are_refused_and_blame_no_upstream() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let head = "POST /dues/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in [
        "zz\r\nhello\r\n",
        "fffffffffffffffff\r\n",
        "5\r\nhelloworld\r\n0\r\n\r\n",
    ] {
        let answer = raw(address, format!("{head}{body}").as_bytes()).await;
        assert_eq!(status(&answer), "400", "{body:?}: {answer}");
        assert!(
            answer.to_lowercase().contains("connection: close"),
            "{answer}"
        );
    }
    assert_not_blamed(&testbed).await;
    assert_others_are_served(&testbed).await;
}

#[tokio::test]
async fn the_authority_of_an_absolute_target_goes_before_host() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let request =
        b"GET http://named.example/stock/1 HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n";
    assert_eq!(status(&raw(address, request).await), "200");
    let seen = testbed.ledger.last_headers().await;
    let hosts: Vec<_> = seen.iter().filter(|(name, _)| name == "host").collect();
    assert_eq!(hosts.len(), 1, "{seen:?}");
    assert_eq!(hosts[0].1, "named.example");
}

#[tokio::test]
async fn hop_by_hop_headers_end_here() {
    let testbed = testbed().await;
    let address = testbed.caller_addresses()[0];
    let request = b"GET /stock/1 HTTP/1.1\r\nHost: h\r\nConnection: close, X-Private\r\n\
        X-Private: secret\r\nKeep-Alive: 5\r\nTE: trailers\r\nUpgrade: foo\r\nX-Public: yes\r\n\r\n";
    assert_eq!(status(&raw(address, request).await), "200");
    let seen = testbed.ledger.last_headers().await;
    let has = |name: &str| seen.iter().any(|(known, _)| known == name);
    for name in ["connection", "x-private", "keep-alive", "te", "upgrade"] {
        assert!(!has(name), "{name} was passed on: {seen:?}");
    }
    assert!(has("x-public") && has("request-deadline-ms"), "{seen:?}");
}

#[tokio::test]
async fn faulty_headers_of_the_fleet_are_refused_by_name() {
    let testbed = testbed().await;
    for (name, value) in [
        ("workspace", "a b"),
        ("request-deadline-ms", "soon"),
        ("idempotency-key", ""),
    ] {
        let request = ClientRequest::get("/stock/1").with(name, value);
        let answer = CallerClient::new(testbed.caller_addresses()[0])
            .call(request)
            .await;
        assert_eq!(answer.status, 400, "{name}");
        assert_eq!(answer.outcome(), Some("not-run"));
        let text = String::from_utf8_lossy(&answer.body).to_lowercase();
        assert!(text.contains(name), "{text}");
    }
}
