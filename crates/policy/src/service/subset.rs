//! Which upstreams a node keeps connections to.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use model::{config, digest, ids};

/// Connections to one upstream that the whole fleet should hold at most.
const FLEET_CONNECTIONS: usize = 300;
/// Connections that one node may hold to one upstream.
const NODE_CONNECTIONS: usize = 4;
/// The fewest upstreams of a subset.
const SUBSET_MIN: usize = 6;

/// Picks the upstreams of a service that a node uses first.
///
/// The size keeps the connections to each upstream under its bound. Half of the
/// subset stands in the node's own data centre where there are enough.
pub fn choose_subset(
    node: &ids::NodeId,
    home: &ids::DataCentreId,
    service: &config::Service,
    nodes: usize,
) -> BTreeSet<ids::UpstreamId> {
    let count = service.upstreams.len();
    let size = subset_size(count, nodes);
    let mut ranked: Vec<_> = service.upstreams.iter().collect();
    ranked.sort_by_cached_key(|up| Reverse(weight(node, &up.id)));
    let (near, far): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|up| up.data_centre == *home);
    let near_size = near
        .len()
        .min(size.div_ceil(2).max(size.saturating_sub(far.len())));
    let chosen = near
        .iter()
        .take(near_size)
        .chain(far.iter().take(size - near_size));
    chosen.map(|up| up.id.clone()).collect()
}

fn subset_size(upstreams: usize, nodes: usize) -> usize {
    let share = upstreams * FLEET_CONNECTIONS / (nodes.max(1) * NODE_CONNECTIONS);
    share.max(SUBSET_MIN).min(upstreams)
}

fn weight(node: &ids::NodeId, upstream: &ids::UpstreamId) -> u64 {
    digest::stable_hash(&[node.as_str().as_bytes(), upstream.as_str().as_bytes()])
}
