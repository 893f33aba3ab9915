//! Segments: the objects that hold claims.

use std::collections::BTreeMap;

use model::{clock, digest, ids, sizes};

/// Claims and outcomes after which a segment is sealed: each update writes the whole
/// open segment, and each segment is an object of the platform.
pub const SEGMENT_ENTRIES_MAX: usize = 128;

model::text_id! {
    /// A key of one service, hashed.
    ClaimKey
}
model::text_id! {
    /// Names one try of one entry to claim a key.
    ClaimToken
}
model::quantity! {
    /// Numbers the segments of a shard.
    SegmentNumber, u64, 0, u64::MAX, "a whole number"
}

impl ClaimKey {
    /// Hashes a caller's key together with its service and workspace.
    pub fn of(service: &ids::ServiceId, workspace: Option<&ids::WorkspaceId>, key: &str) -> Self {
        let space = workspace.map_or("", ids::WorkspaceId::as_str);
        let parts = [
            service.as_str().as_bytes(),
            space.as_bytes(),
            key.as_bytes(),
        ];
        let first = digest::stable_hash(&[b"low", parts[0], parts[1], parts[2]]);
        let second = digest::stable_hash(&[b"high", parts[0], parts[1], parts[2]]);
        let text = format!("{first:016x}{second:016x}");
        text.parse()
            .unwrap_or_else(|_| unreachable!("hexadecimal text is an identifier"))
    }
}

model::record! {
    /// What became of a claimed request.
    #[derive(Copy, Eq)]
    pub enum ClaimState {
        /// It was claimed and may be running.
        Claimed,
        /// It ran and the upstream answered with this status.
        Ran(u16),
        /// It certainly did not run; the key may be claimed again.
        NotRun,
        /// It may or may not have run.
        Unknown,
    }

    /// One claim.
    #[derive(Eq)]
    pub struct ClaimRecord {
        /// Who claimed it.
        pub token: ClaimToken,
        /// A hash of the request, to tell another request under the same key.
        pub request: u64,
        /// What became of it.
        pub state: ClaimState,
        /// When the claim may be forgotten.
        pub expires: clock::UnixMillis,
        /// When the request's own deadline has passed for certain.
        pub settled_by: clock::UnixMillis,
    }

    /// The outcome of a claim that stands in this segment or an earlier one.
    #[derive(Eq)]
    pub struct Settlement {
        /// Who claimed it.
        pub token: ClaimToken,
        /// What became of it.
        pub state: ClaimState,
    }

    /// An object that holds claims and the outcomes of earlier ones.
    #[derive(Eq, Default)]
    pub struct Segment {
        /// Whether nothing more may be added.
        pub sealed: bool,
        /// Claims by key.
        pub claims: BTreeMap<ClaimKey, ClaimRecord>,
        /// Outcomes by key.
        pub settled: BTreeMap<ClaimKey, Settlement>,
    }
}

impl Segment {
    /// Whether the segment holds as much as it should.
    pub fn is_full(&self) -> bool {
        self.claims.len() + self.settled.len() >= SEGMENT_ENTRIES_MAX
    }

    /// When its last claim may be forgotten.
    pub fn expires(&self) -> Option<clock::UnixMillis> {
        self.claims.values().map(|claim| claim.expires).max()
    }
}

/// A segment as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// Its number in the shard.
    pub number: SegmentNumber,
    /// The version of its object.
    pub version: sizes::ObjectVersion,
    /// Its content.
    pub segment: Segment,
}
