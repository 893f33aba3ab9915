//! The upstreams that a node prefers if they are assigned to the nodes.

use std::collections::BTreeMap;

use model::{config, ids};

use super::assignment::{self, AssignedUpstream, width_step};
use super::subset;
use super::width::SubsetShape;

/// Upstreams of other data centres in a subset, if the local ones are enough. They get requests
/// that no local upstream has room for.
const REMOTE_WIDTH_MIN: usize = 4;

model::text_enum! {
    /// How the upstreams that a node prefers are selected.
    pub enum Placement {
        /// By a hash of the node and the upstream.
        Hashed = "hashed",
        /// By an even assignment to the nodes of the data centre, as many as the node's requests
        /// call for.
        Assigned = "assigned",
    }
}

/// An upstream that is assigned to a node.
#[derive(Debug, Clone)]
struct RankedUpstream {
    id: ids::UpstreamId,
    /// The places that it has in the lists of all nodes, sorted.
    places: Vec<usize>,
}

impl RankedUpstream {
    /// Nodes that have the upstream if all have subsets of this width.
    fn sharing_nodes(&self, width: usize) -> u32 {
        let count = self.places.partition_point(|place| *place < width);
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// The upstreams of a service that are assigned to one node, by data centre.
#[derive(Debug, Clone, Default)]
pub struct NodeAssignment {
    /// Nodes and upstreams of the node's data centre.
    shape: Option<SubsetShape>,
    local: Vec<RankedUpstream>,
    /// Of each other data centre: the upstreams, and the share of the remote slots.
    remote: Vec<(f64, Vec<RankedUpstream>)>,
    /// Maximum width of the subset.
    width_max: usize,
}

impl NodeAssignment {
    /// Assigns the upstreams of a service to the nodes of a data centre and returns the part of
    /// one node. `local_nodes` are sorted and contain `node`; `nodes` is their number in the
    /// fleet.
    pub fn new(
        node: &ids::NodeId,
        data_centre: &ids::DataCentreId,
        service: &config::Service,
        local_nodes: &[ids::NodeId],
        nodes: usize,
    ) -> Self {
        let active = service.upstreams.iter();
        let active = active.filter(|up| up.state == config::UpstreamState::Active);
        let mut by_centre: BTreeMap<_, Vec<AssignedUpstream<'_>>> = BTreeMap::new();
        for upstream in active {
            let upstreams = by_centre.entry(&upstream.data_centre).or_default();
            upstreams.push(AssignedUpstream {
                id: &upstream.id,
                slots: upstream.slots.get(),
            });
        }
        for upstreams in by_centre.values_mut() {
            upstreams.sort_by_key(|up| up.id);
        }
        let Ok(own_index) = local_nodes.binary_search(node) else {
            return Self::default();
        };
        let width_max = subset::subset_size(service.upstreams.len(), nodes);
        let assigned_to_node = |upstreams: &[AssignedUpstream<'_>]| -> Vec<RankedUpstream> {
            let assigned = assignment::assign(local_nodes, upstreams, width_max);
            let mut places = vec![Vec::new(); upstreams.len()];
            for of_node in &assigned {
                for (place, index) in of_node.iter().enumerate() {
                    places[*index].push(place);
                }
            }
            let own = assigned[own_index].iter().map(|index| {
                let mut places = std::mem::take(&mut places[*index]);
                places.sort_unstable();
                RankedUpstream {
                    id: upstreams[*index].id.clone(),
                    places,
                }
            });
            own.collect()
        };
        let local = by_centre.remove(data_centre).unwrap_or_default();
        let remote_slots: u32 = by_centre.values().map(|ups| slots_of(ups)).sum();
        let remote = by_centre.values().map(|upstreams| {
            let share = f64::from(slots_of(upstreams)) / f64::from(remote_slots.max(1));
            (share, assigned_to_node(upstreams))
        });
        Self {
            shape: Some(SubsetShape {
                nodes: local_nodes.len(),
                upstreams: local.len(),
                slots: slots_of(&local),
            }),
            remote: remote.collect(),
            local: assigned_to_node(&local),
            width_max,
        }
    }

    /// The nodes and upstreams among which the upstreams are assigned; `None` if the node itself
    /// is not among them.
    pub const fn shape(&self) -> Option<SubsetShape> {
        self.shape
    }

    /// The node's subset with a given number of local upstreams, if there are as many, and the
    /// number of nodes that have each upstream.
    pub fn subset(&self, width: usize) -> BTreeMap<ids::UpstreamId, u32> {
        let local_width = width.min(self.width_max).min(self.local.len());
        let missing = width.min(self.width_max) - local_width;
        let remote_width = missing.max(REMOTE_WIDTH_MIN);
        let with_count = |width: usize| {
            move |upstream: &RankedUpstream| (upstream.id.clone(), upstream.sharing_nodes(width))
        };
        let local = self.local[..local_width].iter();
        let mut subset: BTreeMap<_, _> = local.map(with_count(local_width)).collect();
        for (share, upstreams) in &self.remote {
            let share = share_of(remote_width, *share, missing);
            let width = width_step(share).min(upstreams.len());
            subset.extend(upstreams[..width].iter().map(with_count(width)));
        }
        subset
    }
}

fn slots_of(upstreams: &[AssignedUpstream<'_>]) -> u32 {
    upstreams.iter().map(|up| up.slots).sum()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts of upstreams are small"
)]
fn share_of(count: usize, share: f64, missing: usize) -> usize {
    // Upstreams that take the place of local ones are not to be fewer than these. The others are
    // rounded to the nearest number, which a single drain seldom changes.
    let share = count as f64 * share;
    let rounded = if missing > 0 {
        share.ceil()
    } else {
        share.round()
    };
    (rounded as usize).max(1)
}
