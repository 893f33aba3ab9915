//! Counts of outcomes on their way from nodes to collectors.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

/// How long counts without a failure may wait for a report in a fleet of up to
/// [`SMALL_FLEET`] nodes; in a larger one they wait longer in proportion, so that
/// more of them travel together.
const QUIET_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Nodes of a small fleet.
const SMALL_FLEET: u32 = 48;

model::record! {
    /// Good and bad outcomes of one upstream.
    #[derive(Default, Copy, Eq)]
    pub struct EvidenceCount {
        /// Outcomes that speak for the upstream and are older than the others.
        pub earlier: u32,
        /// Outcomes that speak for the upstream.
        pub good: u32,
        /// Outcomes that speak against it.
        pub bad: u32,
    }

    /// What one data centre saw of a service since its last report.
    pub struct EvidenceReport {
        /// The service.
        pub service: ids::ServiceId,
        /// The data centre of the nodes that saw it.
        pub observer: ids::DataCentreId,
        /// Counts by upstream.
        pub counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
        /// The latency of one recent good outcome, in microseconds.
        pub latency_micros: Option<u32>,
    }

    /// The usual latency of a service, as its collector knows it.
    #[derive(Eq)]
    pub struct ServiceLatency {
        /// The service.
        pub service: ids::ServiceId,
        /// The median latency, in microseconds.
        pub median_micros: u32,
    }
}

impl EvidenceCount {
    /// Adds the counts of another report.
    pub const fn add(&mut self, other: Self) {
        self.earlier += other.earlier;
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Counts every good outcome as an earlier one, since time has passed.
    pub const fn age(&mut self) {
        self.earlier += self.good;
        self.good = 0;
    }
}

/// Gathers outcomes until a report is due.
///
/// A failure makes the report due at once; good outcomes alone wait longer.
#[derive(Debug)]
pub struct EvidenceBuffer {
    counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
    urgent: bool,
    reported: Instant,
    quiet_interval: Duration,
}

impl EvidenceBuffer {
    /// An empty buffer.
    pub const fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            urgent: false,
            reported: now,
            quiet_interval: QUIET_REPORT_INTERVAL,
        }
    }

    /// Sets how long good counts wait, by the number of nodes.
    pub fn set_fleet_size(&mut self, nodes: u32) {
        let share = f64::from(nodes) / f64::from(SMALL_FLEET);
        self.quiet_interval = QUIET_REPORT_INTERVAL.mul_f64(share.max(1.0));
    }

    /// Adds outcomes of one upstream.
    pub fn add(&mut self, upstream: &ids::UpstreamId, good: u32, bad: u32) {
        let new = EvidenceCount {
            earlier: 0,
            good,
            bad,
        };
        if let Some(count) = self.counts.get_mut(upstream) {
            count.add(new);
        } else {
            self.counts.insert(upstream.clone(), new);
        }
        self.urgent |= bad > 0;
    }

    /// Whether nothing waits for a report.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Takes the counts when a report is due.
    pub fn take_due(&mut self, now: Instant) -> Option<BTreeMap<ids::UpstreamId, EvidenceCount>> {
        let waited = now.saturating_duration_since(self.reported) >= self.quiet_interval;
        if self.counts.is_empty() || !(self.urgent || waited) {
            self.counts.values_mut().for_each(EvidenceCount::age);
            return None;
        }
        self.urgent = false;
        self.reported = now;
        Some(std::mem::take(&mut self.counts))
    }
}
