//! Incoming connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// How long a listener rests when the system cannot give it a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Bounds on what one connection may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServeLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The most headers of a request.
    pub headers: usize,
    /// How long a head may take to arrive, the time before its first byte included.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
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

/// Serves a connection until it closes; after `stopping` turns true, or when it
/// was idle for too long, it ends with its present request.
pub async fn serve<B>(
    stream: TcpStream,
    limits: ServeLimits,
    idle_timeout: impl Fn() -> Duration,
    handler: Handler<B>,
    mut stopping: watch::Receiver<bool>,
) where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (idle_since, mut idle) = watch::channel(Some(Instant::now()));
    let idle_since = Arc::new(idle_since);
    let service = service_fn(move |request| {
        let answer = handler(request);
        let idle_since = Arc::clone(&idle_since);
        async move {
            idle_since.send_replace(None);
            let answer = answer.await;
            idle_since.send_replace(Some(Instant::now()));
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        _ = stopping.wait_for(|stopping| *stopping) => {}
        () = outlast(&mut idle, idle_timeout) => {}
    }
    connection.as_mut().graceful_shutdown();
    log_end(connection.await);
}

/// Waits until a connection was idle for its bound, which may change meanwhile.
async fn outlast(idle: &mut watch::Receiver<Option<Instant>>, bound: impl Fn() -> Duration) {
    loop {
        let since = *idle.borrow_and_update();
        let Some(end) = since.map(|since| since + bound()) else {
            if idle.changed().await.is_err() {
                return std::future::pending().await;
            }
            continue;
        };
        if end <= Instant::now() {
            return;
        }
        tokio::select! {
            () = time::sleep_until(end) => {}
            changed = idle.changed() => if changed.is_err() {
                return std::future::pending().await;
            },
        }
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
                    limits,
                    move || limits.idle_timeout,
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
