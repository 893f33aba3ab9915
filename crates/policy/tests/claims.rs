//! Batchers that race, lose answers and wake up late never grant a key twice.

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

/// A platform that holds the segments of one shard.
#[derive(Default)]
struct Platform {
    objects: BTreeMap<SegmentNumber, (ObjectVersion, BatchWrite)>,
    revision: u64,
}

impl Platform {
    fn apply(&mut self, write: &BatchWrite) -> Option<ObjectVersion> {
        let current = self.objects.get(&write.number).map(|(version, _)| *version);
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !holds {
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
        .unwrap_or_else(|_| panic!("{text:?} is not a name"))
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

fn verdict(decided: &[ClaimDecision], token: &str) -> Option<ClaimVerdict> {
    let token: ClaimToken = name(token);
    decided
        .iter()
        .find(|one| one.token == token)
        .map(|one| one.verdict)
}

fn loaded(platform: &Platform) -> ShardBatcher {
    let mut batcher = ShardBatcher::new(SHARD);
    batcher.load(NOW, platform.read());
    batcher
}

#[test]
fn nothing_is_granted_before_its_update_took_effect() {
    let mut platform = Platform::default();
    let mut batcher = loaded(&platform);
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

#[test]
fn a_batcher_that_wakes_up_late_loses() {
    let mut platform = Platform::default();
    let mut late = loaded(&platform);
    late.claim(NOW, attempt("k", "late"));
    let late_write = late.next_write(NOW).unwrap();
    let mut other = loaded(&platform);
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

#[test]
fn a_lost_answer_is_read_back() {
    let mut platform = Platform::default();
    let mut batcher = loaded(&platform);
    batcher.claim(NOW, attempt("k", "a"));
    let write = batcher.next_write(NOW).unwrap();
    platform.apply(&write).unwrap();
    batcher.write_uncertain();
    let decided = batcher.load(NOW, platform.read());
    assert_eq!(verdict(&decided, "a"), Some(ClaimVerdict::Granted));
}

#[test]
fn a_repeated_key_gets_the_stored_outcome() {
    let mut platform = Platform::default();
    let mut batcher = loaded(&platform);
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
    let decided = loaded(&platform).claim(NOW, attempt("k", "b"));
    assert_eq!(
        verdict(&decided, "b"),
        Some(ClaimVerdict::Held(ClaimState::Ran(201)))
    );
    let mut other = attempt("k", "c");
    other.request = 2;
    let decided = loaded(&platform).claim(NOW, other);
    assert_eq!(verdict(&decided, "c"), Some(ClaimVerdict::Mismatch));
}

#[test]
fn a_claim_whose_entry_went_away_is_unknown_and_one_that_did_not_run_is_free() {
    let mut platform = Platform::default();
    let mut batcher = loaded(&platform);
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

#[test]
fn a_claim_that_nobody_can_use_any_more_causes_no_updates() {
    let platform = Platform::default();
    let mut batcher = loaded(&platform);
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

#[test]
fn full_segments_are_sealed_and_still_known() {
    let mut platform = Platform::default();
    let mut batcher = loaded(&platform);
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
    let decided = loaded(&platform).claim(NOW, attempt("k0", "x"));
    assert_eq!(
        verdict(&decided, "x"),
        Some(ClaimVerdict::Held(ClaimState::Claimed))
    );
}

#[test]
fn no_interleaving_of_two_batchers_grants_a_key_twice() {
    // Each step: which batcher, what happens, and which key.
    fn holds(steps: Vec<(bool, u8, u8)>) -> bool {
        let mut platform = Platform::default();
        let mut batchers = [ShardBatcher::new(SHARD), ShardBatcher::new(SHARD)];
        let mut writes: [Option<BatchWrite>; 2] = [None, None];
        let mut granted: HashMap<ClaimKey, BTreeSet<ClaimToken>> = HashMap::new();
        for (number, (second, what, key)) in steps.into_iter().enumerate() {
            let index = usize::from(second);
            let batcher = &mut batchers[index];
            let decided = match what % 6 {
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
                // The update takes effect and its answer is lost.
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
            for one in decided
                .into_iter()
                .filter(|one| one.verdict == ClaimVerdict::Granted)
            {
                granted.entry(one.key).or_default().insert(one.token);
            }
        }
        granted.values().all(|tokens| tokens.len() == 1)
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(200, 31))
        .quickcheck(holds as fn(Vec<(bool, u8, u8)>) -> bool);
}
