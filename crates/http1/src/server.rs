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
use tokio::time;

/// How long a listener rests when the system cannot give it a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Bounds on what one connection may send.
#[derive(Debug, Clone, Copy)]
pub struct ServeLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The most headers of a request.
    pub headers: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            headers: 100,
            head_timeout: Duration::from_secs(15),
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

/// Serves a connection until it closes; after `stopping` turns true it ends with its present request.
pub async fn serve<B>(
    stream: TcpStream,
    limits: ServeLimits,
    handler: Handler<B>,
    mut stopping: watch::Receiver<bool>,
) where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
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
    }
    connection.as_mut().graceful_shutdown();
    log_end(connection.await);
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
