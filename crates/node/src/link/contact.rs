//! Notices when a node may have missed messages that are sent to all nodes.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Time without contact to another node after which notifications may have been missed.
const CONTACT_GAP: Duration = Duration::from_secs(3);

/// When another node last made contact. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ContactGap {
    last: watch::Sender<Option<Instant>>,
}

impl ContactGap {
    pub(crate) fn new() -> Self {
        Self {
            last: watch::channel(None).0,
        }
    }

    /// Records a message from another node. Returns whether there was none for so long that
    /// notifications may have been missed.
    pub(crate) fn record(&self) -> bool {
        let now = Instant::now();
        let last = self.last.send_replace(Some(now));
        last.is_none_or(|at| now.saturating_duration_since(at) > CONTACT_GAP)
    }

    /// Makes the next message count as one after a gap, when what was missed could not be
    /// fetched.
    pub(crate) fn reopen(&self) {
        self.last.send_replace(None);
    }
}
