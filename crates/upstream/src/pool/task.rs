//! The task that owns the idle connections to one upstream.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use http1::client::{self, Connection, OpenError};
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
/// Idle connections kept per upstream.
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

/// A connection, and whether it may be stale.
#[derive(Debug)]
pub struct PooledConnection {
    /// The open connection.
    pub connection: Connection,
    /// Whether it was idle for so long that the peer may no longer respond on it.
    pub possibly_stale: bool,
}

#[derive(Debug)]
enum PoolCommand {
    Acquire(Freshness, oneshot::Sender<Option<Connection>>),
    Release(Connection),
    Flush,
}

/// A handle to the task that pools the connections to one upstream.
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
    pub async fn acquire(&self, freshness: Freshness) -> Result<PooledConnection, OpenError> {
        if let Some(connection) = self.acquire_idle(freshness).await {
            let possibly_stale = connection.last_verified.elapsed() > STALE_IDLE_MIN;
            return Ok(PooledConnection {
                connection,
                possibly_stale,
            });
        }
        let connection = client::open(self.address, CONNECT_TIMEOUT).await?;
        Ok(PooledConnection {
            connection,
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

    async fn acquire_idle(&self, freshness: Freshness) -> Option<Connection> {
        let (reply, receiver) = oneshot::channel();
        self.commands
            .send(PoolCommand::Acquire(freshness, reply))
            .await
            .ok()?;
        receiver.await.ok()?
    }

    /// Returns a connection to the pool after a complete exchange.
    pub async fn release(&self, connection: Connection) {
        let _ = self.commands.send(PoolCommand::Release(connection)).await;
    }

    /// Closes all idle connections, after one of them turned out to be stale.
    pub async fn flush(&self) {
        let _ = self.commands.send(PoolCommand::Flush).await;
    }
}

async fn run(mut inbox: mpsc::Receiver<PoolCommand>) {
    let mut idle: Vec<Connection> = Vec::new();
    while let Some(command) = inbox.recv().await {
        idle.retain(|connection| is_usable(connection, IDLE_MAX));
        match command {
            PoolCommand::Acquire(freshness, reply) => {
                let undelivered = reply
                    .send(acquire_most_recent(&mut idle, freshness))
                    .err()
                    .flatten();
                idle.extend(undelivered);
            }
            PoolCommand::Release(connection) => {
                if idle.len() < IDLE_CONNECTIONS_MAX {
                    idle.push(connection);
                }
            }
            PoolCommand::Flush => idle.clear(),
        }
    }
}

/// Removes the most recently returned usable connection, since it is the most likely
/// to work.
fn acquire_most_recent(idle: &mut Vec<Connection>, freshness: Freshness) -> Option<Connection> {
    let idle_max = match freshness {
        Freshness::Any => IDLE_MAX,
        Freshness::Verified => VERIFIED_IDLE_MAX,
    };
    let index = idle
        .iter()
        .rposition(|connection| is_usable(connection, idle_max))?;
    Some(idle.swap_remove(index))
}

fn is_usable(connection: &Connection, idle_max: Duration) -> bool {
    !connection.is_closed() && connection.last_verified.elapsed() < idle_max
}
