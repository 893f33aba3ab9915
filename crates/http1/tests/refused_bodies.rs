//! Bodies that are refused before they have been read: the response must reach the caller,
//! which goes on sending.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_http1::server::{self, Handler, ServeLimits};
use model::call::{self, BodyStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

const RESPONSE_BYTES: usize = 200_000;
const PIECE_BYTES: usize = 10_000;
const PIECES: usize = 30;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
const HEAD_TIMEOUT: Duration = Duration::from_millis(200);
/// Longer than a connection lingers.
const PATIENCE: Duration = Duration::from_secs(8);

/// Refuses each request without reading its body.
async fn start_refusing_server() -> (SocketAddr, watch::Sender<bool>) {
    let handler: Handler<BodyStream> = Arc::new(|_| {
        Box::pin(async {
            let mut response = http::Response::new(call::full_body(vec![b'r'; RESPONSE_BYTES]));
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            response
        })
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let limits = ServeLimits {
        head_timeout: HEAD_TIMEOUT,
        ..ServeLimits::default()
    };
    tokio::spawn(server::listen(listener, limits, handler, stopping));
    (address, stop)
}

/// Sends pieces with pauses; returns how many were sent before an error.
async fn send_pieces(stream: &mut TcpStream, pieces: usize) -> usize {
    for number in 0..pieces {
        if stream.write_all(&[b'a'; PIECE_BYTES]).await.is_err() {
            return number;
        }
        time::sleep(PIECE_PAUSE).await;
    }
    pieces
}

#[tokio::test]
async fn a_caller_that_reads_after_its_body_gets_the_whole_refusal() {
    let (address, _stop) = start_refusing_server().await;
    for round in 0..10 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let length = PIECES * PIECE_BYTES;
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(send_pieces(&mut stream, PIECES).await, PIECES, "{round}");
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response).await;
        assert!(read.is_ok(), "{round}: {read:?}");
        assert!(response.starts_with(b"HTTP/1.1 503 "), "{round}");
        let body = vec![b'r'; RESPONSE_BYTES];
        assert!(response.ends_with(&body), "{round}: {}", response.len());
    }
}

#[tokio::test]
async fn a_caller_of_a_late_head_gets_the_refusal_whatever_it_sends_on() {
    let (address, _stop) = start_refusing_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nX: ").await.unwrap();
    time::sleep(HEAD_TIMEOUT * 2).await;
    assert_eq!(send_pieces(&mut stream, PIECES).await, PIECES);
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(response.starts_with(b"HTTP/1.1 408 "));
}

#[tokio::test]
async fn a_body_without_end_is_not_read_for_long_after_its_refusal() {
    let (address, _stop) = start_refusing_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let started = Instant::now();
    let sending = time::timeout(PATIENCE, send_pieces(&mut stream, usize::MAX));
    assert!(sending.await.is_ok(), "still read after {PATIENCE:?}");
    assert!(started.elapsed() > Duration::from_secs(1));
}

#[tokio::test]
async fn a_body_without_pauses_is_not_read_without_bound_after_its_refusal() {
    let (address, _stop) = start_refusing_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let mut sent = 0;
    while stream.write_all(&[b'a'; PIECE_BYTES]).await.is_ok() {
        sent += PIECE_BYTES;
    }
    // Of this, the system holds some megabytes in its buffers.
    assert!(sent < 32 * 1024 * 1024, "{sent}");
}
