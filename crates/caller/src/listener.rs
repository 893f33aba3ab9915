//! The listener: accepts callers' connections, one task for each.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use http1::server::{self, ServeLimits};
use hyper::body::Incoming;
use model::call::{BodyStream, Call, CallResponse};
use model::error::FleetError;
use model::sizes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::wire::{self, CallerHeaders};

/// How long the listener rests when the system cannot give it a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A call under way.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<CallResponse, FleetError>> + Send>>;

/// Serves calls; what lies behind the front end is no concern of its own.
pub type Dispatch = Arc<dyn Fn(Call) -> CallFuture + Send + Sync>;

/// Bounds on callers; the one in force may change while the front end runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Connections that are open at once; further ones are closed.
    pub connections: usize,
    /// Bounds on each connection.
    pub connection: ServeLimits,
    /// The largest body of a request; any when none.
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

/// The front end towards callers.
pub struct CallerListener {
    listener: TcpListener,
    settings: CallerSettings,
    leaving: watch::Receiver<bool>,
}

/// What the front end is started from.
#[derive(Clone)]
pub struct CallerSettings {
    /// The bounds in force.
    pub limits: watch::Receiver<CallerLimits>,
    /// Names of headers.
    pub headers: Arc<CallerHeaders>,
    /// Serves calls.
    pub dispatch: Dispatch,
}

impl CallerListener {
    /// Binds the front end to an address. Once `leaving` is true every answer
    /// tells its caller to close the connection.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        settings: CallerSettings,
        leaving: watch::Receiver<bool>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            settings,
            leaving,
        })
    }

    /// The address in use.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stopping` turns true, then lets work in flight end.
    pub async fn run(self, mut stopping: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let connection_stop = stopping.clone();
        let limits = self.settings.limits.clone();
        let handler = handler(self.settings, self.leaving);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            match accepted {
                Ok((stream, _)) if connections.len() < limits.borrow().connections => {
                    let handler = Arc::clone(&handler);
                    let stop = connection_stop.clone();
                    connections.spawn(serve(stream, limits.clone(), handler, stop));
                }
                Ok((_, peer)) => {
                    log::warn!(target: "caller", "Too many connections, closed {peer}.");
                }
                Err(error) => {
                    log::warn!(target: "caller", "Accept failed: {error}.");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        log::info!(target: "caller", "Closing, {} connections left.", connections.len());
        while connections.join_next().await.is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    limits: watch::Receiver<CallerLimits>,
    handler: server::Handler<BodyStream>,
    stopping: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "caller", "No delay cannot be set: {error}.");
    }
    let bounds = move || limits.borrow().connection;
    server::serve(stream, bounds, handler, stopping).await;
}

fn handler(
    settings: CallerSettings,
    leaving: watch::Receiver<bool>,
) -> server::Handler<BodyStream> {
    Arc::new(move |request| {
        let settings = settings.clone();
        let leaving = leaving.clone();
        Box::pin(async move {
            let mut response = answer(&settings, request).await;
            if *leaving.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    })
}

async fn answer(settings: &CallerSettings, request: Request<Incoming>) -> Response<BodyStream> {
    let names = &settings.headers;
    let body_bound = settings.limits.borrow().body;
    let call = match wire::read_call(names, body_bound, request) {
        Ok(call) => call,
        Err(error) => return wire::write_error(names, &error),
    };
    match (settings.dispatch)(call).await {
        Ok(answer) => wire::write_answer(answer),
        Err(error) => wire::write_error(names, &error),
    }
}
