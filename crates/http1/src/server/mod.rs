//! Accepted connections: size limits, timeouts and graceful shutdown.

mod close;
mod phase;
mod target;
mod timeout;

use std::convert::Infallible;
use std::error::Error;
use std::future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use close::{CloseReason, ConnectionLog};
use phase::{BodyState, ConnectionState, PhaseTrackingBody, PhaseTrackingStream, StateSender};
use target::{BodyFraming, TargetTracker};
use timeout::{TimeoutKind, wait_for_timeout, wait_until_unused};

use crate::header;

pub use phase::RequestBody;
pub use target::RawTarget;

/// How long to wait before the next accept when the system could not provide a
/// connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
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
    /// How long a peer may leave its response unread, also one that is still being made; at most
    /// the idle timeout. A connection that exceeds it is reset, which frees the buffers of the
    /// system too. Without it, the idle timeout counts from the end of the response's body.
    pub unread_timeout: Option<Duration>,
}

impl ServeLimits {
    fn unread_timeout(&self) -> Duration {
        let timeout = self.unread_timeout.unwrap_or(self.idle_timeout);
        timeout.min(self.idle_timeout)
    }
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            headers: 100,
            head_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(15),
            unread_timeout: None,
        }
    }
}

/// Handles one request, which has its [`RawTarget`] as an extension, and returns its response,
/// with a [`RequestId`](model::ids::RequestId) as an extension if log lines are to name the request.
pub type Handler<B> = Arc<
    dyn Fn(
            http::Request<RequestBody>,
        ) -> std::pin::Pin<Box<dyn Future<Output = http::Response<B>> + Send>>
        + Send
        + Sync,
>;

/// Serves a connection until it closes. After the idle timeout it closes. After `stopping`
/// turns true it closes once the request in progress is complete, and an idle one once no
/// further request has arrived for a short time. A head that does not
/// arrive within the head timeout gets a response with status 408. A request is in progress
/// until its response has been sent and its body has been read. A connection that closes waits
/// some seconds at most for its peer to close it, too, so that the peer can read the last response.
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
    let (state, mut states) = StateSender::new();
    let (tracker, targets) = TargetTracker::new();
    let service_state = state.clone();
    let mut service = service_fn(move |mut request: http::Request<_>| {
        let state = service_state.clone();
        let framing = body_framing(request.body());
        let target = targets.start_request(framing);
        request.extensions_mut().insert(target);
        let version = request.version();
        state.start_request(&request, framing);
        let request = request.map(|incoming| RequestBody::new(incoming, state.clone()));
        let response = handler(request);
        async move {
            let mut response = response.await;
            state.set_label(response.extensions_mut().remove());
            if state.current().body == BodyState::Abandoned {
                // hyper has to notice it first, so that the response says that the connection
                // closes, unless the rest of the body has arrived already.
                task::yield_now().await;
            }
            if header::announces_close(response.headers()) {
                state.close_after_response();
            }
            if version == http::Version::HTTP_10 && response.body().size_hint().exact().is_none() {
                state.start_unframed_response();
            }
            Ok::<_, Infallible>(response.map(|body| PhaseTrackingBody::new(body, state)))
        }
    });
    let initial_limits = limits();
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(initial_limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(initial_limits.headers);
    let mut log = ConnectionLog::new(&stream, states.clone());
    let mut stream = PhaseTrackingStream::new(stream, tracker, state.clone());
    loop {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut driver = ConnectionDriver::new(connection, state.clone());
        let exceeded = tokio::select! {
            result = driver.run() => Ok(result),
            _ = stopping.wait_for(|stopping| *stopping) => Err(None),
            exceeded = wait_for_timeout(&mut states, &limits) => Err(Some(exceeded)),
        };
        let reason = match exceeded {
            Err(None) => CloseReason::Stop,
            Err(Some(_)) => CloseReason::Idle,
            Ok(_) => CloseReason::Finished,
        };
        let result = match exceeded {
            Ok(result) => result,
            Err(None) => tokio::select! {
                result = driver.run() => result,
                () = wait_until_unused(&mut states, &limits) => driver.stop().await,
            },
            Err(Some(TimeoutKind::Idle)) => driver.stop().await,
            Err(Some(TimeoutKind::Head)) => {
                let stream = driver.connection.into_parts().io.into_inner().stream;
                let requests = states.borrow().requests;
                log.end();
                return respond_head_timeout(stream, requests).await;
            }
            Err(Some(TimeoutKind::Flush)) => {
                log.end();
                let parts = driver.connection.into_parts();
                let is_reset = limits().unread_timeout.is_some();
                end_unread(&parts.io.into_inner().stream, is_reset, &states.borrow());
                return;
            }
        };
        let has_failed = result.is_err();
        log_end(result, states.borrow().label());
        let parts = driver.connection.into_parts();
        stream = parts.io.into_inner();
        let resumes = driver.is_interrupted && !has_failed && !*stopping.borrow();
        if !resumes {
            log.end();
        }
        if has_failed && states.borrow().is_unframed {
            // The caller must not take the end of the connection for that of the response.
            return;
        }
        if let Err(error) = stream.end_response() {
            log::warn!(target: "http", "A whole response may end with a reset: {error}.");
        }
        if resumes {
            // Without a sender the body has ended as well.
            let _ = states.wait_for(|state| !state.body.is_open()).await;
        }
        let has_unread_body = states.borrow().body == BodyState::Abandoned;
        if has_failed || has_unread_body {
            return close::close_lingering(stream.stream).await;
        }
        if !resumes {
            return close::close_delivered(stream.stream, &mut log, reason).await;
        }
        stream.returned = parts.read_buf;
        service = parts.service;
    }
}

fn body_framing(body: &Incoming) -> BodyFraming {
    match body.size_hint().exact() {
        _ if body.is_end_stream() => BodyFraming::None,
        Some(size) => BodyFraming::Sized(size),
        None => BodyFraming::Chunked,
    }
}

/// Drives hyper's side of a connection.
///
/// hyper does not end a body with trailers once its response has been sent, unless the
/// connection is to close. So when chunks follow their response it is told to close; after
/// the last of them the stream, which is still open, gets a new driver.
struct ConnectionDriver<S>
where
    S: HttpService<Incoming>,
{
    connection: http1::Connection<TokioIo<PhaseTrackingStream>, S>,
    state: StateSender,
    /// Whether hyper was told to close although the stream stays open.
    is_interrupted: bool,
}

impl<S, B> ConnectionDriver<S>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    fn new(
        connection: http1::Connection<TokioIo<PhaseTrackingStream>, S>,
        state: StateSender,
    ) -> Self {
        Self {
            connection,
            state,
            is_interrupted: false,
        }
    }

    /// Runs until hyper has closed its side.
    async fn run(&mut self) -> Result<(), hyper::Error> {
        future::poll_fn(|context| {
            let polled = Pin::new(&mut self.connection).poll(context);
            let interrupts = !self.is_interrupted && self.state.current().is_receiving_chunks();
            if polled.is_ready() || !interrupts {
                return polled;
            }
            self.is_interrupted = true;
            Pin::new(&mut self.connection).graceful_shutdown();
            Pin::new(&mut self.connection).poll(context)
        })
        .await
    }

    /// Runs until the request in progress is complete.
    async fn stop(&mut self) -> Result<(), hyper::Error> {
        // hyper would not wait for the rest of the body on a connection that closes anyway.
        if !self.state.current().closes {
            Pin::new(&mut self.connection).graceful_shutdown();
        }
        self.run().await
    }
}

/// Prepares the closing of a connection whose peer does not read its response.
fn end_unread(stream: &TcpStream, is_reset: bool, state: &ConnectionState) {
    if is_reset && let Err(error) = stream.set_zero_linger() {
        log::debug!(target: "http", "An unread response is not reset: {error}.");
    }
    log::info!(
        target: "http", request = state.label();
        "Connection closed: the caller did not read its response in time."
    );
}

/// Sends status 408 for a head that did not arrive in time; no request was handled since the
/// last of the `requests` before it.
async fn respond_head_timeout(mut stream: TcpStream, requests: u64) {
    let peer = close::peer_name(&stream);
    match stream.write_all(HEAD_TIMEOUT_RESPONSE).await {
        Ok(()) => {
            log::info!(
                target: "http", peer:%, requests;
                "Request head timed out; responded with 408."
            );
            close::close_lingering(stream).await;
        }
        Err(error) => {
            log::debug!(target: "http", peer:%, requests; "Sending the 408 failed: {error}.");
        }
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

fn log_end(result: Result<(), hyper::Error>, request: &str) {
    let Err(error) = result else { return };
    // Of all others the caller is the cause, and they are as many as callers that leave.
    if error.is_user() {
        log::info!(target: "http", request; "Connection closed: its response broke off: {error}.");
    } else {
        log::debug!(target: "http", request; "Connection ended with an error: {error}.");
    }
}
