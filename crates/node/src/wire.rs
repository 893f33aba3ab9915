//! Messages between nodes and their encoding (postcard).
//!
//! Fields and variants are encoded by position, and nodes of different releases run in
//! one fleet: the order, number and types of fields and variants must not change.

use std::collections::BTreeMap;

use model::config::{AccessTable, RouteSnapshot, SnapshotVersion, UpstreamSnapshot};
use model::fingerprint::RequestFingerprint;
use model::{digest, ids, sizes};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimVerdict, Settlement};
use policy::detection::{EvidenceReport, ServiceLatency, VerdictChange};
use policy::ejection::EjectionRecord;
use policy::membership::Member;
use policy::office::{HolderTime, OfficeTerm};
use policy::permit::{LimitRecord, LimitReport, LimitShard, PermitReply, PermitRequest};
use policy::quarantine::{CrashRecord, CrashReport};
use policy::quota::{QuotaDraw, QuotaGrant};
use policy::replica::UpstreamChange;
use policy::service::{LoadReport, UpstreamLoad};
use policy::suspicion::SuspicionSignal;
use quick_error::quick_error;

/// Maximum size of a message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

model::record! {
    /// Summary of the configuration and the ejection records that a node has.
    #[derive(Eq, Copy)]
    pub struct StateSummary {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// A hash over the versions of all ejection records; zero without records.
        pub records: u64,
    }

    /// An ejection record with the version of its object.
    #[derive(Eq)]
    pub struct VersionedRecord {
        /// The version of the stored object.
        pub version: sizes::ObjectVersion,
        /// The record.
        pub record: EjectionRecord,
    }

    /// Versions of the snapshots that a node has.
    #[derive(Eq, Copy, Default)]
    pub struct ReplicaSummary {
        /// The generation of its routes; zero when it has none.
        pub generation: sizes::Generation,
        /// The version of its upstreams.
        pub upstreams: SnapshotVersion,
    }

    /// A request about snapshots from one node to another.
    pub enum ReplicaRequest {
        /// Compare the versions of the snapshots, and the members of the fleet.
        Compare {
            /// The requesting node.
            from: Member,
            /// The versions that it has.
            #[serde(rename = "mark")]
            summary: ReplicaSummary,
            /// How many members it knows.
            members: u32,
        },
        /// Apply a change of upstreams.
        Change {
            /// The sending node, from which the whole snapshot can be fetched.
            from: Member,
            /// The change.
            change: UpstreamChange,
        },
        /// A snapshot relay reads the source successfully and has snapshots of these versions.
        Heartbeat {
            /// The relay.
            from: Member,
            /// The versions that it has.
            #[serde(rename = "mark")]
            summary: ReplicaSummary,
        },
        /// Return the routes.
        Routes,
        /// Return the upstreams.
        Upstreams,
        /// Return the routes with the access of callers.
        RoutesWithAccess,
    }

    /// A reply about snapshots.
    pub enum ReplicaReply {
        /// The versions of the node's snapshots, and members that the requesting node may
        /// lack.
        #[serde(rename = "Mark")]
        Summary {
            /// The replying node.
            from: Member,
            /// The versions that it has.
            #[serde(rename = "mark")]
            summary: ReplicaSummary,
            /// Members; empty when both nodes know the same number of members.
            members: Vec<Member>,
        },
        /// The node's routes; `None` when it has none.
        Routes(Option<RouteSnapshot>),
        /// The node's upstreams; `None` when it has none.
        Upstreams(Option<UpstreamSnapshot>),
        /// The node's routes with the access of callers; `None` when it has none.
        RoutesWithAccess(Option<(RouteSnapshot, Option<AccessTable>)>),
    }

    /// A request about rate limits from one node to another.
    pub enum LimitRequest {
        /// Draw a permit; sent to the owner of the limits.
        Draw(PermitRequest),
        /// Apply what a response stated about a limit; sent to the owner of the limit.
        Report(LimitReport),
        /// Apply limits that their owner announces.
        Announce {
            /// The limits.
            records: Vec<LimitRecord>,
            /// Whether to forward them to the other nodes of the data centre.
            forward: bool,
        },
        /// Return the limits that the node knows.
        List,
        /// Votes of an earlier release. They do not tell when they were cast, so they do not count.
        Votes {
            /// The node that votes.
            from: ids::NodeId,
            /// The services whose limits the votes are about.
            services: Vec<ids::ServiceId>,
            /// The nodes of the data centre that have a vote, as far as the sender knows.
            voters: u32,
        },
    }

    /// A reply about rate limits.
    pub enum LimitReply {
        /// The result of a draw; `None` if the node does not own the limits.
        Drawn(Option<PermitReply>),
        /// The limits that the node knows.
        Records(Vec<LimitRecord>),
    }

    /// A request to the holder of an office. It names the process that it is meant for: another
    /// one at the same address does not act on it.
    pub enum OfficeRequest {
        /// Count the vote of a node.
        Vote {
            /// The process that is to count it.
            holder: ids::NodeId,
            /// The node that votes.
            from: ids::NodeId,
            /// The offices.
            offices: OfficeNames,
            /// The last time of the holder that the sender heard; `None` only asks for it.
            heard: Option<HolderTime>,
            /// The nodes of the data centre that have a vote, as far as the sender knows.
            voters: u32,
        },
        /// Count no vote of the node any more that was cast until now.
        Release {
            /// The process that counts it.
            holder: ids::NodeId,
            /// The node that voted.
            from: ids::NodeId,
            /// The offices.
            offices: OfficeNames,
        },
        /// Draw a permit.
        DrawPermit {
            /// The owner of the limits.
            holder: ids::NodeId,
            /// The draw.
            request: PermitRequest,
        },
        /// Draw a retry token.
        DrawRetryToken {
            /// The relay of the data centre.
            holder: ids::NodeId,
            /// The service.
            service: ids::ServiceId,
        },
        /// Draw tokens of a workspace's quota.
        DrawQuota {
            /// The relay of a data centre.
            holder: ids::NodeId,
            /// The draw.
            draw: QuotaDraw,
        },
    }

    /// Offices of a data centre.
    pub enum OfficeNames {
        /// The owners of the limits of these shards.
        Limits(Vec<LimitShard>),
        /// The relay that has the retry tokens.
        RetryTokens,
    }

    /// A reply of the holder of an office, on the stream of the request.
    pub enum OfficeReply {
        /// The time of the holder when it handled a vote or a release.
        Time(HolderTime),
        /// The result of a draw of a permit, and the term in which it was granted.
        Permit(OfficeTerm, PermitReply),
        /// The term in which a retry token was granted; `None` if there was none.
        RetryToken(Option<OfficeTerm>),
        /// The request was meant for another process, or this one does not hold the office.
        NotHolder,
        /// The result of a draw of quota tokens.
        QuotaTokens(QuotaGrant),
    }

    /// A request about crashes from one node to another.
    pub enum CrashRequest {
        /// Record that upstreams crashed while they ran requests.
        Reports {
            /// The reports.
            reports: Vec<CrashReport>,
            /// Whether to forward them to the other nodes of the data centre.
            forward: bool,
        },
        /// Clear a request that completed a run.
        Completed {
            /// The request.
            request: RequestFingerprint,
            /// Whether to forward this to the other nodes of the data centre.
            forward: bool,
        },
        /// Draw a trial of a quarantined request; sent to the owner of its trials.
        DrawTrial(RequestFingerprint),
        /// Return the crashes that the node remembers.
        List,
        /// Record crashes with all their suspects.
        Records {
            /// The crashes.
            records: Vec<CrashRecord>,
            /// Whether to forward them to the other nodes of the data centre.
            forward: bool,
        },
    }

    /// A reply about crashes.
    pub enum CrashReply {
        /// Whether a trial was granted.
        Trial(bool),
        /// The crashes that the node remembers.
        Records(Vec<CrashRecord>),
    }

    /// A request from one node to another.
    pub enum NodeRequest {
        /// Record evidence as a collector.
        Evidence(Vec<EvidenceReport>),
        /// Apply verdicts.
        Verdicts(Vec<VerdictChange>),
        /// Apply the median latency of services.
        Estimate(Vec<ServiceLatency>),
        /// An upstream started to drain.
        Drained {
            /// The service.
            service: ids::ServiceId,
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// Compare the summaries of configuration and ejection records.
        Compare {
            /// The requesting node, which the other may not know yet.
            from: Member,
            /// The requesting node's summary.
            #[serde(rename = "mark")]
            summary: StateSummary,
        },
        /// Return the root in force, as it is stored.
        Root,
        /// Return chunks as they are stored.
        Chunks(Vec<digest::ContentHash>),
        /// Return every ejection record.
        Records,
        /// Claim a key.
        Claim(ClaimAttempt),
        /// Store the outcomes of claimed requests.
        Settle(Vec<(ClaimKey, Settlement)>),
        /// Apply suspicion signals about upstreams.
        #[serde(rename = "Doubts")]
        Signals {
            /// The signals.
            #[serde(rename = "doubts")]
            signals: Vec<SuspicionSignal>,
            /// Whether to forward them to the other nodes of the data centre.
            #[serde(rename = "pass_on")]
            forward: bool,
        },
        /// Add a node's load to the sums of the data centre; sent to its snapshot relay.
        Loads {
            /// The reporting node.
            from: ids::NodeId,
            /// Its load for one service.
            report: LoadReport,
        },
        /// Draw a retry token from the data centre's pool; sent to its snapshot relay.
        #[serde(rename = "DrawRepeat")]
        DrawRetryToken(ids::ServiceId),
        /// Apply the sums of requests in flight in the data centre.
        LoadSums(Vec<UpstreamLoad>),
        /// A request about snapshots.
        Replica(ReplicaRequest),
        /// A request about rate limits.
        Limit(LimitRequest),
        /// A request about crashes.
        Crash(CrashRequest),
        /// Send suspicion signals to all nodes; sent to the relay of the data centre.
        PublishSignals {
            /// The node that raised them.
            from: ids::NodeId,
            /// The signals.
            signals: Vec<SuspicionSignal>,
        },
        /// Record that upstreams state that they drain.
        Drains {
            /// The upstreams, with their services.
            drains: Vec<(ids::ServiceId, ids::UpstreamId)>,
            /// Whether to forward them to the other nodes of the data centre.
            forward: bool,
        },
        /// A request to the holder of an office.
        Office(OfficeRequest),
    }

    /// A reply to a [`NodeRequest`].
    pub enum NodeReply {
        /// The request was handled and has no result.
        Done,
        /// The node's summary of configuration and ejection records.
        #[serde(rename = "Mark")]
        Summary(StateSummary),
        /// The bytes of the root.
        Root(Vec<u8>),
        /// The bytes of the requested chunks that the node has.
        Chunks(BTreeMap<digest::ContentHash, Vec<u8>>),
        /// Every ejection record.
        Records(Vec<VersionedRecord>),
        /// The verdict on a claim.
        Claim(ClaimVerdict),
        /// A reply about snapshots.
        Replica(ReplicaReply),
        /// Whether a retry token was drawn.
        #[serde(rename = "Repeat")]
        RetryToken(bool),
        /// The request failed, with the reason.
        #[serde(rename = "Unable")]
        Failed(String),
        /// A reply about rate limits.
        Limit(LimitReply),
        /// A reply about crashes.
        Crash(CrashReply),
        /// A reply of the holder of an office.
        Office(OfficeReply),
    }
}

impl OfficeRequest {
    /// The process that the request is meant for.
    pub const fn holder(&self) -> &ids::NodeId {
        match self {
            Self::Vote { holder, .. }
            | Self::Release { holder, .. }
            | Self::DrawPermit { holder, .. }
            | Self::DrawRetryToken { holder, .. }
            | Self::DrawQuota { holder, .. } => holder,
        }
    }
}

quick_error! {
    /// A failure to encode or decode a message.
    #[derive(Debug)]
    pub enum WireError {
        /// The codec's error.
        Codec(error: postcard::Error) {
            from()
            display("cannot encode or decode the message: {}", error)
        }
    }
}

/// Encodes a message.
///
/// # Errors
/// [`WireError`] when the codec cannot represent the message.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    Ok(postcard::to_stdvec(message)?)
}

/// Decodes a message.
///
/// # Errors
/// [`WireError`] when the bytes are not a message of this type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    Ok(postcard::from_bytes(bytes)?)
}
