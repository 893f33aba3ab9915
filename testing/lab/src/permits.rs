//! Cost of the permits for upstreams with a rate limit, in single steps.

use model::ids::{DataCentreId, ServiceId};
use model::sizes::{RateLimit, Share};
use node::wire::{self, LimitRequest, NodeRequest};
use policy::membership::MemberTable;
use policy::permit::{LimitState, LimitVersion, PermitCandidate, PermitLedger, PermitRequest};
use tokio::time::Instant;

use crate::control::{RowSink, STEP_ITERATIONS, mean_micros, parse_id};
use crate::report::to_f64;

/// Limited upstreams of a service in one data centre.
const CANDIDATE_COUNT: usize = 3;
/// Iterations over which the cost of finding an owner is averaged.
const OWNER_ITERATIONS: u32 = 500;

/// Measures a draw of a permit: its size, its encoding, finding the owner among the members
/// of a whole fleet, and granting it.
pub(crate) fn measure(sink: &mut RowSink<'_>, table: &MemberTable) {
    let (service, centre): (ServiceId, DataCentreId) =
        (parse_id("service-0000"), parse_id("centre-0"));
    let request = PermitRequest {
        service: service.clone(),
        data_centre: centre.clone(),
        candidates: (0..CANDIDATE_COUNT).map(candidate).collect(),
    };
    let message = NodeRequest::Limit(LimitRequest::Draw(request.clone()));
    let bytes = wire::encode(&message).map_or(0, |bytes| bytes.len());
    sink.add_unit_cost("size of a draw of a permit", "bytes", to_f64(bytes as u64));
    let codec_micros = mean_micros(STEP_ITERATIONS, || {
        let bytes = wire::encode(&message).unwrap_or_default();
        let decoded: Result<NodeRequest, _> = wire::decode(&bytes);
        assert!(decoded.is_ok());
    });
    sink.add_unit_cost("encoding and decoding a draw", "us", codec_micros);
    let owner_micros = mean_micros(OWNER_ITERATIONS, || {
        let owner = table.limit_owner(Instant::now(), &service, &centre);
        assert!(owner.is_some());
    });
    sink.add_unit_cost("finding the owner of a limit", "us", owner_micros);
    let mut ledger = PermitLedger::default();
    let draw_micros = mean_micros(STEP_ITERATIONS, || {
        let reply = ledger.draw(Instant::now(), &request, Share::new(1.0));
        assert_eq!(reply.outlooks.len(), CANDIDATE_COUNT);
    });
    sink.add_unit_cost("granting or refusing a permit", "us", draw_micros);
}

fn candidate(number: usize) -> PermitCandidate {
    PermitCandidate {
        upstream: parse_id(&format!("upstream-0000-{number:02}")),
        state: LimitState {
            rate: Some(RateLimit::per_second(3.0)),
            version: LimitVersion::new(1),
        },
    }
}
