//! Outlier detection: failing upstreams are flagged, healthy ones are not.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{CENTRES, name, service};
use gooseberrydyke_policy::detection::{
    EvidenceBuffer, EvidenceCount, EvidenceReport, LatencyEstimate, OutcomeWindow, OutlierDetector,
    SequentialTest, Verdict, VerdictScope,
};
use tokio::time::{self, Instant};

/// A detector of a service with `upstreams` upstreams, fed from all data centres.
struct DetectorHarness {
    detector: OutlierDetector,
    upstreams: usize,
}

impl DetectorHarness {
    fn new(upstreams: usize) -> Self {
        let detector =
            OutlierDetector::new(Instant::now(), service(upstreams, 4, 4), CENTRES.len());
        Self {
            detector,
            upstreams,
        }
    }

    /// Reports one outcome of every upstream from every data centre and evaluates them;
    /// an outcome is a failure where `bad` returns true.
    async fn step(&mut self, bad: impl Fn(&str, usize) -> bool) {
        self.step_from(0, bad).await;
    }

    /// Like [`Self::step`], but without the upstreams below the number `first`.
    async fn step_from(&mut self, first: usize, bad: impl Fn(&str, usize) -> bool) {
        time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        for data_centre in CENTRES {
            let counts = (first..self.upstreams).map(|upstream| {
                let failed = u32::from(bad(data_centre, upstream));
                let count = EvidenceCount {
                    earlier: 0,
                    good: 1 - failed,
                    bad: failed,
                };
                (name(&format!("up-{upstream}")), count)
            });
            let report = EvidenceReport {
                service: name("stocklist"),
                observer: name(data_centre),
                counts: counts.collect::<BTreeMap<_, _>>(),
                latency_micros: Some(20_000),
            };
            self.detector.observe(now, &report);
        }
        self.detector.decide(now);
    }

    async fn steps(&mut self, count: usize, bad: impl Fn(&str, usize) -> bool) {
        for _ in 0..count {
            self.step(&bad).await;
        }
    }

    fn verdict(&self, upstream: usize) -> Verdict {
        self.detector.verdict(&name(&format!("up-{upstream}")))
    }
}

/// An upstream that keeps failing must be avoided after its first failures and proposed
/// for ejection if it continues, while the healthy upstreams keep a clear verdict.
#[tokio::test(start_paused = true)]
async fn a_failing_upstream_is_avoided_and_then_proposed_for_ejection() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    harness.step(|_, upstream| upstream == 2).await;
    assert_eq!(harness.verdict(2), Verdict::Avoid(VerdictScope::Fleet));
    harness.steps(25, |_, upstream| upstream == 2).await;
    assert_eq!(harness.verdict(2), Verdict::Eject);
    for healthy in [0, 1, 3, 4, 5] {
        assert_eq!(harness.verdict(healthy), Verdict::Clear);
    }
}

/// If all upstreams of a service fail at the same time, none of them is an outlier, and
/// none must be avoided.
#[tokio::test(start_paused = true)]
async fn no_upstream_is_flagged_when_the_whole_service_fails() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    harness.steps(100, |_, _| true).await;
    for upstream in 0..6 {
        assert_eq!(harness.verdict(upstream), Verdict::Clear);
    }
}

/// A single failure sets the onset for an upstream. If it then receives no requests, its
/// score stays, and the others look healthy since the onset. When the whole service
/// fails later, the upstream must not be ejected as the only failing one.
#[tokio::test(start_paused = true)]
async fn an_isolated_earlier_failure_does_not_hide_a_failing_service() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    harness
        .steps(1, |data_centre, upstream| {
            data_centre == "ikeja" && upstream == 0
        })
        .await;
    // Upstream 0 gets no requests, so its score stays while the others succeed.
    for _ in 0..20 {
        harness.step_from(1, |_, _| false).await;
    }
    for _ in 0..100 {
        harness.step(|_, _| true).await;
        for upstream in 0..6 {
            assert_ne!(harness.verdict(upstream), Verdict::Eject);
        }
    }
}

/// Failures seen from one data centre only are a fault of its link. Nodes elsewhere must
/// keep using the upstream.
#[tokio::test(start_paused = true)]
async fn a_link_fault_is_avoided_only_in_the_data_centre_that_sees_it() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    harness
        .steps(100, |data_centre, upstream| {
            data_centre == "ikeja" && upstream == 1
        })
        .await;
    let only_ikeja = VerdictScope::DataCentres([name("ikeja")].into());
    assert_eq!(harness.verdict(1), Verdict::Avoid(only_ikeja));
}

/// Upstreams that fail at the same time raise the failure share with which each of them
/// is compared. They must still be flagged while no more than half of all fail.
#[tokio::test(start_paused = true)]
async fn half_of_the_upstreams_can_be_flagged_at_once() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    harness.steps(20, |_, upstream| upstream < 3).await;
    for failing in 0..3 {
        assert_ne!(harness.verdict(failing), Verdict::Clear);
    }
    for healthy in 3..6 {
        assert_eq!(harness.verdict(healthy), Verdict::Clear);
    }
}

/// A recovered upstream must be used again. One that fails, recovers and fails again must
/// be avoided longer each time.
#[tokio::test(start_paused = true)]
async fn a_recovered_upstream_is_cleared_and_a_flapping_one_is_avoided_longer() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(50, |_, _| false).await;
    let mut durations = Vec::new();
    for _ in 0..3 {
        harness.steps(3, |_, upstream| upstream == 4).await;
        assert_ne!(harness.verdict(4), Verdict::Clear);
        let mut steps_to_clear = 0;
        while harness.verdict(4) != Verdict::Clear {
            harness.step(|_, _| false).await;
            steps_to_clear += 1;
            assert!(
                steps_to_clear < 1000,
                "the upstream was not cleared within 1000 steps"
            );
        }
        durations.push(steps_to_clear);
    }
    assert!(durations[2] > durations[0], "{durations:?}");
}

/// Good outcomes are buffered, so one report can carry older successes and new failures.
/// The older successes must not cancel the failures.
#[tokio::test(start_paused = true)]
async fn older_good_outcomes_do_not_cancel_new_failures() {
    let mut harness = DetectorHarness::new(6);
    harness.steps(20, |_, _| false).await;
    let count = EvidenceCount {
        earlier: 50,
        good: 0,
        bad: 2,
    };
    let report = EvidenceReport {
        service: name("stocklist"),
        observer: name("ikeja"),
        counts: [(name("up-0"), count)].into(),
        latency_micros: None,
    };
    harness.detector.observe(Instant::now(), &report);
    harness.steps(1, |_, upstream| upstream == 0).await;
    assert_ne!(harness.verdict(0), Verdict::Clear);
}

/// A failure must not wait for the report interval as good outcomes do, since that would
/// delay detection. Good outcomes that waited are reported as earlier ones.
#[tokio::test(start_paused = true)]
async fn good_outcomes_are_buffered_and_a_failure_is_reported_immediately() {
    let mut buffer = EvidenceBuffer::new(Instant::now());
    buffer.add(&name("up-0"), 1, 0);
    assert!(buffer.take_due(Instant::now()).is_none());
    buffer.add(&name("up-0"), 0, 1);
    let counts = buffer.take_due(Instant::now()).unwrap();
    assert_eq!(
        counts[&name("up-0")],
        EvidenceCount {
            earlier: 1,
            good: 0,
            bad: 1
        }
    );
}

/// Outcomes that are older than the window must not count any more when the ring of
/// buckets wraps around.
#[tokio::test(start_paused = true)]
async fn a_window_drops_outcomes_older_than_its_span() {
    let start = Instant::now();
    let mut window = OutcomeWindow::new(start);
    window.add(start, 3, 1);
    time::advance(Duration::from_secs(1)).await;
    window.add(Instant::now(), 2, 0);
    assert_eq!(window.since(Instant::now(), start), (5, 1));
    time::advance(OutcomeWindow::SPAN).await;
    window.add(Instant::now(), 0, 0);
    assert_eq!(window.since(Instant::now(), start), (0, 0));
}

/// Good outcomes must not accumulate credit that hides later failures, and a failure
/// must count less where the base failure share is high.
#[test]
fn the_score_rises_with_failures_and_does_not_fall_below_zero() {
    let mut test = SequentialTest::new(20.0);
    test.observe(1000, 0, 0.0);
    assert!(test.score() <= 0.0);
    test.observe(0, 2, 0.0);
    assert!(test.score() > 6.2);
    let mut with_high_base = SequentialTest::new(20.0);
    with_high_base.observe(0, 2, 0.5);
    assert!(with_high_base.score() < test.score());
}

/// An estimate from too few samples would be unreliable and must not be used.
#[test]
fn the_latency_estimate_needs_enough_samples() {
    let mut estimate = LatencyEstimate::default();
    for _ in 0..19 {
        estimate.observe(Duration::from_millis(20));
    }
    assert_eq!(estimate.median(), None);
    estimate.observe(Duration::from_millis(20));
    let median = estimate.median().unwrap();
    assert!(
        median > Duration::from_millis(15) && median < Duration::from_millis(25),
        "{median:?}"
    );
}
