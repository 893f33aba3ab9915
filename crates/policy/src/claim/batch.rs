//! The batcher of one shard: turns claims into conditional updates.
//!
//! It never trusts that it is the only one. A claim is granted only when the
//! update that holds it is known to have taken effect; after a conflict or a
//! lost answer everything is read again before anything is said.

use std::collections::{BTreeMap, HashMap};

use model::{clock, sizes};

use super::segment::{
    ClaimKey, ClaimRecord, ClaimState, ClaimToken, Segment, SegmentNumber, Settlement,
    StoredSegment,
};
use super::shard::ShardId;

model::record! {
    /// A request to claim a key.
    #[derive(Eq)]
    pub struct ClaimAttempt {
        /// The key.
        pub key: ClaimKey,
        /// Who claims it.
        pub token: ClaimToken,
        /// A hash of the request.
        pub request: u64,
        /// When the claim may be forgotten.
        pub expires: clock::UnixMillis,
        /// When the request's own deadline has passed for certain.
        pub settled_by: clock::UnixMillis,
    }

    /// What a claim came to.
    #[derive(Copy, Eq)]
    pub enum ClaimVerdict {
        /// The request may be sent, once.
        Granted,
        /// The key was claimed before, with this outcome.
        Held(ClaimState),
        /// The key was claimed for another request.
        Mismatch,
    }
}

/// A claim that is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimDecision {
    /// The key.
    pub key: ClaimKey,
    /// Who claimed it.
    pub token: ClaimToken,
    /// What it came to.
    pub verdict: ClaimVerdict,
}

/// The condition of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(sizes::ObjectVersion),
}

/// One update that the caller of the batcher is to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchWrite {
    /// The shard.
    pub shard: ShardId,
    /// The segment.
    pub number: SegmentNumber,
    /// Its new content.
    pub segment: Segment,
    /// When the update may take effect.
    pub condition: WriteCondition,
}

/// The open segment as the batcher last knew it.
#[derive(Debug, Clone)]
struct OpenSegment {
    number: SegmentNumber,
    condition: WriteCondition,
    segment: Segment,
}

/// Decides the claims of one shard.
#[derive(Debug)]
pub struct ShardBatcher {
    shard: ShardId,
    known: HashMap<ClaimKey, ClaimRecord>,
    open: Option<OpenSegment>,
    attempts: BTreeMap<ClaimKey, Vec<ClaimAttempt>>,
    settlements: BTreeMap<ClaimKey, Settlement>,
    writing: Option<BatchWrite>,
    sealed: BTreeMap<SegmentNumber, (sizes::ObjectVersion, Option<clock::UnixMillis>)>,
}

impl ShardBatcher {
    /// A batcher that has read nothing yet.
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            known: HashMap::new(),
            open: None,
            attempts: BTreeMap::new(),
            settlements: BTreeMap::new(),
            writing: None,
            sealed: BTreeMap::new(),
        }
    }

    /// Whether the segments must be read before anything can be decided.
    pub const fn needs_load(&self) -> bool {
        self.open.is_none()
    }

    /// Takes every unexpired segment, as read after the last conflict or lost answer.
    pub fn load(
        &mut self,
        now: clock::UnixMillis,
        mut segments: Vec<StoredSegment>,
    ) -> Vec<ClaimDecision> {
        segments.sort_by_key(|stored| stored.number);
        self.known.clear();
        self.sealed.clear();
        self.writing = None;
        self.open = Some(OpenSegment {
            number: SegmentNumber::new(0),
            condition: WriteCondition::Absent,
            segment: Segment::default(),
        });
        for stored in segments {
            self.replay(&stored.segment);
            self.open = Some(self.follow(stored));
        }
        self.decide_known(now)
    }

    /// The segment that is open after a stored one.
    fn follow(&mut self, stored: StoredSegment) -> OpenSegment {
        if !stored.segment.sealed {
            let condition = WriteCondition::Version(stored.version);
            return OpenSegment {
                number: stored.number,
                condition,
                segment: stored.segment,
            };
        }
        self.sealed
            .insert(stored.number, (stored.version, stored.segment.expires()));
        OpenSegment {
            number: SegmentNumber::new(stored.number.get() + 1),
            condition: WriteCondition::Absent,
            segment: Segment::default(),
        }
    }

    fn replay(&mut self, segment: &Segment) {
        for (key, claim) in &segment.claims {
            self.known.insert(key.clone(), claim.clone());
        }
        for (key, settlement) in &segment.settled {
            if let Some(claim) = self.known.get_mut(key)
                && claim.token == settlement.token
            {
                claim.state = settlement.state;
            }
        }
    }

    /// Takes a claim; decides it at once when the key is already known.
    pub fn claim(&mut self, now: clock::UnixMillis, attempt: ClaimAttempt) -> Vec<ClaimDecision> {
        self.attempts
            .entry(attempt.key.clone())
            .or_default()
            .push(attempt);
        if self.needs_load() {
            return Vec::new();
        }
        self.decide_known(now)
    }

    /// Takes the outcome of a claimed request, to be stored with a later batch.
    pub fn settle(&mut self, key: ClaimKey, settlement: Settlement) {
        self.settlements.insert(key, settlement);
    }

    /// Withdraws the claims that nobody waits for any more.
    pub fn withdraw(&mut self, key: &ClaimKey, token: &ClaimToken) {
        if let Some(attempts) = self.attempts.get_mut(key) {
            attempts.retain(|attempt| attempt.token != *token);
            if attempts.is_empty() {
                self.attempts.remove(key);
            }
        }
    }

    /// Decides every waiting claim whose key is known from committed segments.
    fn decide_known(&mut self, now: clock::UnixMillis) -> Vec<ClaimDecision> {
        let mut decided = Vec::new();
        let known = &self.known;
        self.attempts.retain(|key, attempts| {
            attempts.retain(|attempt| {
                let verdict = known
                    .get(key)
                    .and_then(|claim| verdict_of(claim, attempt, now));
                let Some(verdict) = verdict else {
                    return true;
                };
                decided.push(ClaimDecision {
                    key: key.clone(),
                    token: attempt.token.clone(),
                    verdict,
                });
                false
            });
            !attempts.is_empty()
        });
        decided
    }

    /// The next update, unless one is under way or nothing waits.
    pub fn next_write(&mut self, now: clock::UnixMillis) -> Option<BatchWrite> {
        self.drop_late(now);
        let waits = !self.attempts.is_empty() || !self.settlements.is_empty();
        if self.writing.is_some() || !waits {
            return None;
        }
        let open = self.open.as_ref()?;
        let mut segment = open.segment.clone();
        if segment.is_full() {
            segment.sealed = true;
        } else {
            self.fill(&mut segment);
        }
        let (number, condition) = (open.number, open.condition);
        let write = BatchWrite {
            shard: self.shard,
            number,
            segment,
            condition,
        };
        self.writing = Some(write.clone());
        Some(write)
    }

    /// Drops claims whose requests can no longer be sent.
    fn drop_late(&mut self, now: clock::UnixMillis) {
        self.attempts.retain(|_, attempts| {
            attempts.retain(|attempt| attempt.settled_by > now);
            !attempts.is_empty()
        });
    }

    fn fill(&self, segment: &mut Segment) {
        for (key, settlement) in &self.settlements {
            segment.settled.insert(key.clone(), settlement.clone());
        }
        for (key, attempts) in &self.attempts {
            let Some(attempt) = attempts.first() else {
                continue;
            };
            segment.claims.insert(key.clone(), record_of(attempt));
            let outdated = segment
                .settled
                .get(key)
                .is_some_and(|s| s.token != attempt.token);
            if outdated {
                segment.settled.remove(key);
            }
        }
    }

    /// Takes the news that the update took effect and gave the object this version.
    pub fn write_committed(
        &mut self,
        now: clock::UnixMillis,
        version: sizes::ObjectVersion,
    ) -> Vec<ClaimDecision> {
        let Some(write) = self.writing.take() else {
            return Vec::new();
        };
        self.replay(&write.segment);
        self.settlements
            .retain(|key, settlement| write.segment.settled.get(key) != Some(settlement));
        let (number, segment) = (write.number, write.segment);
        let open = self.follow(StoredSegment {
            number,
            version,
            segment,
        });
        self.open = Some(open);
        self.decide_known(now)
    }

    /// Takes the news that the update failed or that its answer was lost.
    pub fn write_uncertain(&mut self) {
        self.writing = None;
        self.open = None;
    }

    /// Takes a sealed segment whose claims have all expired, to be deleted.
    pub fn take_expired(
        &mut self,
        now: clock::UnixMillis,
    ) -> Option<(SegmentNumber, sizes::ObjectVersion)> {
        let (number, (version, expires)) = self.sealed.first_key_value()?;
        let (number, version) = (*number, *version);
        if expires.is_some_and(|expires| expires > now) {
            return None;
        }
        self.sealed.remove(&number);
        self.known.retain(|_, claim| claim.expires > now);
        Some((number, version))
    }

    /// Claims and outcomes that wait for an update.
    pub fn pending(&self) -> usize {
        self.attempts.len() + self.settlements.len()
    }

    /// Claims held in memory.
    pub fn held(&self) -> usize {
        self.known.len()
    }
}

/// What a committed claim means for an attempt; `None` when the key may be claimed again.
fn verdict_of(
    claim: &ClaimRecord,
    attempt: &ClaimAttempt,
    now: clock::UnixMillis,
) -> Option<ClaimVerdict> {
    if claim.token == attempt.token {
        return Some(ClaimVerdict::Granted);
    }
    if claim.expires <= now || claim.state == ClaimState::NotRun {
        return None;
    }
    if claim.request != attempt.request {
        return Some(ClaimVerdict::Mismatch);
    }
    let lost = claim.state == ClaimState::Claimed && claim.settled_by <= now;
    Some(ClaimVerdict::Held(if lost {
        ClaimState::Unknown
    } else {
        claim.state
    }))
}

fn record_of(attempt: &ClaimAttempt) -> ClaimRecord {
    ClaimRecord {
        token: attempt.token.clone(),
        request: attempt.request,
        state: ClaimState::Claimed,
        expires: attempt.expires,
        settled_by: attempt.settled_by,
    }
}
