//! Upstreams that leave, remembered over a restoration of the source.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::config::{UpstreamSnapshot, UpstreamState};
use model::ids;
use tokio::time::Instant;

/// How long a departure is remembered; longer than a copy of the source is old.
const DEPARTURE_TTL: Duration = Duration::from_mins(2);
/// Heartbeats after a restoration in which upstreams write their state again and the entries
/// of those that are gone expire, which takes three, and are read.
const REGISTRATION_HEARTBEATS: u32 = 4;

/// The upstreams that this node saw drain or leave lately.
///
/// A source that was restored from a copy may list such an upstream as active again, until
/// it writes its state again or its entry expires. Until then it counts as leaving.
#[derive(Debug)]
pub struct DepartureLog {
    registration_period: Duration,
    departures: BTreeMap<ids::UpstreamId, Instant>,
    /// Departed upstreams that a restored source lists as active, and until when they count
    /// as leaving.
    revived: BTreeMap<ids::UpstreamId, Instant>,
}

impl DepartureLog {
    /// A log without departures; `heartbeat` is the interval at which upstreams write their
    /// entries.
    pub const fn new(heartbeat: Duration) -> Self {
        Self {
            registration_period: heartbeat.saturating_mul(REGISTRATION_HEARTBEATS),
            departures: BTreeMap::new(),
            revived: BTreeMap::new(),
        }
    }

    /// Records that the snapshot `before` was replaced by `after`.
    pub fn record(&mut self, now: Instant, before: &UpstreamSnapshot, after: &UpstreamSnapshot) {
        self.expire(now);
        let is_active = |id: &ids::UpstreamId| {
            let entry = after.entries.get(id);
            entry.is_some_and(|entry| entry.upstream.state == UpstreamState::Active)
        };
        self.revived.retain(|id, _| is_active(id));
        if after.version.position.era() > before.version.position.era() {
            let departed = self.departures.keys().filter(|id| is_active(id));
            let until = now + self.registration_period;
            self.revived.extend(departed.map(|id| (id.clone(), until)));
        } else {
            let revived = &self.revived;
            self.departures
                .retain(|id, _| revived.contains_key(id) || !is_active(id));
        }
        for id in before.entries.keys().filter(|id| !is_active(id)) {
            self.departures.entry(id.clone()).or_insert(now);
        }
    }

    /// The active upstreams of the current snapshot that count as leaving.
    pub fn leaving(&self, now: Instant) -> BTreeSet<ids::UpstreamId> {
        let leaving = self.revived.iter().filter(|(_, until)| now < **until);
        leaving.map(|(id, _)| id.clone()).collect()
    }

    /// When `leaving` changes next if no snapshot is recorded.
    pub fn next_change_at(&self) -> Option<Instant> {
        self.revived.values().min().copied()
    }

    /// Forgets what is no longer needed.
    pub fn expire(&mut self, now: Instant) {
        self.revived.retain(|_, until| now < *until);
        let revived = &self.revived;
        self.departures.retain(|id, at| {
            revived.contains_key(id) || now.saturating_duration_since(*at) < DEPARTURE_TTL
        });
    }
}
