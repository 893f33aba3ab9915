//! Peers that read a response slowly, or not at all.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gooseberrydyke_http1::server::{self, Handler, ServeLimits};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame};
use model::call::{self, BodyError, BodyStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// How long a response may make no progress.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// More than the buffers of the system hold.
const BODY_BYTES: usize = 16_000_000;
const PIECE_BYTES: usize = 200_000;
/// Between two reads of a piece; in all they last several times the idle timeout.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// What a process with 112 MB sets.
const SEND_BUFFER_BYTES: u32 = 28_000;
/// A tenth of the time that a process with little memory gives a reader, and ten times the rate of
/// a reader that needs 3 to 4 s for each step of its system.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(900);
const STEADY_PIECE_BYTES: usize = 20_000;
const STEADY_PAUSE: Duration = Duration::from_millis(50);

/// A body that arrives in pieces, more of them than are ever read.
struct PieceBody;

impl Body for PieceBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = Bytes::from(vec![b'a'; PIECE_BYTES]);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// Starts a server of one large response; returns its address and what stops it.
fn start_server() -> (SocketAddr, watch::Sender<bool>) {
    start_server_of(|| call::full_body(vec![b'a'; BODY_BYTES]), None)
}

fn start_server_of(
    body: fn() -> BodyStream,
    unread_timeout: Option<Duration>,
) -> (SocketAddr, watch::Sender<bool>) {
    let handler: Handler<BodyStream> =
        Arc::new(move |_| Box::pin(async move { http::Response::new(body()) }));
    let socket = TcpSocket::new_v4().unwrap();
    if unread_timeout.is_some() {
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    }
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let limits = ServeLimits {
        idle_timeout: unread_timeout.unwrap_or_default().max(IDLE_TIMEOUT),
        unread_timeout,
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
    let (address, _stop) = start_server();
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
    let (address, _stop) = start_server();
    let mut stream = request(address).await;
    time::sleep(IDLE_TIMEOUT * 4).await;
    let mut received = Vec::new();
    let reading = time::timeout(Duration::from_secs(5), stream.read_to_end(&mut received));
    assert!(reading.await.is_ok(), "the connection stays open");
    assert!(received.len() < BODY_BYTES, "{} bytes", received.len());
}

// hyper does not ask for more of a body while the peer takes nothing, so its end never comes.
#[tokio::test]
async fn a_response_that_is_still_being_made_is_given_up_after_the_unread_timeout() {
    let unread_timeout = Some(IDLE_TIMEOUT / 2);
    let (address, _stop) = start_server_of(|| PieceBody.boxed_unsync(), unread_timeout);
    let mut stream = request(address).await;
    time::sleep(IDLE_TIMEOUT * 6).await;
    let mut received = Vec::new();
    let reading = time::timeout(Duration::from_secs(5), stream.read_to_end(&mut received));
    let read = reading.await.expect("the connection stays open");
    assert!(read.is_err(), "the connection was not reset");
}

// The peer's system asks for more only after a part of its buffer was read, so a response that is
// read steadily makes progress in steps.
#[tokio::test]
async fn a_response_that_is_read_steadily_outlasts_the_unread_timeout() {
    let (address, _stop) = start_server_of(|| PieceBody.boxed_unsync(), Some(UNREAD_TIMEOUT));
    let mut stream = request(address).await;
    let mut piece = vec![0; STEADY_PIECE_BYTES];
    let start = Instant::now();
    while start.elapsed() < UNREAD_TIMEOUT * 4 {
        let size = stream.read(&mut piece).await.unwrap();
        assert!(size > 0, "the response ended after {:?}", start.elapsed());
        time::sleep(STEADY_PAUSE).await;
    }
}
