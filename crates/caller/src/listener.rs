//! Accepts connections from callers; each is served by its own task.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use http1::server::{self, RequestBody, ServeLimits};
use model::call::{BodyStream, Call, CallResponse};
use model::error::FleetError;
use model::{ids, sizes};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::wire::{self, CallerHeaders};

/// Delay before the next `accept` after the system failed to provide a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long connections are accepted after the stop has begun.
const STOP_LINGER: Duration = Duration::from_millis(50);
/// Connections that wait in the queue of the system until they are accepted; the system may
/// allow fewer. A connection that does not fit is opened a second later.
const BACKLOG_MAX: u32 = 4_096;

/// The pending response to a call.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<CallResponse, FleetError>> + Send>>;

/// Handles calls; keeps the front end independent of what serves them.
pub type Dispatch = Arc<dyn Fn(Call) -> CallFuture + Send + Sync>;

/// Limits on callers; they may change while the listener runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Limit on open connections; further ones are closed immediately.
    pub connections: usize,
    /// Limits on each connection.
    pub connection: ServeLimits,
    /// Limit on the size of a request body; unlimited if none.
    pub body: Option<sizes::ByteSize>,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            connection: ServeLimits::default(),
            body: None,
        }
    }
}

/// A bound listener for callers.
pub struct CallerListener {
    listener: TcpListener,
    settings: CallerSettings,
    draining: watch::Receiver<bool>,
}

/// Configuration of a [`CallerListener`].
#[derive(Clone)]
pub struct CallerSettings {
    /// The current limits on callers.
    pub limits: watch::Receiver<CallerLimits>,
    /// Names of the headers that callers and the fleet exchange.
    pub headers: Arc<CallerHeaders>,
    /// Handles calls.
    pub dispatch: Dispatch,
    /// Bounds what waits to be written to callers.
    pub memory: CallerMemory,
}

/// Bounds what waits to be written to callers; the default leaves that to the system and the idle
/// timeout.
#[derive(Clone)]
pub struct CallerMemory {
    /// Size of the send buffer of each connection.
    pub send_buffer: Option<sizes::ByteSize>,
    /// How long a caller may leave its response unread now, if less than the idle timeout.
    pub unread_timeout: Arc<dyn Fn() -> Option<Duration> + Send + Sync>,
}

impl Default for CallerMemory {
    fn default() -> Self {
        Self {
            send_buffer: None,
            unread_timeout: Arc::new(|| None),
        }
    }
}

impl CallerListener {
    /// Binds the listener to an address. Once `draining` is true, every response asks the
    /// caller to close the connection.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        settings: CallerSettings,
        draining: watch::Receiver<bool>,
    ) -> io::Result<Self> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        // As `TcpListener::bind` does, so that a restarted process gets its address back.
        socket.set_reuseaddr(true)?;
        if let Some(size) = settings.memory.send_buffer {
            // Accepted connections take it over.
            socket.set_send_buffer_size(u32::try_from(size.get()).unwrap_or(u32::MAX))?;
        }
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG_MAX)?;
        Ok(Self {
            listener,
            settings,
            draining,
        })
    }

    /// The local address.
    ///
    /// # Errors
    /// When the system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stopping` is true, then waits until the open ones end.
    pub async fn run(self, mut stopping: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let connection_stop = stopping.clone();
        let limits = self.settings.limits.clone();
        let unread_timeout = Arc::clone(&self.settings.memory.unread_timeout);
        let handler = handler(self.settings, self.draining);
        let admit = |connections: &mut JoinSet<()>, stream, peer| {
            if connections.len() < limits.borrow().connections {
                let stop = connection_stop.clone();
                let (limits, unread_timeout) = (limits.clone(), Arc::clone(&unread_timeout));
                let connection_limits = move || ServeLimits {
                    unread_timeout: unread_timeout(),
                    ..limits.borrow().connection
                };
                connections.spawn(serve(stream, connection_limits, Arc::clone(&handler), stop));
            } else {
                log::warn!(target: "caller", "Too many connections; closed the one from {peer}.");
            }
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            match accepted {
                Ok((stream, peer)) => admit(&mut connections, stream, peer),
                Err(error) => {
                    log::warn!(target: "caller", "Cannot accept a connection: {error}.");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Callers may have sent requests on connections that the system has accepted.
        let stop_accepting = Instant::now() + STOP_LINGER;
        for _ in 0..BACKLOG_MAX {
            let accepting = time::timeout_at(stop_accepting, self.listener.accept());
            let Ok(Ok((stream, peer))) = accepting.await else {
                break;
            };
            admit(&mut connections, stream, peer);
        }
        drop(self.listener);
        log::info!(target: "caller", "Stopped accepting connections; {} are still open.", connections.len());
        while connections.join_next().await.is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    limits: impl Fn() -> ServeLimits,
    handler: server::Handler<BodyStream>,
    stopping: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "caller", "Cannot set TCP_NODELAY: {error}.");
    }
    server::serve(stream, limits, handler, stopping).await;
}

fn handler(
    settings: CallerSettings,
    draining: watch::Receiver<bool>,
) -> server::Handler<BodyStream> {
    Arc::new(move |request| {
        let settings = settings.clone();
        let draining = draining.clone();
        Box::pin(async move {
            let mut response = respond(&settings, request).await;
            if *draining.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    })
}

async fn respond(settings: &CallerSettings, request: Request<RequestBody>) -> Response<BodyStream> {
    let names = &settings.headers;
    let body_limit = settings.limits.borrow().body;
    let id_name = names.request_id.as_ref();
    let id = id_name.and_then(|name| request.headers().get(name));
    let id = id.map(|id| ids::RequestId::of_bytes(id.as_bytes()));
    let mut response = match wire::read_call(names, body_limit, request) {
        Ok(call) => match (settings.dispatch)(call).await {
            Ok(response) => wire::write_response(response),
            Err(error) => wire::write_error(names, &error),
        },
        Err(error) => {
            log_rejection(id.as_ref(), &error);
            wire::write_error(names, &error)
        }
    };
    if let Some(id) = id {
        response.extensions_mut().insert(id);
    }
    response
}

/// Logs that a request was rejected before it was routed.
fn log_rejection(id: Option<&ids::RequestId>, error: &FleetError) {
    let request = id.map_or("none", ids::RequestId::as_str);
    log::info!(
        target: "rejected",
        request, kind:% = error.kind();
        "A request was rejected: {}.", error.detail()
    );
}
