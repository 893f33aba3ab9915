//! Selection of the subset of upstreams that a node keeps connections to.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use model::{config, digest, ids};

/// Maximum number of connections of the whole fleet to one upstream, as far as
/// [`SUBSET_SIZE_MIN`] allows.
const FLEET_CONNECTIONS_MAX: usize = 300;
/// Maximum number of connections of one node to one upstream.
const NODE_CONNECTIONS_MAX: usize = 4;
/// Minimum number of upstreams in a subset.
const SUBSET_SIZE_MIN: usize = 6;

/// Selects the subset of a service's upstreams that a node prefers.
///
/// The size of the subset bounds the connections to each upstream. Half of the subset is
/// in the node's own data centre if that has enough upstreams.
pub fn choose_subset(
    node: &ids::NodeId,
    local_data_centre: &ids::DataCentreId,
    service: &config::Service,
    nodes: usize,
) -> BTreeSet<ids::UpstreamId> {
    let count = service.upstreams.len();
    let size = subset_size(count, nodes);
    let mut ranked: Vec<_> = service.upstreams.iter().collect();
    ranked.sort_by_cached_key(|up| Reverse(stable_rank(node, &up.id)));
    let (local, remote): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|up| up.data_centre == *local_data_centre);
    let local_size = local
        .len()
        .min(size.div_ceil(2).max(size.saturating_sub(remote.len())));
    let selected = local
        .iter()
        .take(local_size)
        .chain(remote.iter().take(size - local_size));
    selected.map(|up| up.id.clone()).collect()
}

/// The size of the subset of so many upstreams at each of so many nodes.
pub fn subset_size(upstreams: usize, nodes: usize) -> usize {
    let share = upstreams * FLEET_CONNECTIONS_MAX / (nodes.max(1) * NODE_CONNECTIONS_MAX);
    share.max(SUBSET_SIZE_MIN).min(upstreams)
}

fn stable_rank(node: &ids::NodeId, upstream: &ids::UpstreamId) -> u64 {
    digest::stable_hash(&[node.as_str().as_bytes(), upstream.as_str().as_bytes()])
}
