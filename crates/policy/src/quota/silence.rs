//! Holders that did not respond.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

/// Time for which a holder that did not respond is not asked, for any workspace. A request that
/// asks it waits for the timeout of the draw.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Holders that did not respond lately.
#[derive(Debug, Default)]
pub struct SilentHolders {
    until: BTreeMap<ids::NodeId, Instant>,
}

impl SilentHolders {
    /// Records that a holder did not respond.
    pub fn record(&mut self, now: Instant, holder: ids::NodeId) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(holder, now + SILENCE_TIME);
    }

    /// Records that a holder responded after all.
    pub fn clear(&mut self, holder: &ids::NodeId) {
        self.until.remove(holder);
    }

    /// Whether a holder is not to be asked.
    pub fn contains(&self, now: Instant, holder: &ids::NodeId) -> bool {
        self.until.get(holder).is_some_and(|until| *until > now)
    }
}
