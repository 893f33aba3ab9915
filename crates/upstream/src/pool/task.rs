//! The task that owns the idle connections to one address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use http1::client::{self, Connection, OpenError};
use policy::exchange::{CarriedId, CarriedIds, ConnectionOrigin};
use tokio::sync::{mpsc, oneshot};

/// Timeout for opening a connection. Round trips are under 25 ms; a slower connection
/// attempt has lost a packet, which the system retransmits only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum idle time after which a connection is reused.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Maximum idle time after which a connection is reused for a request that may run
/// only once.
const VERIFIED_IDLE_MAX: Duration = Duration::from_secs(1);
/// Idle time beyond which a missing response may be due to a stale connection rather
/// than the upstream.
const STALE_IDLE_MIN: Duration = Duration::from_secs(2);
/// Idle connections kept per address.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Capacity of the command channel; senders wait while it is full.
const COMMANDS_MAX: usize = 64;

/// How recently a connection must have been used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Idle for no longer than the pool keeps connections.
    Any,
    /// New, or known to work within the last second.
    Verified,
}

/// What a request needs of its connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionNeed {
    /// How recently it must have been used.
    pub freshness: Freshness,
    /// The id that is sent with the request. A connection that has carried it is not used.
    pub id: CarriedId,
}

/// A connection for one request.
#[derive(Debug)]
pub struct PooledConnection {
    /// The open connection.
    pub connection: Connection,
    /// The ids of the requests that it has carried, that of this request included.
    pub carried: CarriedIds,
    /// Where it comes from.
    pub origin: ConnectionOrigin,
    /// Whether it was idle for so long that the peer may no longer respond on it.
    pub possibly_stale: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    carried: CarriedIds,
}

/// The reply to a request for an idle connection.
#[derive(Debug)]
enum IdleReply {
    Found(IdleConnection),
    /// No usable connection is idle.
    None,
    /// No usable connection may carry the id.
    Carried,
}

#[derive(Debug)]
enum PoolCommand {
    Acquire(ConnectionNeed, oneshot::Sender<IdleReply>),
    Release(IdleConnection),
    Flush,
}

/// A handle to the task that pools the connections to one address. Several upstreams may have it,
/// one after the other, and for a time together.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    commands: mpsc::Sender<PoolCommand>,
}

impl ConnectionPool {
    /// Starts the task. It ends and closes the idle connections when the last handle is
    /// dropped.
    pub fn start(address: SocketAddr) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        tokio::spawn(run(inbox));
        Self { address, commands }
    }

    /// Reuses an idle connection or opens a new one.
    ///
    /// # Errors
    /// [`OpenError`] when no idle connection is usable and a new one cannot be opened.
    pub async fn acquire(&self, need: ConnectionNeed) -> Result<PooledConnection, OpenError> {
        let origin = match self.acquire_idle(need).await {
            IdleReply::Found(IdleConnection {
                connection,
                mut carried,
            }) => {
                carried.record(need.id);
                let possibly_stale = connection.last_verified.elapsed() > STALE_IDLE_MIN;
                return Ok(PooledConnection {
                    connection,
                    carried,
                    origin: ConnectionOrigin::Reused,
                    possibly_stale,
                });
            }
            IdleReply::None => ConnectionOrigin::Opened,
            IdleReply::Carried => ConnectionOrigin::OpenedForId,
        };
        let connection = client::open(self.address, CONNECT_TIMEOUT).await?;
        let mut carried = CarriedIds::default();
        carried.record(need.id);
        Ok(PooledConnection {
            connection,
            carried,
            origin,
            possibly_stale: false,
        })
    }

    /// Opens a connection to find out whether the upstream accepts any, and closes it; `None`
    /// if the upstream does not respond.
    pub async fn accepts_connections(&self) -> Option<bool> {
        match client::open(self.address, CONNECT_TIMEOUT).await {
            Ok(_) => Some(true),
            Err(OpenError::Failed(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Some(false)
            }
            Err(_) => None,
        }
    }

    async fn acquire_idle(&self, need: ConnectionNeed) -> IdleReply {
        let (reply, receiver) = oneshot::channel();
        // Without the task, no connection is idle.
        let _ = self.commands.send(PoolCommand::Acquire(need, reply)).await;
        receiver.await.unwrap_or(IdleReply::None)
    }

    /// Returns a connection to the pool after a complete exchange, with the ids that it has
    /// carried.
    pub async fn release(&self, connection: Connection, carried: CarriedIds) {
        let idle = IdleConnection {
            connection,
            carried,
        };
        let _ = self.commands.send(PoolCommand::Release(idle)).await;
    }

    /// Closes all idle connections, after one of them turned out to be stale.
    pub async fn flush(&self) {
        let _ = self.commands.send(PoolCommand::Flush).await;
    }
}

async fn run(mut inbox: mpsc::Receiver<PoolCommand>) {
    let mut idle: Vec<IdleConnection> = Vec::new();
    while let Some(command) = inbox.recv().await {
        idle.retain(|idle| is_usable(&idle.connection, IDLE_MAX));
        match command {
            PoolCommand::Acquire(need, reply) => {
                let undelivered = reply.send(acquire_most_recent(&mut idle, &need)).err();
                if let Some(IdleReply::Found(undelivered)) = undelivered {
                    idle.push(undelivered);
                }
            }
            PoolCommand::Release(released) => {
                if idle.len() < IDLE_CONNECTIONS_MAX && !released.carried.is_full() {
                    idle.push(released);
                }
            }
            PoolCommand::Flush => idle.clear(),
        }
    }
}

/// Removes the most recently returned usable connection, since it is the most likely
/// to work.
fn acquire_most_recent(idle: &mut Vec<IdleConnection>, need: &ConnectionNeed) -> IdleReply {
    let idle_max = match need.freshness {
        Freshness::Any => IDLE_MAX,
        Freshness::Verified => VERIFIED_IDLE_MAX,
    };
    let is_usable = |idle: &IdleConnection| is_usable(&idle.connection, idle_max);
    let index = idle
        .iter()
        .rposition(|idle| is_usable(idle) && idle.carried.admits(need.id));
    match index {
        Some(index) => IdleReply::Found(idle.swap_remove(index)),
        None if idle.iter().any(is_usable) => IdleReply::Carried,
        None => IdleReply::None,
    }
}

fn is_usable(connection: &Connection, idle_max: Duration) -> bool {
    !connection.is_closed() && connection.last_verified.elapsed() < idle_max
}
