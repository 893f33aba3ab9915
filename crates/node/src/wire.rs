//! Messages between nodes, encoded by a compact binary codec.

use std::collections::BTreeMap;

use model::config::{RouteSnapshot, SnapshotVersion, UpstreamSnapshot};
use model::{digest, ids, sizes};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimVerdict, Settlement};
use policy::detection::{EvidenceReport, ServiceLatency, VerdictChange};
use policy::ejection::EjectionRecord;
use policy::membership::Member;
use policy::replica::UpstreamChange;
use policy::service::{LoadReport, UpstreamLoad};
use policy::suspicion::SuspicionSignal;
use quick_error::quick_error;

/// The largest message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

model::record! {
    /// What a node knows of configuration and ejections, in brief.
    #[derive(Eq, Copy)]
    pub struct StateMark {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// A hash over the versions of all ejection records.
        pub records: u64,
    }

    /// An ejection record with the version of its object.
    #[derive(Eq)]
    pub struct VersionedRecord {
        /// The version.
        pub version: sizes::ObjectVersion,
        /// The record.
        pub record: EjectionRecord,
    }

    /// How new a node's books are.
    #[derive(Eq, Copy, Default)]
    pub struct ReplicaMark {
        /// The generation of its route book; zero when it has none.
        pub generation: sizes::Generation,
        /// The mark of its upstream book.
        pub upstreams: SnapshotVersion,
    }

    /// What one node asks of another about the books.
    pub enum ReplicaRequest {
        /// Compare how new our books are, and who is in the fleet.
        Compare {
            /// The asking node.
            from: Member,
            /// How new its books are.
            mark: ReplicaMark,
            /// How many members it knows.
            members: u32,
        },
        /// Take a change of the upstream book.
        Change {
            /// The sending node, which has the whole book.
            from: Member,
            /// The change.
            change: UpstreamChange,
        },
        /// A relay reads the source, and its books are as new as the mark says.
        Heartbeat {
            /// The relay.
            from: Member,
            /// How new its books are.
            mark: ReplicaMark,
        },
        /// Send the route book.
        Routes,
        /// Send the upstream book.
        Upstreams,
    }

    /// What a node replies about the books.
    pub enum ReplicaReply {
        /// How new its books are, and members that the asker may not know.
        Mark {
            /// The replying node.
            from: Member,
            /// How new its books are.
            mark: ReplicaMark,
            /// Members; none when both know as many.
            members: Vec<Member>,
        },
        /// Its route book.
        Routes(Option<RouteSnapshot>),
        /// Its upstream book.
        Upstreams(Option<UpstreamSnapshot>),
    }

    /// What one node asks of another.
    pub enum NodeRequest {
        /// Take evidence.
        Evidence(Vec<EvidenceReport>),
        /// Take verdicts.
        Verdicts(Vec<VerdictChange>),
        /// Take the usual latency of services.
        Estimate(Vec<ServiceLatency>),
        /// Take the news that an upstream drains.
        Drained {
            /// The service.
            service: ids::ServiceId,
            /// The upstream.
            upstream: ids::UpstreamId,
        },
        /// Compare what we know; `from` may be asked for more.
        Compare {
            /// The asking node, which the other may not know yet.
            from: Member,
            /// What it knows.
            mark: StateMark,
        },
        /// Send the root in force, as it is stored.
        Root,
        /// Send chunks as they are stored.
        Chunks(Vec<digest::ContentHash>),
        /// Send every ejection record.
        Records,
        /// Claim a key.
        Claim(ClaimAttempt),
        /// Store what became of claimed requests.
        Settle(Vec<(ClaimKey, Settlement)>),
        /// Apply suspicion signals about upstreams.
        #[serde(rename = "Doubts")]
        Signals {
            /// The signals.
            #[serde(rename = "doubts")]
            signals: Vec<SuspicionSignal>,
            /// Whether to tell the neighbours as well.
            pass_on: bool,
        },
        /// Take what a neighbour has in flight; sent to the relay, which sums.
        Loads {
            /// The neighbour.
            from: ids::NodeId,
            /// What it tells of one service.
            report: LoadReport,
        },
        /// Draw a repeat from the data centre's pool.
        DrawRepeat(ids::ServiceId),
        /// Take what the data centre has in flight.
        LoadSums(Vec<UpstreamLoad>),
        /// Keep the books in line.
        Replica(ReplicaRequest),
    }

    /// What a node replies.
    pub enum NodeReply {
        /// Done.
        Done,
        /// What it knows, in brief.
        Mark(StateMark),
        /// The bytes of the root.
        Root(Vec<u8>),
        /// The bytes of the chunks that it has.
        Chunks(BTreeMap<digest::ContentHash, Vec<u8>>),
        /// Every ejection record.
        Records(Vec<VersionedRecord>),
        /// What a claim came to.
        Claim(ClaimVerdict),
        /// A reply about the books.
        Replica(ReplicaReply),
        /// Whether there was a repeat.
        Repeat(bool),
        /// It cannot do what was asked.
        Unable(String),
    }
}

quick_error! {
    /// A message that cannot be read or written.
    #[derive(Debug)]
    pub enum WireError {
        /// The codec refused it.
        Codec(why: postcard::Error) {
            from()
            display("the message cannot be read or written: {}", why)
        }
    }
}

/// Encodes a message.
///
/// # Errors
/// [`WireError`] when the codec refuses it.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    Ok(postcard::to_stdvec(message)?)
}

/// Decodes a message.
///
/// # Errors
/// [`WireError`] when the bytes are no message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    Ok(postcard::from_bytes(bytes)?)
}
