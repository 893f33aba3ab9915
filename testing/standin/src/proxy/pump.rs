//! One direction of a proxied connection.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time;

use super::server::LinkFaults;

/// Bytes that are read at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Copies bytes one way under the faults in force.
pub(super) struct Pump {
    pub(super) faults: watch::Receiver<LinkFaults>,
    pub(super) number: u64,
    pub(super) forward: bool,
    pub(super) seed: u64,
}

impl Pump {
    /// Runs until either end closes or a fault cuts the connection.
    pub(super) async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ self.number);
        let mut piece = vec![0; PIECE_BYTES];
        let mut passed: u64 = 0;
        loop {
            let read = tokio::select! {
                read = from.read(&mut piece) => read,
                changed = self.faults.changed() => {
                    if changed.is_err() || self.faults.borrow().reset {
                        return;
                    }
                    continue;
                }
            };
            let Ok(size @ 1..) = read else { return };
            let faults = *self.faults.borrow();
            if faults.reset {
                return;
            }
            if self.vanishes(faults) {
                continue;
            }
            let jitter = faults.jitter.mul_f64(rng.random::<f64>());
            if !(faults.delay + jitter).is_zero() {
                time::sleep(faults.delay + jitter).await;
            }
            let room = self.room(faults, passed);
            let kept = size.min(usize::try_from(room).unwrap_or(usize::MAX));
            if to.write_all(&piece[..kept]).await.is_err() || kept < size {
                return;
            }
            passed += size as u64;
        }
    }

    fn vanishes(&self, faults: LinkFaults) -> bool {
        let dropped = if self.forward {
            faults.drop_forward
        } else {
            faults.drop_back
        };
        dropped || self.number <= faults.silent_up_to
    }

    /// Bytes that may still pass before the connection is cut.
    fn room(&self, faults: LinkFaults, passed: u64) -> u64 {
        match faults.cut_back_after {
            Some(bound) if !self.forward => bound.saturating_sub(passed),
            _ => u64::MAX,
        }
    }
}
