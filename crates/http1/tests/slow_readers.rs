//! Peers that read a response slowly, or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_http1::server::{self, Handler, ServeLimits};
use model::call::{self, BodyStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// How long a response may make no progress.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// More than the buffers of the system hold.
const BODY_BYTES: usize = 16_000_000;
const PIECE_BYTES: usize = 200_000;
/// Between two reads of a piece; in all they last several times the idle timeout.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Starts a server of one large response; returns its address and what stops it.
async fn start_server() -> (SocketAddr, watch::Sender<bool>) {
    let handler: Handler<BodyStream> = Arc::new(|_| {
        Box::pin(async { http::Response::new(call::full_body(vec![b'a'; BODY_BYTES])) })
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let limits = ServeLimits {
        idle_timeout: IDLE_TIMEOUT,
        ..ServeLimits::default()
    };
    tokio::spawn(server::listen(listener, limits, handler, stopping));
    (address, stop)
}

async fn request(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream
}

// The idle timeout counted from the last byte that the handler returned, not from the last one
// that was sent.
#[tokio::test]
async fn a_response_that_is_read_slowly_is_sent_to_its_end() {
    let (address, _stop) = start_server().await;
    let mut stream = request(address).await;
    let mut received = 0;
    let mut piece = vec![0; PIECE_BYTES];
    while received < BODY_BYTES {
        let size = stream.read(&mut piece).await.unwrap();
        assert!(size > 0, "the response ended after {received} bytes");
        received += size;
        time::sleep(PIECE_PAUSE * u32::try_from(size).unwrap() / 200_000).await;
    }
}

#[tokio::test]
async fn a_response_that_is_not_read_is_given_up() {
    let (address, _stop) = start_server().await;
    let mut stream = request(address).await;
    time::sleep(IDLE_TIMEOUT * 4).await;
    let mut received = Vec::new();
    let reading = time::timeout(Duration::from_secs(5), stream.read_to_end(&mut received));
    assert!(reading.await.is_ok(), "the connection stays open");
    assert!(received.len() < BODY_BYTES, "{} bytes", received.len());
}
