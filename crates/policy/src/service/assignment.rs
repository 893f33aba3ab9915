//! Even assignment of upstreams to the nodes of a data centre.
//!
//! Every node computes the same assignment from the same names, so no message passes. It is drawn
//! for each step of the width in turn: the upstreams of a narrower subset are also
//! in each wider one, so that a node keeps its connections when its width changes, and every step
//! by itself is even over the upstreams.

use std::cmp::Reverse;

use model::{digest, ids};

/// The widths of a subset. Between two of them, about a third of a node's upstreams change.
pub(super) const WIDTH_STEPS: [usize; 14] = [1, 2, 3, 4, 6, 9, 13, 20, 30, 45, 68, 102, 153, 230];

/// An upstream to assign.
#[derive(Debug, Clone, Copy)]
pub struct AssignedUpstream<'a> {
    /// The upstream.
    pub id: &'a ids::UpstreamId,
    /// How many requests it runs at the same time; it gets nodes in proportion.
    pub slots: u32,
}

/// The least width in `WIDTH_STEPS` that is not below `width`; beyond the last step, all.
pub fn width_step(width: usize) -> usize {
    let mut steps = WIDTH_STEPS.into_iter();
    steps.find(|step| *step >= width).unwrap_or(usize::MAX)
}

/// The upstreams of each node, as indices into `upstreams`, those of the narrowest subset first.
///
/// A node's list has `width` upstreams, or all if there are fewer. The first entries up to each
/// of the `WIDTH_STEPS` are even over the upstreams, weighted by their slots.
pub fn assign(
    nodes: &[ids::NodeId],
    upstreams: &[AssignedUpstream<'_>],
    width: usize,
) -> Vec<Vec<usize>> {
    let width = width.min(upstreams.len());
    let mut draft = AssignmentDraft::new(nodes, upstreams);
    let steps = WIDTH_STEPS.into_iter().take_while(|step| *step < width);
    for step in steps.chain([width]) {
        draft.widen(step);
    }
    draft.assigned
}

struct AssignmentDraft {
    /// Pairs of a node and an upstream in the order of their hash.
    pairs: Vec<(usize, usize)>,
    slots: Vec<u32>,
    assigned: Vec<Vec<usize>>,
    /// The nodes that each upstream has.
    counts: Vec<usize>,
}

impl AssignmentDraft {
    fn new(nodes: &[ids::NodeId], upstreams: &[AssignedUpstream<'_>]) -> Self {
        let hash = |name: &str| digest::stable_hash(&[name.as_bytes()]);
        let node_hashes: Vec<_> = nodes.iter().map(|node| hash(node.as_str())).collect();
        let mut ranked = Vec::with_capacity(nodes.len() * upstreams.len());
        for (upstream_index, upstream) in upstreams.iter().enumerate() {
            let upstream_hash = hash(upstream.id.as_str());
            for (node_index, node_hash) in node_hashes.iter().enumerate() {
                let weight = mix(node_hash.rotate_left(32) ^ upstream_hash);
                ranked.push((Reverse(weight), node_index, upstream_index));
            }
        }
        ranked.sort_unstable();
        let pairs = ranked
            .into_iter()
            .map(|(_, node, upstream)| (node, upstream));
        Self {
            pairs: pairs.collect(),
            slots: upstreams.iter().map(|up| up.slots.max(1)).collect(),
            assigned: vec![Vec::new(); nodes.len()],
            counts: vec![0; upstreams.len()],
        }
    }

    /// Assigns upstreams until every node has `width`. The upstreams get their share of the pairs
    /// rounded down first, then rounded up. Where a node has no other choice left, one gets more.
    fn widen(&mut self, width: usize) {
        let shares = self.shares(width);
        self.fill(width, |upstream| shares[upstream].floor());
        let mut excess = 0.0;
        while self.assigned.iter().any(|own| own.len() < width) {
            self.fill(width, |upstream| shares[upstream].ceil() + excess);
            excess += 1.0;
        }
    }

    /// Pairs that each upstream is to have if every node has `width`.
    #[expect(clippy::cast_precision_loss, reason = "counts of nodes are small")]
    fn shares(&self, width: usize) -> Vec<f64> {
        let pairs = (width * self.assigned.len()) as f64;
        let all_slots: f64 = self.slots.iter().copied().map(f64::from).sum();
        let shares = self.slots.iter();
        shares
            .map(|slots| pairs * f64::from(*slots) / all_slots)
            .collect()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of nodes are small")]
    fn fill(&mut self, width: usize, count_max: impl Fn(usize) -> f64) {
        let Self {
            pairs,
            assigned,
            counts,
            ..
        } = self;
        pairs.retain(|(node, upstream)| {
            let has_room = (counts[*upstream] + 1) as f64 <= count_max(*upstream);
            let takes = has_room && assigned[*node].len() < width;
            if takes {
                assigned[*node].push(*upstream);
                counts[*upstream] += 1;
            }
            !takes
        });
    }
}

/// The finaliser of the `SplitMix64` generator.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
