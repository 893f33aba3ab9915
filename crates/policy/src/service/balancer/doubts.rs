//! Suspicion shared between nodes, for services whose upstreams fail in short spells.

use std::time::Duration;

use model::{config, ids, sizes};
use rand::Rng as _;
use tokio::time::Instant;

use super::{Ask, MemberKey, ServiceBalancer, Ticket};
use crate::retry::AttemptEnd;
use crate::service::member::MemberSuspicion;
use crate::suspicion::{Doubt, DoubtKind, SuspicionScore};

/// Share of the members that may be avoided at once. Spells take three tenths of
/// the time; beyond a half, the rest could not carry the load.
const AVOIDED_SHARE_MAX: f64 = 0.5;
/// Trials of one suspect over the whole fleet by repeatable requests. A hedge
/// saves those that fail, so the rate holds however strong the suspicion is.
const REPEATABLE_TRIAL_RATE: sizes::Rate = sizes::Rate::per_second(0.7);
/// Trials by requests that are lost when the trial fails, were the suspect sound.
const ONCE_ONLY_TRIAL_RATE: sizes::Rate = sizes::Rate::per_second(0.6);
/// The longest time since a node's last look at a suspect that adds to its chance
/// of a trial, so that an idle node does not start with several at once.
const TRIAL_LOOK_SPAN: Duration = Duration::from_secs(3);
/// The quantile of the usual latency beyond which an attempt is overdue.
const OVERDUE_QUANTILE: f64 = 0.9;
/// Share of a route's target latency after which an attempt is overdue before
/// the usual latency is known; targets are about twice the usual latency.
const OVERDUE_TARGET_SHARE: f64 = 0.5;
/// Bounds on the time until an attempt is overdue, as shares of the target.
const OVERDUE_TARGET_MIN: f64 = 0.2;
const OVERDUE_TARGET_MAX: f64 = 0.9;

/// Whose attempt a doubt comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DoubtOrigin {
    Own,
    Other,
}

impl DoubtOrigin {
    /// Every node weighs every doubt; only the one that raised it writes it down.
    const fn log_level(self) -> log::Level {
        match self {
            Self::Own => log::Level::Info,
            Self::Other => log::Level::Debug,
        }
    }
}

impl ServiceBalancer {
    /// Whether this service's nodes share doubts instead of counts.
    pub(super) fn shares_doubts(&self) -> bool {
        self.service.profile == config::DetectionProfile::Spells
    }

    /// Doubts of this node since the last call, for the other nodes.
    pub fn take_doubts(&mut self) -> Vec<Doubt> {
        std::mem::take(&mut self.doubts)
    }

    /// Takes a doubt of another node.
    pub fn take_doubt(&mut self, now: Instant, upstream: &ids::UpstreamId, kind: DoubtKind) {
        if let Some(key) = self.by_id.get(upstream).copied() {
            self.weigh(now, key, kind, DoubtOrigin::Other);
        }
    }

    /// The time after which an attempt of this request is overdue.
    pub(super) fn overdue_after(&self, ask: &Ask) -> Duration {
        if !self.shares_doubts() {
            return self.overdue_bound();
        }
        let usual = self.estimate.quantile(OVERDUE_QUANTILE);
        match (usual, ask.target) {
            (Some(usual), Some(target)) => usual.clamp(
                target.mul_f64(OVERDUE_TARGET_MIN),
                target.mul_f64(OVERDUE_TARGET_MAX),
            ),
            (Some(usual), None) => usual,
            (None, Some(target)) => target.mul_f64(OVERDUE_TARGET_SHARE),
            (None, None) => self.overdue_bound(),
        }
    }

    /// Weighs what an attempt of this node says, and keeps it for the others.
    pub(super) fn doubt(&mut self, now: Instant, key: MemberKey, kind: DoubtKind) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        let upstream = member.upstream.id.clone();
        if kind == DoubtKind::Answered && member.suspicion.is_none() {
            return;
        }
        self.weigh(now, key, kind, DoubtOrigin::Own);
        self.doubts.push(Doubt {
            service: self.service.id.clone(),
            upstream,
            kind,
        });
    }

    fn weigh(&mut self, now: Instant, key: MemberKey, kind: DoubtKind, origin: DoubtOrigin) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if kind == DoubtKind::LateAnswer {
            self.late.count_late(now);
        }
        let late_share = self.late.get(f64::from(self.nodes));
        let before = member.suspicion.map(|suspicion| suspicion.score);
        let avoided = member.is_doubted();
        let mut score = before.unwrap_or_else(|| SuspicionScore::new(now));
        score.take(now, kind, late_share);
        let was = before.is_some_and(|score| score.is_suspect(now));
        let is = score.is_suspect(now);
        if was != is {
            log::log!(
                target: "suspicion",
                origin.log_level(),
                service:% = self.service.id,
                upstream:% = member.upstream.id,
                evidence:% = kind,
                probability = score.probability(now);
                "An upstream is {}.", if is { "avoided" } else { "trusted again" }
            );
            member.trial_looked = now;
        }
        member.suspicion = is.then_some(MemberSuspicion { score, avoided });
    }

    /// What the end of an attempt says under shared doubts.
    pub(super) fn doubt_end(&mut self, now: Instant, ticket: &Ticket, end: AttemptEnd) {
        let kind = match (end, ticket.counted) {
            (AttemptEnd::Answered, true) => DoubtKind::LateAnswer,
            (AttemptEnd::Answered, false) => DoubtKind::Answered,
            (_, true) => return,
            (AttemptEnd::ConnectFailed, false) => {
                // Other nodes may have a path of their own.
                return self.weigh(now, ticket.member, DoubtKind::Failed, DoubtOrigin::Own);
            }
            _ if end.speaks_for() == Some(false) && !ticket.suspect => DoubtKind::Failed,
            _ => return,
        };
        self.doubt(now, ticket.member, kind);
    }

    /// Marks the most suspect members as avoided, so many that the others carry the load.
    pub(super) fn mark_avoided(&mut self, now: Instant) {
        let able = self.members.values().filter(|member| member.is_able());
        let most = share_of(able.count(), AVOIDED_SHARE_MAX);
        let mut suspects: Vec<(f64, MemberKey)> = Vec::new();
        for (key, member) in &mut self.members {
            let Some(suspicion) = &mut member.suspicion else {
                continue;
            };
            suspicion.avoided = false;
            let score = suspicion.score;
            if !score.is_suspect(now) {
                member.suspicion = None;
            } else if member.is_able() {
                suspects.push((score.probability(now), key));
            }
        }
        suspects.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, key) in suspects.into_iter().take(most) {
            if let Some(suspicion) = &mut self.members[key].suspicion {
                suspicion.avoided = true;
            }
        }
    }

    /// Draws whether this request tries a suspect out, and which.
    pub(super) fn draw_trial(&mut self, now: Instant, ask: &Ask) -> Option<MemberKey> {
        if ask.repeatable && !self.budget.can_pay(now) {
            // Without a hedge beside it a trial could cost the request.
            return None;
        }
        let nodes = f64::from(self.nodes.max(1));
        let mut drawn = None;
        for (key, member) in &mut self.members {
            let Some(MemberSuspicion {
                score,
                avoided: true,
            }) = member.suspicion
            else {
                continue;
            };
            let looked = now.saturating_duration_since(member.trial_looked);
            member.trial_looked = now;
            let span = looked.min(TRIAL_LOOK_SPAN).as_secs_f64();
            let rate = if ask.repeatable {
                REPEATABLE_TRIAL_RATE.get()
            } else {
                ONCE_ONLY_TRIAL_RATE.get() * (1.0 - score.probability(now))
            };
            let expected = rate * span / nodes;
            let due = self.rng.random::<f64>() < expected;
            let untried = !ask.exclude.contains(&member.upstream.id);
            if due && untried && member.has_room() {
                drawn = Some(key);
            }
        }
        drawn
    }

    /// When the next attempt in flight becomes overdue.
    pub fn next_overdue(&self) -> Option<Instant> {
        let waiting = self
            .tickets
            .values()
            .filter(|ticket| ticket.latency.is_none() && !ticket.counted && !ticket.suspect);
        waiting
            .map(|ticket| ticket.started + ticket.overdue_after)
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
