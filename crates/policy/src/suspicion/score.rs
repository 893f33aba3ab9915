//! Probability that an upstream is in a gray-failure episode.

use std::time::Duration;

use tokio::time::Instant;

use super::signal::SignalKind;

/// Probability without evidence. Upstreams spend up to three tenths of their time in
/// episodes, but most of those in use responded a moment ago.
const PRIOR: f64 = 0.2;
/// Time constant with which the probability returns to the prior. Episodes last about 9 s
/// and are about 21 s apart, and 1 / (1/9 + 1/21) is 6.3.
const DECAY_TIME: Duration = Duration::from_millis(6_300);
/// An upstream is avoided above this probability. One response after one overdue request
/// leaves 0.33, which is still worse than any other upstream.
const AVOID_THRESHOLD: f64 = 0.25;
/// Share of the requests that hang during an episode.
const HANGING_SHARE: f64 = 0.75;
/// Likelihood ratio of a response. During an episode, one request in four gets one.
const RESPONSE_RATIO: f64 = 0.25;
/// Likelihood ratio of a failure. One request in eighty fails at a healthy upstream, so a
/// single failure is weaker evidence than a single overdue request.
const FAILURE_RATIO: f64 = 4.0;
/// Maximum probability, so that a few responses are enough to clear an upstream.
const PROBABILITY_MAX: f64 = 0.97;

/// Suspicion of one upstream; it decays with time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SuspicionScore {
    probability: f64,
    updated_at: Instant,
}

impl SuspicionScore {
    /// Creates a score without evidence.
    pub const fn new(now: Instant) -> Self {
        Self {
            probability: PRIOR,
            updated_at: now,
        }
    }

    /// Current probability that the upstream is in an episode.
    pub fn probability(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let remaining = (-age / DECAY_TIME.as_secs_f64()).exp();
        PRIOR + (self.probability - PRIOR) * remaining
    }

    /// Whether the upstream is to be avoided in favour of others.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.probability(now) > AVOID_THRESHOLD
    }

    /// Updates the score with a signal.
    ///
    /// `late_share` is the share of requests that are overdue at healthy upstreams.
    pub fn update(&mut self, now: Instant, kind: SignalKind, late_share: f64) {
        let overdue_ratio = (HANGING_SHARE + (1.0 - HANGING_SHARE) * late_share) / late_share;
        let ratio = match kind {
            SignalKind::Overdue => overdue_ratio,
            // Reverts the signal that the same attempt gave when it became overdue.
            SignalKind::LateResponse => RESPONSE_RATIO / overdue_ratio,
            SignalKind::Failed => FAILURE_RATIO,
            SignalKind::Answered => RESPONSE_RATIO,
        };
        let probability = self.probability(now);
        let odds = probability / (1.0 - probability) * ratio;
        self.probability = (odds / (1.0 + odds)).min(PROBABILITY_MAX);
        self.updated_at = now;
    }
}
