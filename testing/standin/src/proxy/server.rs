//! The proxy and its switches.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::pump;

/// Faults of a link; a change holds for open connections too.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    /// Whether bytes towards the target vanish.
    pub drop_forward: bool,
    /// Whether bytes from the target vanish.
    pub drop_back: bool,
    /// Time that each piece of data is held up.
    pub delay: Duration,
    /// The most that is added to the delay at random.
    pub jitter: Duration,
    /// Connections opened up to this number are silent; later ones work.
    pub silent_up_to: u64,
    /// Whether every connection is reset.
    pub reset: bool,
    /// Bytes from the target after which a connection is cut.
    pub cut_back_after: Option<u64>,
}

/// A running proxy; it stops when this is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    opened: watch::Receiver<u64>,
}

impl FaultProxy {
    /// Starts a proxy on loopback in front of a target.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (faults, watched) = watch::channel(LinkFaults::default());
        let (count, opened) = watch::channel(0);
        tokio::spawn(accept(listener, target, watched, count, seed));
        Ok(Self {
            address,
            faults,
            opened,
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.faults.send_modify(change);
    }

    /// Makes every connection that is open now silent for good.
    pub fn silence_open_connections(&self) {
        let opened = *self.opened.borrow();
        self.change(|faults| faults.silent_up_to = opened);
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    count: watch::Sender<u64>,
    seed: u64,
) {
    let link = faults.clone();
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
        count.send_modify(|count| *count += 1);
        let number = *count.borrow();
        tokio::spawn(join(stream, target, link.clone(), number, seed));
    }
}

async fn join(
    near: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
    number: u64,
    seed: u64,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump::Pump {
        faults: faults.clone(),
        number,
        forward: true,
        seed,
    };
    let back = pump::Pump {
        faults,
        number,
        forward: false,
        seed,
    };
    tokio::select! {
        () = forward.run(near_read, far_write) => {}
        () = back.run(far_read, near_write) => {}
    }
}
