//! The limits that a node owns, with the permits that are left of each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{ids, sizes};
use tokio::time::Instant;

use super::announcement::LimitAnnouncement;
use super::{
    LimitRecord, LimitReport, LimitShard, LimitSignal, LimitState, LimitVersion, Permit,
    PermitCandidate, PermitOutlook, PermitReply, PermitRequest,
};

/// Rate at which an upstream with a lower limit still gets requests, since only its
/// responses tell when the limit ends.
const RATE_MIN: sizes::RateLimit = sizes::RateLimit::per_second(0.2);
/// Time for which unused permits are kept, so that uneven demand can use the limit.
const BURST_DURATION: Duration = Duration::from_millis(500);
/// Unused permits that are always kept.
const BURST_MIN: f64 = 1.0;
/// The longest time to the next permit that is told: the interval of the lowest rate. The share
/// of this node may have grown by then.
const OUTLOOK_MAX: Duration = Duration::from_secs(5);
/// How long a limit is kept that is neither used nor reported.
const UNUSED_TTL: Duration = Duration::from_mins(10);

type LimitKey = (ids::ServiceId, ids::UpstreamId);

/// Permits of one upstream. Starts empty, since a former owner may have just granted some.
#[derive(Debug)]
struct PermitBucket {
    permits: f64,
    refilled_at: Instant,
}

impl PermitBucket {
    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let permits_max = (rate * BURST_DURATION.as_secs_f64()).max(BURST_MIN);
        self.permits = (self.permits + elapsed.as_secs_f64() * rate).min(permits_max);
        self.refilled_at = now;
    }

    fn outlook(&self, state: LimitState, rate: f64) -> PermitOutlook {
        let missing = (1.0 - self.permits).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(OUTLOOK_MAX);
        let wait = wait.min(OUTLOOK_MAX);
        let whole_millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        PermitOutlook {
            state,
            wait_millis: whole_millis.saturating_add(u32::from(missing > 0.0)),
        }
    }
}

#[derive(Debug)]
struct LimitEntry {
    state: LimitState,
    bucket: Option<PermitBucket>,
    announcement: LimitAnnouncement,
    used_at: Instant,
}

impl LimitEntry {
    fn new(now: Instant, state: LimitState) -> Self {
        Self {
            state,
            bucket: None,
            announcement: LimitAnnouncement::default(),
            used_at: now,
        }
    }

    /// The rate at which permits are granted at a share of the limit; `None` without a limit.
    fn rate(&self, share: sizes::Share) -> Option<f64> {
        let limit = self.state.rate?.get().max(RATE_MIN.get());
        Some(limit * share.get())
    }

    fn set(&mut self, rate: Option<sizes::RateLimit>) {
        self.state = LimitState {
            rate,
            version: self.state.version.next(),
        };
    }

    /// Adopts what the sender of a draw knows and this node does not.
    fn merge(&mut self, known: LimitState) {
        self.state.update(known);
        let is_unknown = known.version == self.state.version && self.state.rate.is_none();
        if is_unknown && known.rate.is_some() {
            self.set(known.rate);
        }
    }

    fn start_bucket(&mut self, now: Instant) -> &mut PermitBucket {
        self.bucket.get_or_insert(PermitBucket {
            permits: 0.0,
            refilled_at: now,
        })
    }

    /// The refilled bucket and its rate; `None` without a limit.
    fn refilled_bucket(
        &mut self,
        now: Instant,
        share: sizes::Share,
    ) -> Option<(&mut PermitBucket, f64)> {
        let rate = self.rate(share)?;
        let bucket = self.start_bucket(now);
        bucket.refill(now, rate);
        Some((bucket, rate))
    }
}

/// The known limits, by service and upstream. Permits are granted only by the node that owns
/// a limit; the other nodes keep the record in case they become the owner.
#[derive(Debug, Default)]
pub struct PermitLedger {
    limits: BTreeMap<LimitKey, LimitEntry>,
    /// Limits with announcements that are due now or later.
    unannounced: BTreeSet<LimitKey>,
}

impl PermitLedger {
    /// Draws a permit for the candidate that has most of them. Permits are granted at `share`
    /// of each limit: the share of the nodes that this owner serves.
    pub fn draw(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        share: sizes::Share,
    ) -> PermitReply {
        for candidate in &request.candidates {
            let key = key_of(request, candidate);
            let entry = self.limits.entry(key.clone());
            let entry = entry.or_insert_with(|| LimitEntry::new(now, LimitState::default()));
            entry.used_at = now;
            let version_before = entry.state.version;
            entry.merge(candidate.state);
            if entry.state.version != version_before {
                self.unannounced.insert(key);
            }
        }
        let permit = self.grant(now, request, share);
        let outlooks = request
            .candidates
            .iter()
            .map(|candidate| self.outlook(now, &key_of(request, candidate), share))
            .collect();
        PermitReply { permit, outlooks }
    }

    fn grant(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        share: sizes::Share,
    ) -> Option<Permit> {
        let mut fullest: Option<(f64, &PermitCandidate)> = None;
        for candidate in &request.candidates {
            let entry = self.limits.get_mut(&key_of(request, candidate))?;
            let Some((bucket, _)) = entry.refilled_bucket(now, share) else {
                continue;
            };
            let is_fuller = fullest.is_none_or(|(permits, _)| bucket.permits > permits);
            if bucket.permits >= 1.0 && is_fuller {
                fullest = Some((bucket.permits, candidate));
            }
        }
        let (_, candidate) = fullest?;
        let entry = self.limits.get_mut(&key_of(request, candidate))?;
        let version = entry.state.version;
        let (bucket, _) = entry.refilled_bucket(now, share)?;
        bucket.permits -= 1.0;
        Some(Permit {
            upstream: candidate.upstream.clone(),
            version,
        })
    }

    fn outlook(&mut self, now: Instant, key: &LimitKey, share: sizes::Share) -> PermitOutlook {
        let Some(entry) = self.limits.get_mut(key) else {
            return PermitOutlook {
                state: LimitState::default(),
                wait_millis: 0,
            };
        };
        let state = entry.state;
        entry.refilled_bucket(now, share).map_or(
            PermitOutlook {
                state,
                wait_millis: 0,
            },
            |(bucket, rate)| bucket.outlook(state, rate),
        )
    }

    /// Applies what a response stated; returns the new limit if it changed.
    ///
    /// A lower limit applies at once. A higher one, or none, applies only if the request was
    /// sent with a permit of the current version: an older response may be late.
    pub fn report(&mut self, now: Instant, report: &LimitReport) -> Option<LimitState> {
        if report.signal == LimitSignal::Unknown {
            return None;
        }
        let key = (report.service.clone(), report.upstream.clone());
        let sent_with = report.permit.unwrap_or_default();
        let entry = self.limits.entry(key.clone()).or_insert_with(|| {
            let state = LimitState {
                rate: None,
                version: sent_with,
            };
            LimitEntry::new(now, state)
        });
        entry.used_at = now;
        entry.state.version = entry.state.version.max(sent_with).max(report.known);
        let is_current = sent_with == entry.state.version && sent_with > LimitVersion::default();
        let changes = match (entry.state.rate, report.named()) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(_), None) => is_current,
            (Some(before), Some(after)) => after < before || (after > before && is_current),
        };
        if !changes {
            return None;
        }
        entry.set(report.named());
        entry.start_bucket(now);
        self.unannounced.insert(key);
        Some(entry.state)
    }

    /// Applies a limit that another node announced.
    pub fn apply(&mut self, now: Instant, record: &LimitRecord) {
        let key = (record.service.clone(), record.upstream.clone());
        let entry = self.limits.entry(key);
        let entry = entry.or_insert_with(|| LimitEntry::new(now, LimitState::default()));
        if entry.state.update(record.state) {
            entry.used_at = now;
        }
    }

    /// The upstreams that have a limit.
    pub fn records(&self) -> Vec<LimitRecord> {
        let limited = self
            .limits
            .iter()
            .filter(|(_, entry)| entry.state.rate.is_some());
        limited
            .map(|(key, entry)| record_of(key, entry.state))
            .collect()
    }

    /// The shards of the services with upstreams that have a limit.
    pub fn limited_shards(&self) -> BTreeSet<LimitShard> {
        let limited = self
            .limits
            .iter()
            .filter(|(_, entry)| entry.state.rate.is_some());
        limited
            .map(|((service, _), _)| LimitShard::of(service))
            .collect()
    }

    /// When the next announcement is due.
    pub fn next_announcement_at(&self, now: Instant) -> Option<Instant> {
        let entries = self
            .unannounced
            .iter()
            .filter_map(|key| self.limits.get(key));
        entries
            .filter_map(|entry| entry.announcement.due_at(now, entry.state))
            .min()
    }

    /// Returns the limits to announce to every other node.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<LimitRecord> {
        let mut records = Vec::new();
        let limits = &mut self.limits;
        self.unannounced.retain(|key| {
            let Some(entry) = limits.get_mut(key) else {
                return false;
            };
            let due_at = entry.announcement.due_at(now, entry.state);
            if due_at.is_some_and(|at| at <= now) {
                entry.announcement.record(now, entry.state);
                records.push(record_of(key, entry.state));
            }
            entry.announcement.due_at(now, entry.state).is_some()
        });
        records
    }

    /// Drops the limits that were not used for a long time.
    pub fn expire(&mut self, now: Instant) {
        self.limits
            .retain(|_, entry| now.saturating_duration_since(entry.used_at) < UNUSED_TTL);
    }
}

fn key_of(request: &PermitRequest, candidate: &PermitCandidate) -> LimitKey {
    (request.service.clone(), candidate.upstream.clone())
}

fn record_of((service, upstream): &LimitKey, state: LimitState) -> LimitRecord {
    LimitRecord {
        service: service.clone(),
        upstream: upstream.clone(),
        state,
    }
}
