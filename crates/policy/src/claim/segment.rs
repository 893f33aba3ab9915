//! Segments: the stored objects that contain claims and their outcomes.

use std::collections::BTreeMap;

use model::{clock, digest, ids, sizes};

/// Number of claims and outcomes from which a segment is sealed. Larger
/// segments make every update larger, as it writes the whole open segment; smaller
/// ones need more objects of the platform.
pub const SEGMENT_ENTRIES_MAX: usize = 128;

model::text_id! {
    /// The hash of a caller's key, its service and its workspace.
    ClaimKey
}
model::text_id! {
    /// Identifies one attempt of one node to claim a key.
    ClaimToken
}
model::quantity! {
    /// The position of a segment in its shard.
    SegmentNumber, u64, 0, u64::MAX, "a whole number"
}

impl ClaimKey {
    /// Hashes a caller's key together with its service and workspace.
    pub fn of(service: &ids::ServiceId, workspace: Option<&ids::WorkspaceId>, key: &str) -> Self {
        let workspace = workspace.map_or("", ids::WorkspaceId::as_str);
        let parts = [
            service.as_str().as_bytes(),
            workspace.as_bytes(),
            key.as_bytes(),
        ];
        let low = digest::stable_hash(&[b"low", parts[0], parts[1], parts[2]]);
        let high = digest::stable_hash(&[b"high", parts[0], parts[1], parts[2]]);
        let text = format!("{low:016x}{high:016x}");
        text.parse()
            .unwrap_or_else(|_| unreachable!("hexadecimal digits are a valid identifier"))
    }
}

model::record! {
    /// The state of a claimed request.
    #[derive(Copy, Eq)]
    pub enum ClaimState {
        /// Claimed; the request may be running.
        Claimed,
        /// The request ran; this is the upstream's response status.
        Ran(u16),
        /// The request certainly did not run; the key may be claimed again.
        NotRun,
        /// The request may or may not have run.
        Unknown,
    }

    /// A claim as stored in a segment.
    #[derive(Eq)]
    pub struct ClaimRecord {
        /// The attempt that claimed the key.
        pub token: ClaimToken,
        /// A hash of the request, to detect a different request with the same key.
        pub request: u64,
        /// The state of the request.
        pub state: ClaimState,
        /// When the claim may be deleted.
        pub expires: clock::UnixMillis,
        /// The time by which the request's own deadline has certainly passed.
        pub settled_by: clock::UnixMillis,
    }

    /// The outcome of a claim in this segment or an earlier one.
    #[derive(Eq)]
    pub struct Settlement {
        /// The attempt that claimed the key.
        pub token: ClaimToken,
        /// The final state of the request.
        pub state: ClaimState,
    }

    /// A part of a shard: claims, and outcomes of these and earlier claims.
    #[derive(Eq, Default)]
    pub struct Segment {
        /// Whether the segment is closed for further entries.
        pub sealed: bool,
        /// The claims of the segment, by key.
        pub claims: BTreeMap<ClaimKey, ClaimRecord>,
        /// The outcomes of claims, by key.
        pub settled: BTreeMap<ClaimKey, Settlement>,
    }
}

impl Segment {
    /// Whether the segment has reached [`SEGMENT_ENTRIES_MAX`].
    pub fn is_full(&self) -> bool {
        self.claims.len() + self.settled.len() >= SEGMENT_ENTRIES_MAX
    }

    /// When its last claim may be deleted; `None` without claims.
    pub fn expires(&self) -> Option<clock::UnixMillis> {
        self.claims.values().map(|claim| claim.expires).max()
    }
}

/// A segment as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// The number of the segment in its shard.
    pub number: SegmentNumber,
    /// The version of the stored object.
    pub version: sizes::ObjectVersion,
    /// The content of the object.
    pub segment: Segment,
}
