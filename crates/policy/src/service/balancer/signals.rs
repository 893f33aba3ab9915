//! Suspicion signals shared between nodes, for services whose upstreams have short
//! gray-failure episodes.

use std::time::Duration;

use model::{config, ids};
use tokio::time::Instant;

use super::{AttemptRequest, InFlightAttempt, ServiceBalancer, UpstreamKey};
use crate::retry::AttemptEnd;
use crate::service::entry::UpstreamSuspicion;
use crate::suspicion::{SignalKind, SuspicionScore, SuspicionSignal};

/// Maximum share of the upstreams that may be avoided at once. Upstreams spend up to
/// three tenths of their time in episodes; with more than half of them avoided, the
/// rest could not carry the load.
const AVOIDED_SHARE_MAX: f64 = 0.5;
/// Quantile of the usual latency beyond which an attempt is overdue.
const OVERDUE_QUANTILE: f64 = 0.9;
/// Share of a route's target latency after which an attempt is overdue while the usual
/// latency is not known. Targets are about twice the usual latency.
const OVERDUE_TARGET_SHARE: f64 = 0.5;
/// Bounds on the time until an attempt is overdue, as shares of the target.
const OVERDUE_TARGET_MIN: f64 = 0.2;
const OVERDUE_TARGET_MAX: f64 = 0.9;

/// The node whose attempt a signal comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SignalOrigin {
    OwnNode,
    OtherNode,
}

impl SignalOrigin {
    /// Every node evaluates every signal; only the node that raised it logs it at level
    /// info, so that the fleet logs each signal once.
    const fn log_level(self) -> log::Level {
        match self {
            Self::OwnNode => log::Level::Info,
            Self::OtherNode => log::Level::Debug,
        }
    }
}

impl ServiceBalancer {
    /// Whether the service's nodes share suspicion signals instead of outcome counts.
    pub(super) fn shares_signals(&self) -> bool {
        self.service.profile == config::DetectionProfile::Episodes
    }

    /// Returns this node's signals since the last call, to be sent to the other nodes.
    pub fn take_signals(&mut self) -> Vec<SuspicionSignal> {
        std::mem::take(&mut self.signals)
    }

    /// Applies a signal from another node.
    pub fn apply_signal(&mut self, now: Instant, upstream: &ids::UpstreamId, kind: SignalKind) {
        if let Some(key) = self.by_id.get(upstream).copied() {
            self.apply_to_score(now, key, kind, SignalOrigin::OtherNode);
            self.record_signalled_offer(now, key);
        }
    }

    /// Time after which an attempt of this request is overdue.
    pub(super) fn overdue_after(&self, request: &AttemptRequest) -> Duration {
        if !self.shares_signals() {
            return self.overdue_bound();
        }
        let usual = self.estimate.quantile(OVERDUE_QUANTILE);
        match (usual, request.target_latency) {
            (Some(usual), Some(target)) => usual.clamp(
                target.mul_f64(OVERDUE_TARGET_MIN),
                target.mul_f64(OVERDUE_TARGET_MAX),
            ),
            (Some(usual), None) => usual,
            (None, Some(target)) => target.mul_f64(OVERDUE_TARGET_SHARE),
            (None, None) => self.overdue_bound(),
        }
    }

    /// Applies a signal from an attempt of this node and queues it for the other nodes.
    pub(super) fn raise_signal(&mut self, now: Instant, key: UpstreamKey, kind: SignalKind) {
        let Some(entry) = self.upstreams.get(key) else {
            return;
        };
        let upstream = entry.upstream.id.clone();
        if kind == SignalKind::Answered && entry.suspicion.is_none() {
            return;
        }
        self.apply_to_score(now, key, kind, SignalOrigin::OwnNode);
        self.signals.push(SuspicionSignal {
            service: self.service.id.clone(),
            upstream,
            kind,
        });
    }

    /// Updates the upstream's score, and logs when it becomes suspect or stops being so.
    fn apply_to_score(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        kind: SignalKind,
        origin: SignalOrigin,
    ) {
        let Some(entry) = self.upstreams.get_mut(key) else {
            return;
        };
        if kind == SignalKind::LateResponse {
            self.late_share.count_late(now);
        }
        let late_share = self.late_share.get(f64::from(self.fleet_nodes));
        let before = entry.suspicion.map(|suspicion| suspicion.score);
        let avoided = entry.is_suspected();
        let mut score = before.unwrap_or_else(|| SuspicionScore::new(now));
        score.update(now, kind, late_share);
        let was_suspect = before.is_some_and(|score| score.is_suspect(now));
        let is_suspect = score.is_suspect(now);
        if was_suspect != is_suspect {
            log::log!(
                target: "suspicion",
                origin.log_level(),
                service:% = self.service.id,
                upstream:% = entry.upstream.id,
                evidence:% = kind,
                probability = score.probability(now);
                "An upstream is {}.", if is_suspect { "avoided" } else { "trusted again" }
            );
        }
        entry.suspicion = is_suspect.then_some(UpstreamSuspicion { score, avoided });
    }

    /// Raises the signal that the end of an attempt gives, if any.
    pub(super) fn signal_attempt_end(
        &mut self,
        now: Instant,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
    ) {
        let kind = match (end, attempt.counted_overdue) {
            (AttemptEnd::Answered, true) => SignalKind::LateResponse,
            (AttemptEnd::Answered, false) => SignalKind::Answered,
            (_, true) => return,
            (AttemptEnd::ConnectFailed, false) => {
                // Other nodes may reach the upstream over another network path, so the
                // signal is not sent to them.
                return self.apply_to_score(
                    now,
                    attempt.upstream,
                    SignalKind::Failed,
                    SignalOrigin::OwnNode,
                );
            }
            _ if end.counts_as_good() == Some(false) && !attempt.connection_suspect => {
                SignalKind::Failed
            }
            _ => return,
        };
        self.raise_signal(now, attempt.upstream, kind);
    }

    /// Marks the most suspect upstreams as avoided, as long as the others can carry the
    /// load.
    pub(super) fn mark_avoided(&mut self, now: Instant) {
        let eligible = self.upstreams.values().filter(|entry| entry.is_eligible());
        let avoided_max = share_of(eligible.count(), AVOIDED_SHARE_MAX);
        let mut suspects: Vec<(f64, UpstreamKey)> = Vec::new();
        for (key, entry) in &mut self.upstreams {
            let Some(suspicion) = &mut entry.suspicion else {
                continue;
            };
            suspicion.avoided = false;
            let score = suspicion.score;
            if !score.is_suspect(now) {
                entry.suspicion = None;
            } else if entry.is_eligible() {
                suspects.push((score.probability(now), key));
            }
        }
        suspects.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, key) in suspects.into_iter().take(avoided_max) {
            if let Some(suspicion) = &mut self.upstreams[key].suspicion {
                suspicion.avoided = true;
            }
        }
    }

    /// Time at which the next attempt in flight becomes overdue.
    pub fn next_overdue_at(&self) -> Option<Instant> {
        let pending = self.attempts.values().filter(|attempt| {
            attempt.latency.is_none() && !attempt.counted_overdue && !attempt.connection_suspect
        });
        pending
            .map(|attempt| attempt.started + attempt.overdue_after)
            .min()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts of upstreams are small"
)]
fn share_of(count: usize, share: f64) -> usize {
    (count as f64 * share).floor() as usize
}
