//! Incoming connections.

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

use phase::{ConnectionPhase, PhasedBody, PhasedStream};

/// How long a listener rests when the system cannot give it a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// What a caller gets whose head does not arrive in time.
const HEAD_TIMED_OUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Bounds on what one connection may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServeLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The most headers of a request.
    pub headers: usize,
    /// How long a head may take to arrive, from its first byte on.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request, or an answer unread.
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

/// What happens to the connection after an answer.
pub type Handler<B> = Arc<
    dyn Fn(
            http::Request<Incoming>,
        ) -> std::pin::Pin<Box<dyn Future<Output = http::Response<B>> + Send>>
        + Send
        + Sync,
>;

/// Serves a connection until it closes. It ends with its present request after
/// `stopping` turns true or when it was idle for too long; a head that takes too
/// long to arrive is answered with 408.
///
/// The bounds on time may change while the connection is open.
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
    let stream = PhasedStream {
        stream,
        phase: Arc::clone(&phase),
    };
    let service = service_fn(move |request| {
        let answer = handler(request);
        let phase = Arc::clone(&phase);
        async move {
            phase.send_replace(ConnectionPhase::Busy);
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| PhasedBody::new(body, phase)))
        }
    });
    let sizes = limits();
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(sizes.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(sizes.headers)
        .serve_connection(TokioIo::new(stream), service);
    let overrun = tokio::select! {
        result = &mut connection => return log_end(result),
        _ = stopping.wait_for(|stopping| *stopping) => None,
        overrun = outlast(&mut phases, &limits) => Some(overrun),
    };
    match overrun {
        None | Some(Overrun::Idle) => {}
        Some(Overrun::Head) => {
            let stream = connection.into_parts().io.into_inner().stream;
            return refuse_head(stream).await;
        }
        Some(Overrun::Flush) => {
            log::info!(target: "http", "A caller did not read its answer: connection closed.");
            return;
        }
    }
    Pin::new(&mut connection).graceful_shutdown();
    log_end(connection.await);
}

/// Which bound a connection has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Overrun {
    Idle,
    Head,
    Flush,
}

/// Waits until a connection has passed a bound.
async fn outlast(
    phases: &mut watch::Receiver<ConnectionPhase>,
    limits: impl Fn() -> ServeLimits,
) -> Overrun {
    loop {
        let phase = *phases.borrow_and_update();
        let bounds = limits();
        let bound = match phase {
            ConnectionPhase::Idle(since) => Some((since + bounds.idle_timeout, Overrun::Idle)),
            ConnectionPhase::Head(since) => Some((since + bounds.head_timeout, Overrun::Head)),
            ConnectionPhase::Flushing(since) => Some((since + bounds.idle_timeout, Overrun::Flush)),
            ConnectionPhase::Busy => None,
        };
        let Some((end, overrun)) = bound else {
            next_phase(phases).await;
            continue;
        };
        if end <= Instant::now() {
            return overrun;
        }
        tokio::select! {
            () = time::sleep_until(end) => {}
            () = next_phase(phases) => {}
        }
    }
}

/// Waits for another phase; for ever once the connection has ended.
async fn next_phase(phases: &mut watch::Receiver<ConnectionPhase>) {
    if phases.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Answers a head that did not arrive in time; nothing of it has run.
async fn refuse_head(mut stream: TcpStream) {
    let answered = match stream.write_all(HEAD_TIMED_OUT).await {
        Ok(()) => stream.shutdown().await,
        Err(error) => Err(error),
    };
    match answered {
        Ok(()) => log::info!(target: "http", "A head did not arrive in time: 408."),
        Err(error) => log::debug!(target: "http", "The 408 was not sent: {error}."),
    }
}

/// Accepts connections, a task for each, until `stopping` turns true or its sender is gone.
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
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!(target: "http", "Connection ended: {error}.");
    }
}
