//! A one-sided cumulative-sum (CUSUM) test over good and bad outcomes.

use model::config;

/// Lower bound on the failure share assumed for a healthy upstream.
const BASE_SHARE_MIN: f64 = 0.01;
/// Upper bound on that share: above it, failing and healthy upstreams cannot be
/// distinguished.
const BASE_SHARE_MAX: f64 = 0.5;
/// Failure share assumed for a failing upstream: this part of the distance from the
/// base share to 1 is added to the base share.
const FAILING_SHARE_LIFT: f64 = 0.4;

/// Scores from which an upstream is avoided or ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectionThresholds {
    /// The score from which nodes avoid it.
    pub avoid: f64,
    /// The score from which its ejection is proposed.
    pub eject: f64,
}

impl DetectionThresholds {
    /// The thresholds of a detection profile.
    pub const fn for_profile(profile: config::DetectionProfile) -> Self {
        match profile {
            config::DetectionProfile::Detection | config::DetectionProfile::Episodes => Self {
                avoid: 5.2,
                eject: 11.0,
            },
            config::DetectionProfile::Stability => Self {
                avoid: 14.0,
                eject: 24.0,
            },
        }
    }
}

/// Sums the log-likelihood ratio of the outcomes: failing upstream against healthy one.
///
/// The score stays between 0 and a cap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SequentialTest {
    score: f64,
    cap: f64,
}

impl SequentialTest {
    /// A test with a score of 0 that is limited to `cap`.
    pub const fn new(cap: f64) -> Self {
        Self { score: 0.0, cap }
    }

    /// Adds outcomes, given the base failure share of the service.
    pub fn observe(&mut self, good: u32, bad: u32, base: f64) {
        let healthy = base.clamp(BASE_SHARE_MIN, BASE_SHARE_MAX);
        let failing = healthy + (1.0 - healthy) * FAILING_SHARE_LIFT;
        let increase = f64::from(bad) * (failing / healthy).ln();
        let decrease = f64::from(good) * ((1.0 - failing) / (1.0 - healthy)).ln();
        self.score = (self.score + increase + decrease).clamp(0.0, self.cap);
    }

    /// The current score; higher means more likely to be failing.
    pub const fn score(&self) -> f64 {
        self.score
    }

    /// Sets the score, limited to the cap.
    pub const fn set(&mut self, score: f64) {
        self.score = score.clamp(0.0, self.cap);
    }
}
