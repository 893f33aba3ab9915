//! Calls to the platform over a pool of HTTP connections, independent of their encoding.
//!
//! One task owns the idle connections. Each call runs in a task of its own and returns
//! its connection to the pool when the connection can be used again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http1::client::{self, Connection, ExchangeError};
use model::call;
use model::sizes::ByteSize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection that is still reused.
const IDLE_TIME_MAX: Duration = Duration::from_secs(5);
/// Capacity of the task's queues of commands and of returned connections.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of idle connections in the pool.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// The largest response. A page of objects has about 1 MB; the events of a watch may be more,
/// up to one for each upstream of the fleet.
const RESPONSE_SIZE_MAX: ByteSize = ByteSize::new(8 * 1024 * 1024);

/// Called with the name of each operation before it is sent to the platform.
pub type CallObserver = Arc<dyn Fn(&'static str) + Send + Sync>;

/// A handle to the task that owns the connections. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct PlatformChannel {
    commands: mpsc::Sender<CallCommand>,
}

#[derive(Debug)]
struct CallCommand {
    operation: &'static str,
    request: http::Request<Bytes>,
    timeout: Duration,
    reply: oneshot::Sender<Result<BufferedResponse, CallError>>,
}

/// Why a call returned no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent; the call was not executed.
    NotSent,
    /// No complete response arrived; the call may have been executed.
    ResponseLost,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the platform cannot be reached",
            Self::ResponseLost => "the platform did not respond",
        })
    }
}

/// A response whose body was read completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The HTTP status code.
    pub status: http::StatusCode,
    /// The response headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl PlatformChannel {
    /// Starts the task. Connections to `address` are opened when a call needs one.
    pub fn start(address: SocketAddr, observer: CallObserver) -> Self {
        let (commands, inbox) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_pool(address, observer, inbox));
        Self { commands }
    }

    /// Sends a request and reads the whole response. Dropping the returned future cancels
    /// the call and closes its connection.
    ///
    /// # Errors
    /// [`CallError`] states whether the call may have been executed.
    pub async fn call(
        &self,
        operation: &'static str,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let (reply, response) = oneshot::channel();
        let command = CallCommand {
            operation,
            request,
            timeout,
            reply,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| CallError::NotSent)?;
        response.await.unwrap_or(Err(CallError::ResponseLost))
    }
}

/// Runs the pool: starts a task for each call and keeps returned connections for later calls.
async fn run_pool(
    address: SocketAddr,
    observer: CallObserver,
    mut inbox: mpsc::Receiver<CallCommand>,
) {
    let (returns, mut returned) = mpsc::channel::<Connection>(QUEUE_CAPACITY);
    let mut idle: Vec<Connection> = Vec::new();
    loop {
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                observer(command.operation);
                let connection = pop_reusable(&mut idle);
                tokio::spawn(make_call(address, connection, command, returns.clone()));
            }
            connection = returned.recv() => {
                let reusable = connection.filter(|_| idle.len() < IDLE_CONNECTIONS_MAX);
                idle.extend(reusable);
            }
        }
    }
}

/// Drops connections that were closed or idle for too long, and takes the newest of the rest.
fn pop_reusable(idle: &mut Vec<Connection>) -> Option<Connection> {
    idle.retain(|connection| {
        !connection.is_closed() && connection.last_verified.elapsed() < IDLE_TIME_MAX
    });
    idle.pop()
}

async fn make_call(
    address: SocketAddr,
    connection: Option<Connection>,
    command: CallCommand,
    returns: mpsc::Sender<Connection>,
) {
    let CallCommand {
        request,
        timeout,
        mut reply,
        ..
    } = command;
    let deadline = Instant::now() + timeout;
    let result = tokio::select! {
        () = reply.closed() => return,
        result = exchange(address, connection, request, deadline) => result,
    };
    let result = result.map(|(response, connection)| {
        if let Some(connection) = connection {
            let _ = returns.try_send(connection);
        }
        response
    });
    let _ = reply.send(result);
}

/// Makes a call over an idle connection. If that turns out to be closed before any byte
/// was sent, makes it over a new one.
async fn exchange(
    address: SocketAddr,
    idle: Option<Connection>,
    request: http::Request<Bytes>,
    deadline: Instant,
) -> Result<(BufferedResponse, Option<Connection>), CallError> {
    if let Some(connection) = idle {
        let result = exchange_over(connection, request.clone(), deadline).await;
        if !matches!(result, Err(CallError::NotSent)) {
            return result;
        }
    }
    let opened = client::open(address, CONNECT_TIMEOUT).await;
    let connection = opened.map_err(|_| CallError::NotSent)?;
    exchange_over(connection, request, deadline).await
}

async fn exchange_over(
    connection: Connection,
    request: http::Request<Bytes>,
    deadline: Instant,
) -> Result<(BufferedResponse, Option<Connection>), CallError> {
    let request = request.map(call::full_body);
    let sending = time::timeout_at(deadline, connection.exchange(request));
    let exchanged = sending.await.map_err(|_| CallError::ResponseLost)?;
    let (response, reusable) = exchanged.map_err(|error| match error {
        ExchangeError::NotSent => CallError::NotSent,
        ExchangeError::Broken | ExchangeError::Malformed => CallError::ResponseLost,
    })?;
    let (parts, body) = response.into_parts();
    let collecting = time::timeout_at(deadline, body.collect_up_to(RESPONSE_SIZE_MAX));
    let collected = collecting.await.map_err(|_| CallError::ResponseLost)?;
    let body = collected.map_err(|error| {
        log::warn!(target: "platform", "A response of the platform was given up: {error}.");
        CallError::ResponseLost
    })?;
    let response = BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    let connection = reusable.await.map(|returned| returned.connection);
    Ok((response, connection))
}
