//! Claims: a keyed request runs at most once in the whole fleet.
//!
//! Keys are spread over shards. The claims of a shard stand in a chain of
//! segments, objects of the platform. Only the newest segment is open; a batch
//! of claims is one conditional update of it. A full segment is sealed by a
//! conditional update and the next one made by create-if-absent, so a batcher
//! with stale segments can only fail, never pass a repeated key.

mod batch;
mod segment;
mod shard;

pub use batch::{
    BatchWrite, ClaimAttempt, ClaimDecision, ClaimVerdict, ShardBatcher, WriteCondition,
};
pub use segment::{
    ClaimKey, ClaimRecord, ClaimState, ClaimToken, SEGMENT_ENTRIES_MAX, Segment, SegmentNumber,
    Settlement, StoredSegment,
};
pub use shard::{SHARD_COUNT, ShardId, shard_of};
