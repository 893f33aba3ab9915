//! What claims cost: a shard with many of them, drawn out to the target size.

use model::clock::UnixMillis;
use model::sizes::ObjectVersion;
use policy::claim::{
    ClaimKey, ClaimRecord, ClaimState, SEGMENT_ENTRIES_MAX, SHARD_COUNT, Segment, SegmentNumber,
    ShardBatcher, ShardId, StoredSegment,
};

use crate::control::{REQUESTS_PER_SECOND, Sink, parse_name};
use crate::load::resident_bytes;
use crate::report::{Bound, Report, figure};
use crate::settings::LabSettings;

/// Claims of the measured shard.
const CLAIMS: usize = 51_200;
/// How long claims are remembered in the example.
const CLAIM_HOURS: f64 = 6.0;
/// Updates of one shard in a second, at most, with a pace of 100 ms.
const WRITES_PER_SHARD: f64 = 10.0;

/// Runs the experiment.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("claims", settings);
    let mut sink = Sink {
        report: &mut report,
    };
    let claims = measure_claims(&mut sink);
    draw_out_claims(&mut sink, &claims);
    report.finish()
}

/// What claims cost.
struct Claims {
    /// Bytes of memory of a claim at its batcher.
    memory: f64,
    /// Bytes of a claim in a stored segment.
    stored: f64,
}

/// Loads a shard with many claims, as a batcher does that takes it over; what is
/// read and what is kept count together.
fn measure_claims(sink: &mut Sink<'_>) -> Claims {
    let before = resident_bytes();
    let segments = (0..CLAIMS / SEGMENT_ENTRIES_MAX).map(|number| {
        let claims = (0..SEGMENT_ENTRIES_MAX).map(|place| {
            let key = ClaimKey::of(
                &parse_name("service-0000"),
                None,
                &format!("{number}-{place}"),
            );
            let record = ClaimRecord {
                token: parse_name(&format!("node-000-0123456789abcdef-{number}{place}")),
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
    let stored = figure((bytes / SEGMENT_ENTRIES_MAX) as u64);
    sink.slope("size of a claim in its segment", "bytes", stored);
    let mut batcher = ShardBatcher::new(ShardId::new(0));
    let started = std::time::Instant::now();
    batcher.load(UnixMillis::new(1), segments);
    let load = started.elapsed().as_secs_f64() * 1e6 / figure(CLAIMS as u64);
    let memory = figure(resident_bytes().saturating_sub(before)) / figure(CLAIMS as u64);
    sink.slope("peak memory of a claim at its batcher", "bytes", memory);
    sink.slope("loading a claim when a shard is taken over", "us", load);
    Claims { memory, stored }
}

/// The claims of a batcher when one request in a hundred carries a key.
fn draw_out_claims(sink: &mut Sink<'_>, claims: &Claims) {
    let case = "1 in 100 requests keyed, remembered for 6 h";
    let rate = REQUESTS_PER_SECOND / 100.0 / figure(SHARD_COUNT);
    let held = rate * CLAIM_HOURS * 3_600.0;
    sink.add(
        case,
        "claims held by a batcher",
        "claims",
        held,
        Bound::Free,
    );
    let memory = held * claims.memory / 1e6;
    sink.add(case, "memory of a batcher", "MB", memory, Bound::Free);
    let writes = rate.min(WRITES_PER_SHARD);
    sink.add(
        case,
        "platform writes",
        "calls/s",
        writes * figure(SHARD_COUNT),
        Bound::AtMost(500.0),
    );
    let half = figure(SEGMENT_ENTRIES_MAX as u64) / 2.0 * claims.stored;
    sink.add(
        case,
        "bytes of claims sent by a batcher",
        "bytes/s",
        writes * half,
        Bound::Free,
    );
    let reads = held * claims.stored / 1e6;
    sink.add(
        case,
        "reads to take a shard over",
        "calls",
        reads,
        Bound::Free,
    );
}
