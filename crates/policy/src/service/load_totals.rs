//! Totals of requests in flight over the nodes of a data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::UpstreamLoad;

/// How long a node's count is valid; no request is in flight for longer.
const COUNT_TTL: Duration = Duration::from_secs(5);

type LoadKey = (ids::ServiceId, ids::UpstreamId);

#[derive(Debug, Clone, Copy)]
struct NodeCount {
    in_flight: u32,
    at: Instant,
}

/// Requests in flight by upstream and node, with the upstreams whose total changed since
/// it was last published.
#[derive(Debug, Default)]
pub struct LoadTotals {
    counts: BTreeMap<LoadKey, BTreeMap<ids::NodeId, NodeCount>>,
    changed: BTreeSet<LoadKey>,
    /// Totals that were published once and are published again, since messages may be lost.
    repeated: BTreeSet<LoadKey>,
}

impl LoadTotals {
    /// Records the counts of one node.
    pub fn record(&mut self, now: Instant, node: &ids::NodeId, loads: Vec<UpstreamLoad>) {
        for load in loads {
            let key = (load.service, load.upstream);
            let before = if load.in_flight == 0 {
                let counts = self.counts.get_mut(&key);
                counts.and_then(|counts| counts.remove(node))
            } else {
                let count = NodeCount {
                    in_flight: load.in_flight,
                    at: now,
                };
                let counts = self.counts.entry(key.clone()).or_default();
                counts.insert(node.clone(), count)
            };
            if before.map_or(0, |count| count.in_flight) != load.in_flight {
                self.changed.insert(key);
            }
        }
    }

    /// Whether `take_changed` has totals to return.
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty() || !self.repeated.is_empty()
    }

    /// Returns the totals that changed since the last call or the one before.
    pub fn take_changed(&mut self, now: Instant) -> Vec<UpstreamLoad> {
        let changed = std::mem::take(&mut self.changed);
        let mut published = std::mem::replace(&mut self.repeated, changed.clone());
        published.extend(changed);
        let totals = published.into_iter().map(|key| {
            let in_flight = self.total(now, &key);
            let (service, upstream) = key;
            UpstreamLoad {
                service,
                upstream,
                in_flight,
            }
        });
        totals.collect()
    }

    fn total(&mut self, now: Instant, key: &LoadKey) -> u32 {
        let Some(counts) = self.counts.get_mut(key) else {
            return 0;
        };
        counts.retain(|_, count| now.saturating_duration_since(count.at) < COUNT_TTL);
        let total = counts.values().map(|count| count.in_flight).sum();
        if counts.is_empty() {
            self.counts.remove(key);
        }
        total
    }
}
