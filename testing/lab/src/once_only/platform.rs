//! The simulated platform: an object store with conditional updates. Outages, lost
//! responses and late writes are simulated by its caller.

use std::collections::BTreeMap;

use model::sizes::ObjectVersion;
use policy::claim::{BatchWrite, Segment, SegmentNumber, ShardId, StoredSegment, WriteCondition};

/// The segments that the platform stores.
#[derive(Default)]
pub(super) struct SimulatedPlatform {
    objects: BTreeMap<(ShardId, SegmentNumber), (ObjectVersion, Segment)>,
    revision: u64,
}

impl SimulatedPlatform {
    /// Applies an update if its condition holds; returns the new version.
    pub(super) fn apply(&mut self, write: BatchWrite) -> Option<ObjectVersion> {
        let key = (write.shard, write.number);
        let current = self.objects.get(&key).map(|(version, _)| *version);
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !holds {
            return None;
        }
        self.revision += 1;
        let version = ObjectVersion::new(self.revision);
        self.objects.insert(key, (version, write.segment));
        Some(version)
    }

    /// Returns every segment of a shard.
    pub(super) fn read_shard(&self, shard: ShardId) -> Vec<StoredSegment> {
        let first = (shard, SegmentNumber::new(0));
        let last = (shard, SegmentNumber::new(u64::MAX));
        let segments = self
            .objects
            .range(first..=last)
            .map(|((_, number), (version, segment))| StoredSegment {
                number: *number,
                version: *version,
                segment: segment.clone(),
            });
        segments.collect()
    }

    /// Deletes a segment if it still has this version.
    pub(super) fn delete(&mut self, shard: ShardId, number: SegmentNumber, version: ObjectVersion) {
        let key = (shard, number);
        if self
            .objects
            .get(&key)
            .is_some_and(|(current, _)| *current == version)
        {
            self.objects.remove(&key);
        }
    }
}
