//! Pauses by instance. A response names the instance that it comes from, not its start, so a pause
//! that an upstream asks for right after it has started again looks like one of the start before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time in which a node usually learns that an instance has started again.
const START_NOTICE_TIME: Duration = Duration::from_secs(2);

/// A pause that an instance asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskedPause {
    pub(super) asked_at: Instant,
    pub(super) until: Instant,
}

/// The latest pauses, for as long as they may be those of a start that is not known yet.
#[derive(Debug, Clone, Default)]
pub(super) struct InstancePauses {
    pauses: HashMap<Arc<str>, AskedPause>,
}

impl InstancePauses {
    /// Records the pause of an instance; a shorter one does not end a longer one.
    pub(super) fn record(&mut self, instance: &Arc<str>, pause: AskedPause) {
        let now = pause.asked_at;
        self.pauses.retain(|_, pause| is_recent(now, *pause));
        let latest = self.pauses.entry(Arc::clone(instance)).or_insert(pause);
        latest.asked_at = now;
        latest.until = latest.until.max(pause.until);
    }

    /// The pause that may be that of a start of the instance which has just become known.
    pub(super) fn of_new_start(&self, now: Instant, instance: &str) -> Option<AskedPause> {
        let pause = self.pauses.get(instance).copied();
        pause.filter(|pause| is_recent(now, *pause))
    }
}

fn is_recent(now: Instant, pause: AskedPause) -> bool {
    now.saturating_duration_since(pause.asked_at) < START_NOTICE_TIME
}
