//! Copies one direction of a proxied connection.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time;

use super::server::LinkFaults;

/// Size of the buffer that bytes are read into; each read is delayed as a whole.
const BUFFER_BYTES: usize = 16 * 1024;

/// Copies bytes in one direction and applies the current faults to them.
pub(super) struct StreamCopier {
    pub(super) faults: watch::Receiver<LinkFaults>,
    /// Number of the connection, counted from 1.
    pub(super) connection: u64,
    /// Whether the bytes go to the target; otherwise they come from it.
    pub(super) to_target: bool,
    pub(super) seed: u64,
}

impl StreamCopier {
    /// Copies until either side closes or a fault closes the connection.
    pub(super) async fn run(mut self, mut source: OwnedReadHalf, mut sink: OwnedWriteHalf) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ self.connection);
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut copied_total: u64 = 0;
        loop {
            let read = tokio::select! {
                read = source.read(&mut buffer) => read,
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
            if self.drops_bytes(faults) {
                continue;
            }
            let jitter = faults.jitter.mul_f64(rng.random::<f64>());
            if !(faults.delay + jitter).is_zero() {
                time::sleep(faults.delay + jitter).await;
            }
            let remaining = self.bytes_before_close(faults, copied_total);
            let copied = size.min(usize::try_from(remaining).unwrap_or(usize::MAX));
            if sink.write_all(&buffer[..copied]).await.is_err() || copied < size {
                return;
            }
            copied_total += size as u64;
        }
    }

    /// Whether the faults discard the bytes of this direction.
    fn drops_bytes(&self, faults: LinkFaults) -> bool {
        let dropped = if self.to_target {
            faults.drop_forward
        } else {
            faults.drop_back
        };
        dropped || self.connection <= faults.stalled_up_to
    }

    /// Bytes that may still be copied before the connection is closed.
    fn bytes_before_close(&self, faults: LinkFaults, copied_total: u64) -> u64 {
        match faults.close_after_target_bytes {
            Some(limit) if !self.to_target => limit.saturating_sub(copied_total),
            _ => u64::MAX,
        }
    }
}
