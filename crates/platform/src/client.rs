//! The task that calls the platform, and the handle through which others ask it to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http1::client::{self, Connection, ExchangeError};
use model::{call, error, sizes};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use crate::object::{Condition, ObjectName, ObjectPage, StoredObject, WatchAnswer};
use crate::vm::Vm;
use crate::wire::{self, WholeAnswer};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest idle time after which a connection is used again.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Calls that wait for the task.
const CALLS_MAX: usize = 256;
/// Connections kept for the next call.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Is told the name of each operation that goes to the platform.
pub type CallObserver = Arc<dyn Fn(&'static str) + Send + Sync>;

/// Asks the platform task to make calls.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    commands: mpsc::Sender<CallCommand>,
}

#[derive(Debug)]
struct CallCommand {
    operation: &'static str,
    request: http::Request<Bytes>,
    timeout: Duration,
    reply: oneshot::Sender<Result<WholeAnswer, CallError>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    NotSent,
    Lost,
}

impl PlatformClient {
    /// Starts the task that owns the connections to the platform.
    pub fn start(address: SocketAddr, observer: CallObserver) -> Self {
        let (commands, inbox) = mpsc::channel(CALLS_MAX);
        tokio::spawn(run(address, observer, inbox));
        Self { commands }
    }

    async fn call(
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

    async fn read(
        &self,
        operation: &'static str,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<WholeAnswer, error::FleetError> {
        self.call(operation, request, timeout).await.map_err(|_| {
            error::FleetError::new(
                error::ErrorKind::PlatformAway,
                "the platform did not answer",
            )
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn get(&self, name: &ObjectName) -> Result<Option<StoredObject>, error::FleetError> {
        let answer = self.read("get", wire::get(name)?, CALL_TIMEOUT).await?;
        wire::read_object(name, answer)
    }

    /// Writes an object under a condition.
    ///
    /// # Errors
    /// `Conflict` when the condition does not hold, `PlatformAway` when the write
    /// certainly did not happen, `WriteUnknown` when it may have.
    pub async fn put(
        &self,
        name: &ObjectName,
        body: Bytes,
        condition: Condition,
    ) -> Result<sizes::ObjectVersion, error::FleetError> {
        let answer = self
            .call("put", wire::put(name, body, condition)?, CALL_TIMEOUT)
            .await;
        match answer {
            Ok(answer) => wire::read_written(&answer),
            Err(CallError::NotSent) => {
                let detail = "the platform cannot be reached";
                Err(error::FleetError::new(
                    error::ErrorKind::PlatformAway,
                    detail,
                ))
            }
            Err(CallError::Lost) => {
                let detail = "the platform's answer to a write was lost";
                Err(error::FleetError::new(
                    error::ErrorKind::WriteUnknown,
                    detail,
                ))
            }
        }
    }

    /// Writes an object and reads it back when the answer is lost.
    ///
    /// The body must be unlike that of any other writer.
    ///
    /// # Errors
    /// As [`Self::put`]; `WriteUnknown` only when reading back fails as well.
    pub async fn put_and_settle(
        &self,
        name: &ObjectName,
        body: Bytes,
        condition: Condition,
    ) -> Result<sizes::ObjectVersion, error::FleetError> {
        let result = self.put(name, body.clone(), condition).await;
        let Err(lost) = &result else {
            return result;
        };
        if lost.kind() != error::ErrorKind::WriteUnknown {
            return result;
        }
        let found = self.get(name).await.map_err(|_| lost.clone())?;
        match found {
            Some(object) if object.body == body => Ok(object.version),
            _ => result,
        }
    }

    /// Deletes an object that has this version.
    ///
    /// # Errors
    /// `Conflict` when it has another one, `PlatformAway` without a readable answer.
    pub async fn delete(
        &self,
        name: &ObjectName,
        version: sizes::ObjectVersion,
    ) -> Result<(), error::FleetError> {
        let answer = self
            .read("delete", wire::delete(name, version)?, CALL_TIMEOUT)
            .await?;
        wire::read_deleted(&answer)
    }

    /// Reads every object whose name starts with a prefix.
    ///
    /// # Errors
    /// `PlatformAway` when a page cannot be read.
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, error::FleetError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        loop {
            let after = objects.last().map_or("", |object| object.name.as_str());
            let answer = self
                .read("list", wire::list(prefix, after)?, CALL_TIMEOUT)
                .await?;
            let ObjectPage {
                objects: page,
                more,
            } = wire::read_page(&answer)?;
            let ended = page.is_empty() || !more;
            objects.extend(page);
            if ended {
                return Ok(objects);
            }
        }
    }

    /// Waits for changes under a prefix after a revision, at most `wait`.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, error::FleetError> {
        let request = wire::watch(prefix, since, wait)?;
        let answer = self.read("watch", request, wait + CALL_TIMEOUT).await?;
        wire::read_watch(&answer)
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, error::FleetError> {
        let answer = self.read("vms", wire::vms()?, CALL_TIMEOUT).await?;
        wire::read_json(&answer)
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
    idle.retain(|connection| !connection.is_closed() && connection.proved.elapsed() < IDLE_MAX);
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
    let version = parts
        .headers
        .get(http::header::ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(wire::version_of);
    let status = parts.status.as_u16();
    let answer = WholeAnswer {
        status,
        version,
        body: collected.to_bytes(),
    };
    let connection = given_back.await.map(|returned| returned.connection);
    Ok((answer, connection))
}
