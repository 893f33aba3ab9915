//! Claims: batchers that race, lose responses or resume late never grant a key twice.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gooseberrydyke_policy::claim::{
    BatchWrite, ClaimAttempt, ClaimDecision, ClaimKey, ClaimState, ClaimToken, ClaimVerdict,
    SEGMENT_ENTRIES_MAX, SegmentNumber, Settlement, ShardBatcher, ShardId, StoredSegment,
    WriteCondition,
};
use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use quickcheck::{Gen, QuickCheck};

const SHARD: ShardId = ShardId::new(3);
const NOW: UnixMillis = UnixMillis::new(1_000);
const LATER: UnixMillis = UnixMillis::new(1_000_000);

/// A platform that stores the segments of one shard.
#[derive(Default)]
struct Platform {
    objects: BTreeMap<SegmentNumber, (ObjectVersion, BatchWrite)>,
    revision: u64,
}

impl Platform {
    fn apply(&mut self, write: &BatchWrite) -> Option<ObjectVersion> {
        let current = self.objects.get(&write.number).map(|(version, _)| *version);
        let condition_met = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !condition_met {
            return None;
        }
        self.revision += 1;
        let version = ObjectVersion::new(self.revision);
        self.objects.insert(write.number, (version, write.clone()));
        Some(version)
    }

    fn read(&self) -> Vec<StoredSegment> {
        let stored = self
            .objects
            .iter()
            .map(|(number, (version, write))| StoredSegment {
                number: *number,
                version: *version,
                segment: write.segment.clone(),
            });
        stored.collect()
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a valid identifier"))
}

fn attempt(key: &str, token: &str) -> ClaimAttempt {
    ClaimAttempt {
        key: name(key),
        token: name(token),
        request: 1,
        expires: LATER,
        settled_by: LATER,
    }
}

/// The verdict on the attempt with a token, if it is among the decisions.
fn verdict(decided: &[ClaimDecision], token: &str) -> Option<ClaimVerdict> {
    let token: ClaimToken = name(token);
    decided
        .iter()
        .find(|decision| decision.token == token)
        .map(|decision| decision.verdict)
}

/// A batcher that has loaded the stored segments.
fn loaded_batcher(platform: &Platform) -> ShardBatcher {
    let mut batcher = ShardBatcher::new(SHARD);
    batcher.load(NOW, platform.read());
    batcher
}

/// A claim that is granted before its update is committed could be granted by another
/// batcher as well.
#[test]
fn a_claim_is_granted_only_after_its_update_is_committed() {
    let mut platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    assert!(batcher.claim(NOW, attempt("k", "a")).is_empty());
    let write = batcher.next_write(NOW).unwrap();
    let version = platform.apply(&write).unwrap();
    let decided = batcher.write_committed(NOW, version);
    assert_eq!(verdict(&decided, "a"), Some(ClaimVerdict::Granted));
    let again = batcher.claim(NOW, attempt("k", "b"));
    assert_eq!(
        verdict(&again, "b"),
        Some(ClaimVerdict::Held(ClaimState::Claimed))
    );
}

/// A batcher that was paused may try to write over segments that another one has changed.
/// The conditional update must fail, and the claim must see the other batcher's claim.
#[test]
fn a_batcher_that_resumes_late_does_not_grant_a_claimed_key() {
    let mut platform = Platform::default();
    let mut late = loaded_batcher(&platform);
    late.claim(NOW, attempt("k", "late"));
    let late_write = late.next_write(NOW).unwrap();
    let mut other = loaded_batcher(&platform);
    other.claim(NOW, attempt("k", "other"));
    let write = other.next_write(NOW).unwrap();
    let version = platform.apply(&write).unwrap();
    assert_eq!(
        verdict(&other.write_committed(NOW, version), "other"),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(platform.apply(&late_write), None);
    late.write_uncertain();
    assert!(late.needs_load());
    let decided = late.load(NOW, platform.read());
    assert_eq!(
        verdict(&decided, "late"),
        Some(ClaimVerdict::Held(ClaimState::Claimed))
    );
}

/// An update can be committed although its response is lost. After reading the segments
/// again, the batcher must recognise its own claim and grant it.
#[test]
fn a_claim_whose_update_response_was_lost_is_granted_after_loading() {
    let mut platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    batcher.claim(NOW, attempt("k", "a"));
    let write = batcher.next_write(NOW).unwrap();
    platform.apply(&write).unwrap();
    batcher.write_uncertain();
    let decided = batcher.load(NOW, platform.read());
    assert_eq!(verdict(&decided, "a"), Some(ClaimVerdict::Granted));
}

/// A caller that sends a request again with the same key must get the stored outcome, and
/// a different request with that key must be rejected.
#[test]
fn a_reused_key_gets_the_stored_outcome() {
    let mut platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    batcher.claim(NOW, attempt("k", "a"));
    let version = platform.apply(&batcher.next_write(NOW).unwrap()).unwrap();
    batcher.write_committed(NOW, version);
    let ran = Settlement {
        token: name("a"),
        state: ClaimState::Ran(201),
    };
    batcher.settle(name("k"), ran);
    let version = platform.apply(&batcher.next_write(NOW).unwrap()).unwrap();
    batcher.write_committed(NOW, version);
    let decided = loaded_batcher(&platform).claim(NOW, attempt("k", "b"));
    assert_eq!(
        verdict(&decided, "b"),
        Some(ClaimVerdict::Held(ClaimState::Ran(201)))
    );
    let mut other = attempt("k", "c");
    other.request = 2;
    let decided = loaded_batcher(&platform).claim(NOW, other);
    assert_eq!(verdict(&decided, "c"), Some(ClaimVerdict::Mismatch));
}

/// A node can disappear before it stores the outcome of a claimed request. Once the
/// deadline has passed, the outcome is unknown and the key must stay claimed. A request
/// that certainly did not run must release its key.
#[test]
fn an_abandoned_claim_is_unknown_and_one_that_did_not_run_is_released() {
    let mut platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    batcher.claim(
        NOW,
        ClaimAttempt {
            settled_by: UnixMillis::new(2_000),
            ..attempt("k", "a")
        },
    );
    let version = platform.apply(&batcher.next_write(NOW).unwrap()).unwrap();
    batcher.write_committed(NOW, version);
    let after = UnixMillis::new(3_000);
    let decided = batcher.claim(after, attempt("k", "b"));
    assert_eq!(
        verdict(&decided, "b"),
        Some(ClaimVerdict::Held(ClaimState::Unknown))
    );
    batcher.settle(
        name("k"),
        Settlement {
            token: name("a"),
            state: ClaimState::NotRun,
        },
    );
    let version = platform.apply(&batcher.next_write(after).unwrap()).unwrap();
    batcher.write_committed(after, version);
    batcher.claim(after, attempt("k", "c"));
    let version = platform.apply(&batcher.next_write(after).unwrap()).unwrap();
    assert_eq!(
        verdict(&batcher.write_committed(after, version), "c"),
        Some(ClaimVerdict::Granted)
    );
}

/// The successor of a sealed segment may not be stored yet. Without the sealed one, a
/// batcher would open segment 0 again while another still opens the successor.
#[test]
fn a_key_is_granted_once_after_the_last_sealed_segment_expired() {
    let mut platform = Platform::default();
    let mut early = loaded_batcher(&platform);
    for number in 0..SEGMENT_ENTRIES_MAX {
        early.claim(NOW, attempt(&format!("k{number}"), "a"));
    }
    for _ in 0..2 {
        let write = early.next_write(NOW).unwrap();
        early.write_committed(NOW, platform.apply(&write).unwrap());
        early.claim(NOW, attempt("next", "a"));
    }
    early.withdraw(&name("next"), &name("a"));
    assert!(platform.read()[0].segment.sealed);

    let expired = UnixMillis::new(LATER.get() + 1);
    let mut collector = loaded_batcher(&platform);
    while let Some((number, _)) = collector.take_expired(expired) {
        platform.objects.remove(&number);
    }
    let mut granted = 0;
    let late = loaded_batcher(&platform);
    for (mut batcher, token) in [(early, "b"), (late, "c")] {
        let mut attempt = attempt("again", token);
        attempt.settled_by = UnixMillis::new(LATER.get() + 1_000);
        attempt.expires = attempt.settled_by;
        batcher.claim(expired, attempt);
        let write = batcher.next_write(expired).unwrap();
        if let Some(version) = platform.apply(&write) {
            let decided = batcher.write_committed(expired, version);
            granted += usize::from(verdict(&decided, token) == Some(ClaimVerdict::Granted));
        }
    }
    assert_eq!(granted, 1);
}

/// A claim whose deadline has passed before it is written is of no use, so it must not
/// cost an update.
#[test]
fn a_claim_past_its_deadline_causes_no_update() {
    let platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    batcher.claim(
        NOW,
        ClaimAttempt {
            settled_by: UnixMillis::new(2_000),
            ..attempt("k", "a")
        },
    );
    assert!(batcher.next_write(UnixMillis::new(2_000)).is_none());
    assert_eq!(batcher.pending(), 0);
}

/// Claims of sealed segments must still be known, or their keys could be claimed again
/// once a new segment is open.
#[test]
fn full_segments_are_sealed_and_their_claims_stay_known() {
    let mut platform = Platform::default();
    let mut batcher = loaded_batcher(&platform);
    for number in 0..1_500 {
        batcher.claim(NOW, attempt(&format!("k{number}"), &format!("t{number}")));
        let write = batcher.next_write(NOW).unwrap();
        let version = platform.apply(&write).unwrap();
        if verdict(
            &batcher.write_committed(NOW, version),
            &format!("t{number}"),
        )
        .is_none()
        {
            let write = batcher.next_write(NOW).unwrap();
            let version = platform.apply(&write).unwrap();
            let decided = batcher.write_committed(NOW, version);
            assert_eq!(
                verdict(&decided, &format!("t{number}")),
                Some(ClaimVerdict::Granted)
            );
        }
    }
    assert_eq!(
        platform.objects.len(),
        1_500_usize.div_ceil(SEGMENT_ENTRIES_MAX)
    );
    let decided = loaded_batcher(&platform).claim(NOW, attempt("k0", "x"));
    assert_eq!(
        verdict(&decided, "x"),
        Some(ClaimVerdict::Held(ClaimState::Claimed))
    );
}

/// Two nodes may batch the claims of one shard at the same time, for example while they
/// disagree about the members. Whatever the order of their reads and updates, and also if
/// responses are lost, no key may be granted to two attempts.
#[test]
fn no_interleaving_of_two_batchers_grants_a_key_twice() {
    // Each step: whether the second batcher acts, its operation, and the key.
    fn holds(steps: Vec<(bool, u8, u8)>) -> bool {
        let mut platform = Platform::default();
        let mut batchers = [ShardBatcher::new(SHARD), ShardBatcher::new(SHARD)];
        let mut writes: [Option<BatchWrite>; 2] = [None, None];
        let mut granted: HashMap<ClaimKey, BTreeSet<ClaimToken>> = HashMap::new();
        for (number, (second, operation, key)) in steps.into_iter().enumerate() {
            let index = usize::from(second);
            let batcher = &mut batchers[index];
            let decided = match operation % 6 {
                0 | 1 => {
                    let key = format!("k{}", key % 5);
                    batcher.claim(NOW, attempt(&key, &format!("t{number}")))
                }
                2 => {
                    if writes[index].is_none() {
                        writes[index] = batcher.next_write(NOW);
                    }
                    Vec::new()
                }
                3 => match writes[index].take().map(|write| platform.apply(&write)) {
                    Some(Some(version)) => batcher.write_committed(NOW, version),
                    Some(None) => {
                        batcher.write_uncertain();
                        Vec::new()
                    }
                    None => Vec::new(),
                },
                // The update is committed and its response is lost.
                4 => {
                    if let Some(write) = writes[index].take() {
                        platform.apply(&write);
                        batcher.write_uncertain();
                    }
                    Vec::new()
                }
                _ if batcher.needs_load() => batcher.load(NOW, platform.read()),
                _ => Vec::new(),
            };
            for decision in decided
                .into_iter()
                .filter(|decision| decision.verdict == ClaimVerdict::Granted)
            {
                granted
                    .entry(decision.key)
                    .or_default()
                    .insert(decision.token);
            }
        }
        granted.values().all(|tokens| tokens.len() == 1)
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(200, 31))
        .quickcheck(holds as fn(Vec<(bool, u8, u8)>) -> bool);
}
