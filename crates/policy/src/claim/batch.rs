//! Batches the claims of one shard into conditional updates.
//!
//! Several batchers may work on a shard at the same time. A claim is granted only
//! once the update that contains it is known to be committed. After a conflict or a
//! lost response the batcher reads all segments again before it decides anything.

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
        /// The key to claim.
        pub key: ClaimKey,
        /// Identifies the attempt.
        pub token: ClaimToken,
        /// A hash of the request, to detect a different request with the same key.
        pub request: u64,
        /// When the claim may be deleted.
        pub expires: clock::UnixMillis,
        /// The time by which the request's own deadline has certainly passed.
        pub settled_by: clock::UnixMillis,
    }

    /// The result of a claim attempt.
    #[derive(Copy, Eq)]
    pub enum ClaimVerdict {
        /// The request may be sent, once.
        Granted,
        /// The key is already claimed; this is the state of that claim.
        Held(ClaimState),
        /// The key is already claimed for a different request.
        Mismatch,
    }
}

/// A claim attempt with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimDecision {
    /// The key that was claimed.
    pub key: ClaimKey,
    /// The attempt that is decided.
    pub token: ClaimToken,
    /// The result of the attempt.
    pub verdict: ClaimVerdict,
}

/// The condition under which an update takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(sizes::ObjectVersion),
}

/// An update of one segment, to be written by the caller of the batcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchWrite {
    /// The shard of the segment.
    pub shard: ShardId,
    /// The number of the segment.
    pub number: SegmentNumber,
    /// The new content of the segment.
    pub segment: Segment,
    /// The condition of the update.
    pub condition: WriteCondition,
}

/// The open segment as last read or written by the batcher.
#[derive(Debug, Clone)]
struct OpenSegment {
    number: SegmentNumber,
    condition: WriteCondition,
    segment: Segment,
}

/// Decides the claims of one shard and batches their updates.
///
/// It does no input or output: its caller reads segments for [`Self::load`], makes
/// the updates of [`Self::next_write`] and reports how they ended.
#[derive(Debug)]
pub struct ShardBatcher {
    shard: ShardId,
    committed: HashMap<ClaimKey, ClaimRecord>,
    open: Option<OpenSegment>,
    attempts: BTreeMap<ClaimKey, Vec<ClaimAttempt>>,
    settlements: BTreeMap<ClaimKey, Settlement>,
    writing: Option<BatchWrite>,
    sealed: BTreeMap<SegmentNumber, (sizes::ObjectVersion, Option<clock::UnixMillis>)>,
}

impl ShardBatcher {
    /// A batcher whose segments are not loaded yet.
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            committed: HashMap::new(),
            open: None,
            attempts: BTreeMap::new(),
            settlements: BTreeMap::new(),
            writing: None,
            sealed: BTreeMap::new(),
        }
    }

    /// Whether the segments must be loaded before claims can be decided.
    pub const fn needs_load(&self) -> bool {
        self.open.is_none()
    }

    /// Loads all unexpired segments, which must have been read after the last conflict or
    /// lost response.
    pub fn load(
        &mut self,
        now: clock::UnixMillis,
        mut segments: Vec<StoredSegment>,
    ) -> Vec<ClaimDecision> {
        segments.sort_by_key(|stored| stored.number);
        self.committed.clear();
        self.sealed.clear();
        self.writing = None;
        self.open = Some(OpenSegment {
            number: SegmentNumber::new(0),
            condition: WriteCondition::Absent,
            segment: Segment::default(),
        });
        for stored in segments {
            self.replay(&stored.segment);
            self.open = Some(self.open_after(stored));
        }
        self.decide_pending(now)
    }

    /// The open segment given the newest stored one: itself, or its successor if sealed.
    fn open_after(&mut self, stored: StoredSegment) -> OpenSegment {
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
            self.committed.insert(key.clone(), claim.clone());
        }
        for (key, settlement) in &segment.settled {
            if let Some(claim) = self.committed.get_mut(key)
                && claim.token == settlement.token
            {
                claim.state = settlement.state;
            }
        }
    }

    /// Adds a claim attempt; decides it immediately if the key is already claimed.
    pub fn claim(&mut self, now: clock::UnixMillis, attempt: ClaimAttempt) -> Vec<ClaimDecision> {
        self.attempts
            .entry(attempt.key.clone())
            .or_default()
            .push(attempt);
        if self.needs_load() {
            return Vec::new();
        }
        self.decide_pending(now)
    }

    /// Adds the outcome of a claimed request, to be written with a later batch.
    pub fn settle(&mut self, key: ClaimKey, settlement: Settlement) {
        self.settlements.insert(key, settlement);
    }

    /// Withdraws a claim attempt whose result is no longer needed.
    pub fn withdraw(&mut self, key: &ClaimKey, token: &ClaimToken) {
        if let Some(attempts) = self.attempts.get_mut(key) {
            attempts.retain(|attempt| attempt.token != *token);
            if attempts.is_empty() {
                self.attempts.remove(key);
            }
        }
    }

    /// Decides every pending attempt whose key is claimed in a committed segment.
    fn decide_pending(&mut self, now: clock::UnixMillis) -> Vec<ClaimDecision> {
        let mut decided = Vec::new();
        let committed = &self.committed;
        self.attempts.retain(|key, attempts| {
            attempts.retain(|attempt| {
                let verdict = committed
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

    /// The next update; `None` while another one is in progress or nothing is pending.
    pub fn next_write(&mut self, now: clock::UnixMillis) -> Option<BatchWrite> {
        self.drop_past_deadline(now);
        let has_pending = !self.attempts.is_empty() || !self.settlements.is_empty();
        if self.writing.is_some() || !has_pending {
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

    /// Drops attempts whose requests can no longer be sent because their deadline has passed.
    fn drop_past_deadline(&mut self, now: clock::UnixMillis) {
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

    /// Handles an update that was committed and gave the object this version.
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
        let open = self.open_after(StoredSegment {
            number,
            version,
            segment,
        });
        self.open = Some(open);
        self.decide_pending(now)
    }

    /// Handles an update that failed or whose response was lost: the segments must be
    /// loaded again.
    pub fn write_uncertain(&mut self) {
        self.writing = None;
        self.open = None;
    }

    /// Removes the oldest sealed segment from the batcher if all its claims have expired;
    /// the caller deletes the object.
    ///
    /// The newest stored segment stays, since its number tells every batcher which segment
    /// is open.
    pub fn take_expired(
        &mut self,
        now: clock::UnixMillis,
    ) -> Option<(SegmentNumber, sizes::ObjectVersion)> {
        let (number, (version, expires)) = self.sealed.first_key_value()?;
        let (number, version) = (*number, *version);
        if expires.is_some_and(|expires| expires > now) || !self.has_stored_successor(number) {
            return None;
        }
        self.sealed.remove(&number);
        self.committed.retain(|_, claim| claim.expires > now);
        Some((number, version))
    }

    /// Whether a segment after this one is known to be stored.
    fn has_stored_successor(&self, number: SegmentNumber) -> bool {
        let is_open_stored = self
            .open
            .as_ref()
            .is_some_and(|open| open.condition != WriteCondition::Absent);
        let is_newest_sealed = self.sealed.keys().next_back() == Some(&number);
        is_open_stored || !is_newest_sealed
    }

    /// Number of keys and outcomes that wait for an update.
    pub fn pending(&self) -> usize {
        self.attempts.len() + self.settlements.len()
    }

    /// Number of claims known from committed segments.
    pub fn committed_len(&self) -> usize {
        self.committed.len()
    }
}

/// The result of an attempt given a committed claim; `None` if the key may be claimed again.
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
    let abandoned = claim.state == ClaimState::Claimed && claim.settled_by <= now;
    Some(ClaimVerdict::Held(if abandoned {
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
