//! Calls to the platform over connections that are kept, whatever their encoding.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http1::client::{self, Connection, ExchangeError};
use model::call;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest idle time after which a connection is used again.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Calls that wait for the task.
const CALLS_MAX: usize = 256;
/// Connections kept for the next call.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Is told the name of each operation that goes to the platform.
pub type CallObserver = Arc<dyn Fn(&'static str) + Send + Sync>;

/// Asks the task that owns the connections to make calls.
#[derive(Debug, Clone)]
pub struct PlatformChannel {
    commands: mpsc::Sender<CallCommand>,
}

#[derive(Debug)]
struct CallCommand {
    operation: &'static str,
    request: http::Request<Bytes>,
    timeout: Duration,
    reply: oneshot::Sender<Result<WholeAnswer, CallError>>,
}

/// Why a call brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent.
    NotSent,
    /// The call may have been executed.
    Lost,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the platform cannot be reached",
            Self::Lost => "the platform did not answer",
        })
    }
}

/// An answer whose body was read to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    /// HTTP status code.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl PlatformChannel {
    /// Starts the task that owns the connections to the platform.
    pub fn start(address: SocketAddr, observer: CallObserver) -> Self {
        let (commands, inbox) = mpsc::channel(CALLS_MAX);
        tokio::spawn(run(address, observer, inbox));
        Self { commands }
    }

    /// Makes a call. When the returned future is dropped, its connection closes.
    ///
    /// # Errors
    /// [`CallError`] says whether the call may have been executed.
    pub async fn call(
        &self,
        operation: &'static str,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<WholeAnswer, CallError> {
        let (reply, answer) = oneshot::channel();
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
        answer.await.unwrap_or(Err(CallError::Lost))
    }
}

/// Hands idle connections to calls and takes them back.
async fn run(address: SocketAddr, observer: CallObserver, mut inbox: mpsc::Receiver<CallCommand>) {
    let (give_back, mut returned) = mpsc::channel::<Connection>(CALLS_MAX);
    let mut idle: Vec<Connection> = Vec::new();
    loop {
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                observer(command.operation);
                let connection = take_fresh(&mut idle);
                tokio::spawn(make(address, connection, command, give_back.clone()));
            }
            connection = returned.recv() => {
                let kept = connection.filter(|_| idle.len() < IDLE_CONNECTIONS_MAX);
                idle.extend(kept);
            }
        }
    }
}

fn take_fresh(idle: &mut Vec<Connection>) -> Option<Connection> {
    idle.retain(|connection| {
        !connection.is_closed() && connection.last_verified.elapsed() < IDLE_MAX
    });
    idle.pop()
}

async fn make(
    address: SocketAddr,
    connection: Option<Connection>,
    command: CallCommand,
    give_back: mpsc::Sender<Connection>,
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
    let result = result.map(|(answer, connection)| {
        if let Some(connection) = connection {
            let _ = give_back.try_send(connection);
        }
        answer
    });
    let _ = reply.send(result);
}

/// Makes a call over an idle connection; when that turns out to be closed and not a
/// byte was sent, over a new one.
async fn exchange(
    address: SocketAddr,
    idle: Option<Connection>,
    request: http::Request<Bytes>,
    deadline: Instant,
) -> Result<(WholeAnswer, Option<Connection>), CallError> {
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
) -> Result<(WholeAnswer, Option<Connection>), CallError> {
    let request = request.map(call::full_body);
    let sending = time::timeout_at(deadline, connection.exchange(request));
    let exchanged = sending.await.map_err(|_| CallError::Lost)?;
    let (response, given_back) = exchanged.map_err(|error| match error {
        ExchangeError::NotSent => CallError::NotSent,
        ExchangeError::Broken => CallError::Lost,
    })?;
    let (parts, body) = response.into_parts();
    let collecting = time::timeout_at(deadline, body.collect());
    let collected = collecting
        .await
        .map_err(|_| CallError::Lost)?
        .map_err(|_| CallError::Lost)?;
    let answer = WholeAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.to_bytes(),
    };
    let connection = given_back.await.map(|returned| returned.connection);
    Ok((answer, connection))
}
