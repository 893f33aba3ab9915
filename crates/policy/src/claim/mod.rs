//! Claims: a request with an idempotency key runs at most once in the whole fleet.
//!
//! Keys are spread over shards. The claims of a shard are stored in numbered
//! segments, which are objects of the platform. Only the newest segment is open; a
//! batch of claims is one conditional update of it. A full segment is sealed by a
//! conditional update and the next one is created only if absent. A batcher with
//! stale segments therefore fails its update and never grants a key twice.

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
