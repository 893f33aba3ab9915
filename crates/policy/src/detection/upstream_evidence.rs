//! Evidence on one upstream, pooled and by observing data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::evidence::EvidenceCount;
use super::sequential::{DetectionThresholds, SequentialTest};
use super::window::OutcomeWindow;

/// Outcomes that a data centre must have observed to count as reaching an upstream.
const REACHABLE_OUTCOMES_MIN: u32 = 5;
/// Failure share up to which a data centre counts as reaching an upstream.
const REACHABLE_FAILURE_SHARE_MAX: f64 = 0.1;
/// How long before its report an earlier outcome is assumed to have happened.
const EARLIER_AGE: Duration = Duration::from_millis(500);
/// Failures that a data centre must have observed to confirm an ejection.
const CONFIRM_FAILURES_MIN: u32 = 2;

/// Evidence on an upstream from one data centre.
#[derive(Debug)]
pub(super) struct ObserverView {
    pub(super) test: SequentialTest,
    pub(super) window: OutcomeWindow,
}

impl ObserverView {
    fn new(now: Instant, cap: f64) -> Self {
        Self {
            test: SequentialTest::new(cap),
            window: OutcomeWindow::new(now),
        }
    }

    fn observe(&mut self, now: Instant, count: EvidenceCount, base: f64) {
        observe_in_order(&mut self.test, count, base);
        add_to_window(&mut self.window, now, count);
    }

    fn reaches_upstream(&self, now: Instant, from: Instant) -> bool {
        let (good, bad) = self.window.since(now, from);
        let total = good + bad;
        total >= REACHABLE_OUTCOMES_MIN
            && f64::from(bad) <= f64::from(total) * REACHABLE_FAILURE_SHARE_MAX
    }

    fn confirms(&self, now: Instant, from: Instant) -> bool {
        let (good, bad) = self.window.since(now, from);
        bad >= CONFIRM_FAILURES_MIN && bad >= good
    }
}

/// All evidence on one upstream.
#[derive(Debug)]
pub(super) struct UpstreamEvidence {
    cap: f64,
    /// The test over the outcomes of all data centres.
    pub(super) pooled: SequentialTest,
    /// When the pooled score last rose above 0.
    pub(super) onset: Instant,
    /// Outcomes from all data centres.
    pub(super) window: OutcomeWindow,
    views: BTreeMap<ids::DataCentreId, ObserverView>,
}

impl UpstreamEvidence {
    pub(super) fn new(now: Instant, thresholds: DetectionThresholds) -> Self {
        let cap = thresholds.eject + thresholds.avoid;
        Self {
            cap,
            pooled: SequentialTest::new(cap),
            onset: now,
            window: OutcomeWindow::new(now),
            views: BTreeMap::new(),
        }
    }

    pub(super) fn observe(
        &mut self,
        now: Instant,
        observer: &ids::DataCentreId,
        count: EvidenceCount,
        base: f64,
    ) {
        self.pooled.observe(count.earlier, 0, base);
        if self.pooled.score() <= 0.0 {
            self.onset = now;
        }
        self.pooled.observe(count.good, count.bad, base);
        add_to_window(&mut self.window, now, count);
        let cap = self.cap;
        let view = self
            .views
            .entry(observer.clone())
            .or_insert_with(|| ObserverView::new(now, cap));
        view.observe(now, count, base);
    }

    /// Data centres whose own score is at least `score`.
    pub(super) fn failing_observers(&self, score: f64) -> Vec<ids::DataCentreId> {
        let over = self
            .views
            .iter()
            .filter(|(_, view)| view.test.score() >= score);
        over.map(|(observer, _)| observer.clone()).collect()
    }

    /// Whether a data centre that is not in `except` has reached the upstream since the onset.
    pub(super) fn reachable_elsewhere(&self, now: Instant, except: &[ids::DataCentreId]) -> bool {
        let others = self
            .views
            .iter()
            .filter(|(observer, _)| !except.contains(observer));
        others
            .into_iter()
            .any(|(_, view)| view.reaches_upstream(now, self.onset))
    }

    /// Number of data centres that saw the upstream fail since the onset.
    pub(super) fn confirming_observers(&self, now: Instant) -> usize {
        self.views
            .values()
            .filter(|view| view.confirms(now, self.onset))
            .count()
    }

    /// Sets the pooled score and those of all data centres, for example when probation starts.
    pub(super) fn set_scores(&mut self, score: f64) {
        self.pooled.set(score);
        self.views
            .values_mut()
            .for_each(|view| view.test.set(score));
    }
}

/// Adds earlier outcomes before the others, so that they do not cancel newer failures.
fn observe_in_order(test: &mut SequentialTest, count: EvidenceCount, base: f64) {
    test.observe(count.earlier, 0, base);
    test.observe(count.good, count.bad, base);
}

fn add_to_window(window: &mut OutcomeWindow, now: Instant, count: EvidenceCount) {
    window.add_earlier(now, EARLIER_AGE, count.earlier);
    window.add(now, count.good, count.bad);
}

/// The instant `duration` before `now`; `now` itself if the clock does not reach back so far.
pub(super) fn before(now: Instant, duration: Duration) -> Instant {
    now.checked_sub(duration).unwrap_or(now)
}
