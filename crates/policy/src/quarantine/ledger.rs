//! The crashes that a node knows of, and the requests that it holds responsible.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use model::fingerprint::RequestFingerprint;
use model::ids;
use model::span::TimeSpan;
use tokio::time::Instant;

use super::message::{CrashRecord, CrashReport, RequestStanding};

/// Reports of one upstream within this time are about the same crash.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Time from the first report of a crash until it is assessed, so that the reports of all
/// nodes count.
const SETTLE_DELAY: Duration = Duration::from_millis(200);
/// How long a crash is remembered.
const CRASH_TTL: Duration = Duration::from_hours(1);
/// How long it is remembered that a request completed a run. Reports may arrive later than
/// that news.
const COMPLETION_TTL: Duration = Duration::from_secs(10);
/// Crashes that are remembered; the oldest ones are forgotten first.
const CRASHES_MAX: usize = 256;
/// Suspects that are remembered for each crash, more than an upstream runs at a time.
const SUSPECTS_MAX: usize = 64;
/// Completed runs that are remembered; further ones are not.
const COMPLETIONS_MAX: usize = 1_024;
/// Crashes before the first one of a request that still belong to the same time.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Crashes under one request that suffice for a quarantine.
const CRASHES_MIN: usize = 2;
/// Crashes of a service without the request that are tolerated for each crash with it above
/// the minimum. When many upstreams crash, a request meets several crashes by chance.
const UNRELATED_PER_CRASH: usize = 3;
/// Crashes under one request that suffice, whatever else happens, if another quarantined
/// request does not explain all of them.
const CRASHES_CERTAIN: usize = 4;
/// Time from a crash to the trial of a request that is quarantined for the first time.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Factor by which that time grows with each further crash.
const TRIAL_DELAY_FACTOR: u32 = 4;
/// Limit on the time to a trial.
const TRIAL_DELAY_MAX: Duration = Duration::from_hours(1);

#[derive(Debug)]
struct Crash {
    service: ids::ServiceId,
    upstream: ids::UpstreamId,
    at: Instant,
    /// When the reports of all nodes should have arrived.
    settled_at: Instant,
    suspects: BTreeSet<RequestFingerprint>,
}

impl Crash {
    fn record(&self, now: Instant) -> CrashRecord {
        CrashRecord {
            service: self.service.clone(),
            upstream: self.upstream.clone(),
            age: TimeSpan::from_millis(age_millis(now, self.at)),
            suspects: self.suspects.iter().copied().collect(),
        }
    }
}

/// What a node knows of crashes. All nodes get the same reports and so come to the same
/// conclusions; a lost message means that a request is sent once more.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Crashes, in the order in which they became known.
    crashes: VecDeque<Crash>,
    /// When the crashes that are not assessed yet are due.
    assess_at: Option<Instant>,
    quarantined: BTreeSet<RequestFingerprint>,
    /// When the owner of a request's trials last granted one.
    granted: HashMap<RequestFingerprint, Instant>,
    /// When requests last completed a run.
    completed: HashMap<RequestFingerprint, Instant>,
}

impl CrashLedger {
    /// Records that an upstream crashed while it ran a request. Returns whether that is new.
    pub fn report(&mut self, now: Instant, report: &CrashReport) -> bool {
        self.record(now, now, report)
    }

    /// Records a crash that another node remembers.
    pub fn apply(&mut self, now: Instant, record: &CrashRecord) {
        let Some(at) = now.checked_sub(record.age.get()) else {
            return;
        };
        for request in &record.suspects {
            let report = CrashReport {
                service: record.service.clone(),
                upstream: record.upstream.clone(),
                request: *request,
            };
            self.record(now, at, &report);
        }
    }

    fn record(&mut self, now: Instant, at: Instant, report: &CrashReport) -> bool {
        if self.has_completed(now, report.request) {
            return false;
        }
        let is_same = |crash: &Crash| {
            let (earlier, later) = (crash.at.min(at), crash.at.max(at));
            crash.upstream == report.upstream && later.duration_since(earlier) <= CRASH_SPAN
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            self.crashes.push_back(Crash {
                service: report.service.clone(),
                upstream: report.upstream.clone(),
                at,
                settled_at: now.max(at + SETTLE_DELAY),
                suspects: BTreeSet::new(),
            });
            self.crashes.len() - 1
        });
        let suspects = &mut self.crashes[index].suspects;
        let is_new = suspects.len() < SUSPECTS_MAX && suspects.insert(report.request);
        if is_new {
            let due_at = self.crashes[index].settled_at.max(now);
            self.assess_at = Some(self.assess_at.map_or(due_at, |earlier| earlier.min(due_at)));
        }
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
        is_new
    }

    /// Records that a request completed a run. Returns whether anything was known against it.
    pub fn complete(&mut self, now: Instant, request: RequestFingerprint) -> bool {
        if self.completed.len() < COMPLETIONS_MAX {
            self.completed.insert(request, now);
        }
        let mut was_known = self.quarantined.remove(&request);
        self.granted.remove(&request);
        for crash in &mut self.crashes {
            was_known |= crash.suspects.remove(&request);
        }
        was_known
    }

    fn has_completed(&self, now: Instant, request: RequestFingerprint) -> bool {
        let at = self.completed.get(&request);
        at.is_some_and(|at| now.saturating_duration_since(*at) < COMPLETION_TTL)
    }

    /// When [`Self::assess`] is due; `None` if there is nothing to assess.
    pub const fn assessment_due_at(&self) -> Option<Instant> {
        self.assess_at
    }

    /// Quarantines the requests that explain the crashes; returns them with the number of
    /// crashes under each. A crash counts once the reports of all nodes should have arrived:
    /// before that, a harmless request may be the only known suspect.
    pub fn assess(&mut self, now: Instant) -> Vec<(RequestFingerprint, usize)> {
        let unsettled = self.crashes.iter().filter(|crash| crash.settled_at > now);
        self.assess_at = unsettled.map(|crash| crash.settled_at).min();
        let mut found = Vec::new();
        // A crash that a quarantined request explains says nothing about the others, so
        // those with the most crashes are assessed first.
        loop {
            let counts = self.unexplained_counts(now);
            let guilty = counts
                .into_iter()
                .filter(|(request, count)| self.is_guilty(now, *request, *count))
                .max_by_key(|(_, count)| *count);
            let Some((request, count)) = guilty else {
                return found;
            };
            self.quarantined.insert(request);
            found.push((request, count));
        }
    }

    /// Settled crashes of each suspect that no quarantined request explains.
    fn unexplained_counts(&self, now: Instant) -> BTreeMap<RequestFingerprint, usize> {
        let mut counts = BTreeMap::new();
        for request in self.settled(now).flat_map(|crash| &crash.suspects) {
            *counts.entry(*request).or_default() += 1;
        }
        counts
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        let explained = |crash: &Crash| {
            crash
                .suspects
                .iter()
                .any(|it| self.quarantined.contains(it))
        };
        self.crashes.iter().filter(move |crash| !explained(crash))
    }

    fn settled(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        self.unexplained()
            .filter(move |crash| crash.settled_at <= now)
    }

    /// Whether a request with `count` unexplained crashes is responsible for them.
    fn is_guilty(&self, now: Instant, request: RequestFingerprint, count: usize) -> bool {
        let all = self.crashes.iter();
        let met = all.filter(|crash| crash.suspects.contains(&request));
        if met.count() >= CRASHES_CERTAIN {
            return true;
        }
        if count < CRASHES_MIN {
            return false;
        }
        let own: Vec<_> = self
            .settled(now)
            .filter(|crash| crash.suspects.contains(&request))
            .collect();
        let in_all =
            |other: &RequestFingerprint| own.iter().all(|crash| crash.suspects.contains(other));
        let others = own.first().into_iter().flat_map(|crash| &crash.suspects);
        let is_only_one = others.filter(|other| in_all(other)).count() == 1;
        is_only_one && self.unrelated(&own) <= (count - CRASHES_MIN) * UNRELATED_PER_CRASH
    }

    /// Crashes of the same service in the same time that are not among `own`, explained or
    /// not: while several causes are at work, a harmless request meets two of them by chance.
    fn unrelated(&self, own: &[&Crash]) -> usize {
        let Some(first_at) = own.iter().map(|crash| crash.at).min() else {
            return 0;
        };
        let service = &own[0].service;
        let in_time = self
            .crashes
            .iter()
            .filter(|crash| crash.service == *service && crash.at + LEAD_TIME >= first_at);
        in_time.count() - own.len()
    }

    /// Whether a request may be sent.
    pub fn standing(&self, request: RequestFingerprint) -> RequestStanding {
        if self.quarantined.contains(&request) {
            return RequestStanding::Quarantined {
                trial_at: self.trial_at(request),
            };
        }
        let is_suspect = self
            .unexplained()
            .any(|crash| crash.suspects.contains(&request));
        if is_suspect {
            RequestStanding::Suspect
        } else {
            RequestStanding::Clear
        }
    }

    /// Every request that is not clear.
    pub fn standings(&self) -> HashMap<RequestFingerprint, RequestStanding> {
        let suspects = self.unexplained().flat_map(|crash| &crash.suspects);
        let suspects = suspects.map(|request| (*request, RequestStanding::Suspect));
        let quarantined = self.quarantined.iter().map(|request| {
            let trial_at = self.trial_at(*request);
            (*request, RequestStanding::Quarantined { trial_at })
        });
        suspects.chain(quarantined).collect()
    }

    fn trial_at(&self, request: RequestFingerprint) -> Instant {
        let crashes = self
            .crashes
            .iter()
            .filter(|crash| crash.suspects.contains(&request));
        let times: Vec<_> = crashes.map(|crash| crash.at).collect();
        let exponent = u32::try_from(times.len().saturating_sub(CRASHES_MIN)).unwrap_or(u32::MAX);
        let factor = TRIAL_DELAY_FACTOR.saturating_pow(exponent);
        let delay = FIRST_TRIAL_DELAY
            .saturating_mul(factor)
            .min(TRIAL_DELAY_MAX);
        let last = times.into_iter().chain(self.granted.get(&request).copied());
        last.max().map_or_else(Instant::now, |last| last + delay)
    }

    /// Grants a trial of a quarantined request if one is due. Only the owner of its trials
    /// grants them, so that the fleet makes one at a time.
    pub fn draw_trial(&mut self, now: Instant, request: RequestFingerprint) -> bool {
        match self.standing(request) {
            RequestStanding::Clear | RequestStanding::Suspect => true,
            RequestStanding::Quarantined { trial_at } if trial_at <= now => {
                self.granted.insert(request, now);
                true
            }
            RequestStanding::Quarantined { .. } => false,
        }
    }

    /// The crashes that this node remembers.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| !crash.suspects.is_empty())
            .map(|crash| crash.record(now))
            .collect()
    }

    /// The crashes of which a request is a suspect, with all their suspects. Nodes that know
    /// only some of these suspects could blame a harmless one.
    pub fn records_of(&self, now: Instant, request: RequestFingerprint) -> Vec<CrashRecord> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| crash.suspects.contains(&request))
            .map(|crash| crash.record(now))
            .collect()
    }

    /// Forgets what is too old to count. Returns whether a request's standing may have changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant, ttl| now.saturating_duration_since(at) < ttl;
        self.completed
            .retain(|_, at| is_recent(*at, COMPLETION_TTL));
        let before = self.crashes.len();
        self.crashes.retain(|crash| is_recent(crash.at, CRASH_TTL));
        let crashes = &self.crashes;
        let is_known = |request: &RequestFingerprint| {
            crashes.iter().any(|crash| crash.suspects.contains(request))
        };
        self.quarantined.retain(is_known);
        let quarantined = &self.quarantined;
        self.granted
            .retain(|request, _| quarantined.contains(request));
        self.crashes.len() < before
    }
}

fn age_millis(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
