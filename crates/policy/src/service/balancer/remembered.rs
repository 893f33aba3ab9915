//! What upstreams stated that are not configured now. An entry may expire and be written again
//! while its upstream runs on, and another node may state a drain before the entry is read.

use std::collections::{HashMap, VecDeque};

use model::ids;
use tokio::time::Instant;

use crate::permit::LimitState;

/// Maximum number of upstreams that are remembered; the oldest are forgotten.
const UPSTREAMS_MAX: usize = 1_024;

/// What an upstream stated.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::service) struct StatedSignals {
    /// Whether it stated that it drains, which is final for an instance.
    pub(in crate::service) drains: bool,
    /// When it asked for a pause, and the end of that.
    pub(in crate::service) pause: Option<(Instant, Instant)>,
    /// The limit that it named.
    pub(in crate::service) limit: LimitState,
}

impl StatedSignals {
    fn is_empty(&self) -> bool {
        !self.drains && self.pause.is_none() && self.limit == LimitState::default()
    }
}

/// Statements of upstreams that are not configured.
#[derive(Debug, Clone, Default)]
pub(super) struct RememberedUpstreams {
    signals: HashMap<ids::UpstreamId, StatedSignals>,
    /// The same upstreams, the oldest first.
    ids: VecDeque<ids::UpstreamId>,
}

impl RememberedUpstreams {
    /// Remembers what an upstream stated that is no longer configured.
    pub(super) fn insert(&mut self, id: &ids::UpstreamId, stated: StatedSignals) {
        if !stated.is_empty() {
            *self.signals_of(id) = stated;
        }
    }

    /// Remembers that an upstream drains that is not configured.
    pub(super) fn insert_drain(&mut self, id: &ids::UpstreamId) {
        self.signals_of(id).drains = true;
    }

    /// Removes and returns what an upstream stated that is configured from now on.
    pub(super) fn take(&mut self, id: &ids::UpstreamId) -> Option<StatedSignals> {
        let stated = self.signals.remove(id)?;
        self.ids.retain(|known| known != id);
        Some(stated)
    }

    fn signals_of(&mut self, id: &ids::UpstreamId) -> &mut StatedSignals {
        if !self.signals.contains_key(id) {
            if self.ids.len() >= UPSTREAMS_MAX
                && let Some(oldest) = self.ids.pop_front()
            {
                self.signals.remove(&oldest);
            }
            self.ids.push_back(id.clone());
        }
        self.signals.entry(id.clone()).or_default()
    }
}
