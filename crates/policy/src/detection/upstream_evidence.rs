//! What is known of one upstream, by the data centre that saw it.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::evidence::EvidenceCount;
use super::sequential::{SequentialTest, TestCosts};
use super::window::OutcomeWindow;

/// Outcomes that a data centre must have seen to count as reaching an upstream.
const REACHABLE_OUTCOMES_MIN: u32 = 5;
/// The highest failure share with which it still counts as reaching it.
const REACHABLE_FAILURES_MAX: f64 = 0.1;
/// How much older than the others earlier outcomes count.
const EARLIER_AGE: Duration = Duration::from_millis(500);
/// Failures that a data centre must have seen to confirm an ejection.
const CONFIRM_FAILURES_MIN: u32 = 2;

/// One data centre's view of an upstream.
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
        take(&mut self.test, count, base);
        add(&mut self.window, now, count);
    }

    fn sees_success(&self, now: Instant, from: Instant) -> bool {
        let (good, bad) = self.window.since(now, from);
        let total = good + bad;
        total >= REACHABLE_OUTCOMES_MIN
            && f64::from(bad) <= f64::from(total) * REACHABLE_FAILURES_MAX
    }

    fn confirms(&self, now: Instant, from: Instant) -> bool {
        let (good, bad) = self.window.since(now, from);
        bad >= CONFIRM_FAILURES_MIN && bad >= good
    }
}

/// Everything known of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamEvidence {
    cap: f64,
    /// The test over all data centres.
    pub(super) pooled: SequentialTest,
    /// When the pooled score last left zero.
    pub(super) onset: Instant,
    /// Outcomes seen from anywhere.
    pub(super) window: OutcomeWindow,
    views: BTreeMap<ids::DataCentreId, ObserverView>,
}

impl UpstreamEvidence {
    pub(super) fn new(now: Instant, costs: TestCosts) -> Self {
        let cap = costs.eject + costs.avoid;
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
        add(&mut self.window, now, count);
        let cap = self.cap;
        let view = self
            .views
            .entry(observer.clone())
            .or_insert_with(|| ObserverView::new(now, cap));
        view.observe(now, count, base);
    }

    /// Data centres whose own evidence reaches a score.
    pub(super) fn failing_observers(&self, score: f64) -> Vec<ids::DataCentreId> {
        let over = self
            .views
            .iter()
            .filter(|(_, view)| view.test.score() >= score);
        over.map(|(observer, _)| observer.clone()).collect()
    }

    /// Whether a data centre other than those given reaches the upstream well.
    pub(super) fn reachable_elsewhere(&self, now: Instant, except: &[ids::DataCentreId]) -> bool {
        let others = self
            .views
            .iter()
            .filter(|(observer, _)| !except.contains(observer));
        others
            .into_iter()
            .any(|(_, view)| view.sees_success(now, self.onset))
    }

    /// Data centres that saw the upstream fail.
    pub(super) fn confirming_observers(&self, now: Instant) -> usize {
        self.views
            .values()
            .filter(|view| view.confirms(now, self.onset))
            .count()
    }

    /// Sets every score, as when an upstream starts its probation.
    pub(super) fn set_scores(&mut self, score: f64) {
        self.pooled.set(score);
        self.views
            .values_mut()
            .for_each(|view| view.test.set(score));
    }
}

/// Takes earlier outcomes before the others, so that they do not cancel newer failures.
fn take(test: &mut SequentialTest, count: EvidenceCount, base: f64) {
    test.observe(count.earlier, 0, base);
    test.observe(count.good, count.bad, base);
}

fn add(window: &mut OutcomeWindow, now: Instant, count: EvidenceCount) {
    window.add_earlier(now, EARLIER_AGE, count.earlier);
    window.add(now, count.good, count.bad);
}

/// The instant that lies a span before another.
pub(super) fn earlier(now: Instant, span: Duration) -> Instant {
    now.checked_sub(span).unwrap_or(now)
}
