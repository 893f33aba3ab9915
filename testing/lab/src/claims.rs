//! Cost of claims: measured at a shard with many claims, and extrapolated to the target size.

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    ClaimKey, ClaimRecord, ClaimState, SEGMENT_ENTRIES_MAX, SHARD_COUNT, Segment, SegmentNumber,
    ShardBatcher, ShardId, StoredSegment,
};

use crate::control::{RowSink, TARGET_REQUESTS_PER_SECOND, parse_id};
use crate::load::resident_bytes;
use crate::report::{Bound, Report, to_f64};
use crate::settings::LabSettings;

/// Claims of the measured shard.
const MEASURED_CLAIMS: usize = 51_200;
/// How long claims are kept in the extrapolation, in hours.
const CLAIM_RETENTION_HOURS: f64 = 6.0;
/// Limit on the updates of one shard per second, for an interval of 100 ms between them.
const WRITES_PER_SECOND_MAX: f64 = 10.0;

/// Runs the experiment; the seconds are not used.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("claims", settings);
    let mut sink = RowSink {
        report: &mut report,
    };
    let cost = measure_claims(&mut sink);
    add_target_rows(&mut sink, &cost);
    report.finish()
}

/// The cost of one claim.
struct ClaimCost {
    /// Memory of a claim at its batcher, in bytes.
    memory_bytes: f64,
    /// Size of a claim in a stored segment, in bytes.
    stored_bytes: f64,
}

/// Loads a shard with many claims, like a batcher that takes the shard over. The measured
/// memory includes the segments read and the claims kept.
fn measure_claims(sink: &mut RowSink<'_>) -> ClaimCost {
    let before = resident_bytes();
    let segments = (0..MEASURED_CLAIMS / SEGMENT_ENTRIES_MAX).map(|number| {
        let claims = (0..SEGMENT_ENTRIES_MAX).map(|index| {
            let key = ClaimKey::of(
                &parse_id("service-0000"),
                None,
                &format!("{number}-{index}"),
            );
            let record = ClaimRecord {
                token: parse_id(&format!("node-000-0123456789abcdef-{number}{index}")),
                request: 1,
                state: ClaimState::Claimed,
                expires: UnixMillis::new(u64::MAX),
                settled_by: UnixMillis::new(u64::MAX),
            };
            (key, record)
        });
        let segment = Segment {
            sealed: true,
            claims: claims.collect(),
            ..Segment::default()
        };
        StoredSegment {
            number: SegmentNumber::new(number as u64),
            version: ObjectVersion::new(1),
            segment,
        }
    });
    let segments: Vec<_> = segments.collect();
    let bytes = serde_json::to_vec(&segments[0].segment).map_or(0, |bytes| bytes.len());
    let stored_bytes = to_f64((bytes / SEGMENT_ENTRIES_MAX) as u64);
    sink.add_unit_cost("size of a claim in its segment", "bytes", stored_bytes);
    let mut batcher = ShardBatcher::new(ShardId::new(0));
    let started = std::time::Instant::now();
    batcher.load(UnixMillis::new(1), segments);
    let load_micros = started.elapsed().as_secs_f64() * 1e6 / to_f64(MEASURED_CLAIMS as u64);
    let memory_bytes =
        to_f64(resident_bytes().saturating_sub(before)) / to_f64(MEASURED_CLAIMS as u64);
    sink.add_unit_cost(
        "peak memory of a claim at its batcher",
        "bytes",
        memory_bytes,
    );
    sink.add_unit_cost(
        "loading a claim when a shard is taken over",
        "us",
        load_micros,
    );
    ClaimCost {
        memory_bytes,
        stored_bytes,
    }
}

/// Adds the costs of a batcher at the target size when one request in a hundred carries a
/// key.
fn add_target_rows(sink: &mut RowSink<'_>, cost: &ClaimCost) {
    let case = "1 in 100 requests keyed, remembered for 6 h";
    let claims_per_second = TARGET_REQUESTS_PER_SECOND / 100.0 / to_f64(SHARD_COUNT);
    let retained_claims = claims_per_second * CLAIM_RETENTION_HOURS * 3_600.0;
    sink.add(
        case,
        "claims held by a batcher",
        "claims",
        retained_claims,
        Bound::Unbounded,
    );
    let memory = retained_claims * cost.memory_bytes / 1e6;
    sink.add(case, "memory of a batcher", "MB", memory, Bound::Unbounded);
    let writes_per_second = claims_per_second.min(WRITES_PER_SECOND_MAX);
    sink.add(
        case,
        "platform writes",
        "calls/s",
        writes_per_second * to_f64(SHARD_COUNT),
        Bound::AtMost(500.0),
    );
    let half_segment_bytes = to_f64(SEGMENT_ENTRIES_MAX as u64) / 2.0 * cost.stored_bytes;
    sink.add(
        case,
        "bytes of claims sent by a batcher",
        "bytes/s",
        writes_per_second * half_segment_bytes,
        Bound::Unbounded,
    );
    let reads = retained_claims * cost.stored_bytes / 1e6;
    sink.add(
        case,
        "reads to take a shard over",
        "calls",
        reads,
        Bound::Unbounded,
    );
}
