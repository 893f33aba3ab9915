//! Counts of outcomes that nodes report to collectors.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

/// How long counts without a failure are buffered in a fleet of up to
/// [`SMALL_FLEET_NODES`] nodes. The interval grows in proportion to a larger fleet, so
/// that more counts share a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of nodes up to which a fleet counts as small.
const SMALL_FLEET_NODES: u32 = 48;

model::record! {
    /// Good and bad outcomes of one upstream.
    #[derive(Default, Copy, Eq)]
    pub struct EvidenceCount {
        /// Good outcomes that are older than the other counts.
        pub earlier: u32,
        /// Recent good outcomes.
        pub good: u32,
        /// Bad outcomes.
        pub bad: u32,
    }

    /// Outcomes of a service's upstreams seen from one data centre since its last report.
    pub struct EvidenceReport {
        /// The service of the upstreams.
        pub service: ids::ServiceId,
        /// The data centre of the reporting nodes.
        pub observer: ids::DataCentreId,
        /// Outcome counts of each upstream.
        pub counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
        /// The latency of one recent good outcome, in microseconds.
        pub latency_micros: Option<u32>,
    }

    /// The median latency of a service, as published by its collector.
    #[derive(Eq)]
    pub struct ServiceLatency {
        /// The service whose requests it covers.
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

    /// Counts recent good outcomes as older ones, since they wait for a later report.
    pub const fn age(&mut self) {
        self.earlier += self.good;
        self.good = 0;
    }
}

/// Buffers outcomes until a report is due.
///
/// A failure makes the report due immediately; good outcomes alone wait for an interval.
#[derive(Debug, Clone)]
pub struct EvidenceBuffer {
    counts: BTreeMap<ids::UpstreamId, EvidenceCount>,
    has_failure: bool,
    last_report: Instant,
    interval: Duration,
}

impl EvidenceBuffer {
    /// An empty buffer whose first interval starts now.
    pub const fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            has_failure: false,
            last_report: now,
            interval: REPORT_INTERVAL,
        }
    }

    /// Sets how long good outcomes are buffered, by the number of nodes in the fleet.
    pub fn set_fleet_size(&mut self, nodes: u32) {
        let growth = f64::from(nodes) / f64::from(SMALL_FLEET_NODES);
        self.interval = REPORT_INTERVAL.mul_f64(growth.max(1.0));
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
        self.has_failure |= bad > 0;
    }

    /// Whether no outcomes are buffered.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Drains the buffer when a report is due; otherwise ages its good outcomes.
    pub fn take_due(&mut self, now: Instant) -> Option<BTreeMap<ids::UpstreamId, EvidenceCount>> {
        let interval_over = now.saturating_duration_since(self.last_report) >= self.interval;
        if self.counts.is_empty() || !(self.has_failure || interval_over) {
            self.counts.values_mut().for_each(EvidenceCount::age);
            return None;
        }
        self.has_failure = false;
        self.last_report = now;
        Some(std::mem::take(&mut self.counts))
    }
}
