//! Accepted connections: size limits, timeouts and graceful shutdown.

mod phase;

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use phase::{ConnectionPhase, PhaseTrackingBody, PhaseTrackingStream};

/// How long to wait before the next accept when the system could not provide a
/// connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an idle connection stays open after a stop has begun. A caller that has just
/// received a response may have sent its next request already.
const STOP_LINGER: Duration = Duration::from_millis(250);
/// The smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The response to a request head that does not arrive within the head timeout.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Size limits and timeouts of one accepted connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServeLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of headers in a request.
    pub headers: usize,
    /// How long a request head may take to arrive, counted from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request, or with a response that
    /// the peer does not read.
    pub idle_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            headers: 100,
            head_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Handles one request and returns its response.
pub type Handler<B> = Arc<
    dyn Fn(
            http::Request<Incoming>,
        ) -> std::pin::Pin<Box<dyn Future<Output = http::Response<B>> + Send>>
        + Send
        + Sync,
>;

/// Serves a connection until it closes. After the idle timeout it closes. After `stopping`
/// turns true it closes once the request in progress is complete, and an idle one once no
/// further request has arrived for a short time. A head that does not
/// arrive within the head timeout gets a response with status 408.
///
/// `limits` is called again whenever the connection changes its phase, so timeouts may
/// change while it is open; size limits are read once.
pub async fn serve<B>(
    stream: TcpStream,
    limits: impl Fn() -> ServeLimits,
    handler: Handler<B>,
    mut stopping: watch::Receiver<bool>,
) where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (phase, mut phases) = watch::channel(ConnectionPhase::Idle(Instant::now()));
    let phase = Arc::new(phase);
    let stream = PhaseTrackingStream {
        stream,
        phase: Arc::clone(&phase),
    };
    let service = service_fn(move |request| {
        let response = handler(request);
        let phase = Arc::clone(&phase);
        async move {
            phase.send_replace(ConnectionPhase::Busy);
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| PhaseTrackingBody::new(body, phase)))
        }
    });
    let initial_limits = limits();
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(initial_limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(initial_limits.headers)
        .serve_connection(TokioIo::new(stream), service);
    let exceeded = tokio::select! {
        result = &mut connection => return log_end(result),
        _ = stopping.wait_for(|stopping| *stopping) => None,
        exceeded = wait_for_timeout(&mut phases, &limits) => Some(exceeded),
    };
    match exceeded {
        None => tokio::select! {
            result = &mut connection => return log_end(result),
            () = wait_until_unused(&mut phases, &limits) => {}
        },
        Some(TimeoutKind::Idle) => {}
        Some(TimeoutKind::Head) => {
            let stream = connection.into_parts().io.into_inner().stream;
            return respond_head_timeout(stream).await;
        }
        Some(TimeoutKind::Flush) => {
            log::info!(target: "http", "Connection closed: the caller did not read its response in time.");
            return;
        }
    }
    Pin::new(&mut connection).graceful_shutdown();
    log_end(connection.await);
}

/// Which timeout a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimeoutKind {
    Idle,
    Head,
    Flush,
}

/// Waits until a connection has exceeded a timeout.
async fn wait_for_timeout(
    phases: &mut watch::Receiver<ConnectionPhase>,
    limits: impl Fn() -> ServeLimits,
) -> TimeoutKind {
    loop {
        let phase = *phases.borrow_and_update();
        let timeouts = limits();
        let timeout = match phase {
            ConnectionPhase::Idle(since) => {
                Some((since + timeouts.idle_timeout, TimeoutKind::Idle))
            }
            ConnectionPhase::Head(since) => {
                Some((since + timeouts.head_timeout, TimeoutKind::Head))
            }
            ConnectionPhase::Flushing(since) => {
                Some((since + timeouts.idle_timeout, TimeoutKind::Flush))
            }
            ConnectionPhase::Busy => None,
        };
        let Some((end, kind)) = timeout else {
            next_phase(phases).await;
            continue;
        };
        if end <= Instant::now() {
            return kind;
        }
        tokio::select! {
            () = time::sleep_until(end) => {}
            () = next_phase(phases) => {}
        }
    }
}

/// Waits until no request is about to arrive on a connection that is to be closed: one is
/// being handled, or none has arrived in time.
async fn wait_until_unused(
    phases: &mut watch::Receiver<ConnectionPhase>,
    limits: impl Fn() -> ServeLimits,
) {
    let stopped = Instant::now();
    loop {
        let end = match *phases.borrow_and_update() {
            ConnectionPhase::Idle(since) => since.max(stopped) + STOP_LINGER,
            ConnectionPhase::Head(since) => since + limits().head_timeout,
            ConnectionPhase::Busy | ConnectionPhase::Flushing(_) => return,
        };
        tokio::select! {
            () = time::sleep_until(end) => return,
            () = next_phase(phases) => {}
        }
    }
}

/// Waits for the next phase; never returns after the connection has ended.
async fn next_phase(phases: &mut watch::Receiver<ConnectionPhase>) {
    if phases.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Sends status 408 for a head that did not arrive in time; no request was handled.
async fn respond_head_timeout(mut stream: TcpStream) {
    let sent = match stream.write_all(HEAD_TIMEOUT_RESPONSE).await {
        Ok(()) => stream.shutdown().await,
        Err(error) => Err(error),
    };
    match sent {
        Ok(()) => log::info!(target: "http", "Request head timed out; responded with 408."),
        Err(error) => log::debug!(target: "http", "Sending the 408 failed: {error}."),
    }
}

/// Accepts connections and serves each in a task of its own, until `stopping` turns true
/// or its sender is dropped.
pub async fn listen<B>(
    listener: TcpListener,
    limits: ServeLimits,
    handler: Handler<B>,
    mut stopping: watch::Receiver<bool>,
) where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection_stop = stopping.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(
                    stream,
                    move || limits,
                    Arc::clone(&handler),
                    connection_stop.clone(),
                ));
            }
            Err(error) => {
                log::warn!(target: "http", "Accept failed: {error}.");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!(target: "http", "Connection ended with an error: {error}.");
    }
}
