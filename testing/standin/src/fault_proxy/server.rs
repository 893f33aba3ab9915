//! The proxy's listener, its connections and the faults that apply to them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::copy::StreamCopier;

/// Faults that a proxy injects; changes also apply to open connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    /// Whether bytes to the target are dropped.
    pub drop_forward: bool,
    /// Whether bytes from the target are dropped.
    pub drop_back: bool,
    /// Delay of the data of each read.
    pub delay: Duration,
    /// Upper limit of the random time added to each delay.
    pub jitter: Duration,
    /// Connections up to this number, counted from 1, drop all bytes; later ones work.
    pub stalled_up_to: u64,
    /// Whether every connection, open or new, is closed.
    pub reset: bool,
    /// Number of bytes from the target after which a connection is closed.
    pub close_after_target_bytes: Option<u64>,
}

/// A running proxy; dropping it closes the listener and the connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    opened: watch::Receiver<u64>,
}

impl FaultProxy {
    /// Starts a proxy in front of a target. With port 0 the system assigns a port; the seed
    /// determines the jitter.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (faults, faults_watch) = watch::channel(LinkFaults::default());
        let (opened_count, opened) = watch::channel(0);
        tokio::spawn(accept(listener, target, faults_watch, opened_count, seed));
        Ok(Self {
            address,
            faults,
            opened,
        })
    }

    /// The address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Modifies the injected faults.
    pub fn change_faults(&self, modify: impl FnOnce(&mut LinkFaults)) {
        self.faults.send_modify(modify);
    }

    /// Drops all further bytes of the connections that are open now, without closing them.
    pub fn stall_open_connections(&self) {
        let opened = *self.opened.borrow();
        self.change_faults(|faults| faults.stalled_up_to = opened);
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        *self.opened.borrow()
    }
}

/// Accepts connections until the proxy is dropped.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    opened_count: watch::Sender<u64>,
    seed: u64,
) {
    let connection_faults = faults.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        };
        let Ok((stream, _)) = accepted else { continue };
        opened_count.send_modify(|count| *count += 1);
        let connection = *opened_count.borrow();
        tokio::spawn(run_connection(
            stream,
            target,
            connection_faults.clone(),
            connection,
            seed,
        ));
    }
}

/// Connects to the target and copies both directions until one of them ends.
async fn run_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
    connection: u64,
    seed: u64,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_target = StreamCopier {
        faults: faults.clone(),
        connection,
        to_target: true,
        seed,
    };
    let from_target = StreamCopier {
        faults,
        connection,
        to_target: false,
        seed,
    };
    tokio::select! {
        () = to_target.run(client_read, server_write) => {}
        () = from_target.run(server_read, client_write) => {}
    }
}
