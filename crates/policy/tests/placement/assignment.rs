//! Evenness, stability and cost of the assignment.

use std::collections::BTreeSet;

use gooseberrydyke_policy::service::{AssignedUpstream, NodeAssignment, assign};
use model::ids::{NodeId, UpstreamId};

use super::common::{CENTRES, name, service};

/// Nodes and upstreams of one data centre in the large deployments, a small one, one with more
/// nodes than upstreams, and one with few pairs.
const SHAPES: [(usize, usize); 6] = [(30, 40), (68, 80), (69, 10), (12, 25), (3, 30), (40, 200)];
const WIDTHS: [usize; 5] = [1, 4, 6, 9, 13];

type NamePairs = BTreeSet<(NodeId, UpstreamId)>;

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|node| name(&format!("front-{node}")))
        .collect()
}

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|up| name(&format!("backend-{up}")))
        .collect()
}

fn with_slots(ids: &[UpstreamId], slots: impl Fn(usize) -> u32) -> Vec<AssignedUpstream<'_>> {
    let upstreams = ids.iter().enumerate();
    upstreams
        .map(|(index, id)| AssignedUpstream {
            id,
            slots: slots(index),
        })
        .collect()
}

/// The pairs of every node's first `width` upstreams.
fn pairs(nodes: &[NodeId], ids: &[UpstreamId], width: usize) -> NamePairs {
    let assigned = assign(nodes, &with_slots(ids, |_| 4), 30);
    let pairs = nodes.iter().zip(&assigned).flat_map(|(node, own)| {
        let own = own.iter().take(width);
        own.map(|index| (node.clone(), ids[*index].clone()))
    });
    pairs.collect()
}

fn counts(assigned: &[Vec<usize>], upstreams: usize, width: usize) -> Vec<usize> {
    let mut counts = vec![0; upstreams];
    for own in assigned {
        for index in own.iter().take(width) {
            counts[*index] += 1;
        }
    }
    counts
}

/// Share of the pairs of `before` that `after` lacks.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn lost_share(before: &NamePairs, after: &NamePairs) -> f64 {
    before.difference(after).count() as f64 / before.len() as f64
}

// An upstream that more nodes prefer than others is overloaded while others idle; one that no
// node prefers only gets offers.
#[test]
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn each_upstream_is_preferred_by_nearly_the_same_number_of_nodes() {
    for (node_count, upstream_count) in SHAPES {
        let (nodes, ids) = (nodes(node_count), upstreams(upstream_count));
        let assigned = assign(&nodes, &with_slots(&ids, |_| 4), 30);
        for width in WIDTHS {
            let counts = counts(&assigned, upstream_count, width);
            let mean = (node_count * width.min(upstream_count)) as f64 / upstream_count as f64;
            let (least, most) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
            println!(
                "{node_count} nodes, {upstream_count} upstreams, width {width}: mean {mean:.2}, \
                 least {least}, most {most}"
            );
            assert!((most as f64) < mean + 2.0, "most {most}, mean {mean}");
            assert!((least as f64) > mean - 2.0, "least {least}, mean {mean}");
            assert!(mean < 1.0 || least >= 1, "an upstream has no node");
        }
        for own in &assigned {
            let distinct: BTreeSet<_> = own.iter().collect();
            assert_eq!(distinct.len(), own.len());
            assert_eq!(own.len(), 30.min(upstream_count));
        }
    }
}

// Upstreams with more slots take more requests, so more nodes have to prefer them.
#[test]
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn nodes_of_an_upstream_are_in_proportion_to_its_slots() {
    let (nodes, ids) = (nodes(40), upstreams(30));
    let slots = |index: usize| [2, 4, 8][index % 3];
    let assigned = assign(&nodes, &with_slots(&ids, slots), 9);
    let all_slots: u32 = (0..30).map(slots).sum();
    for (index, count) in counts(&assigned, 30, 9).into_iter().enumerate() {
        let share = 40.0 * 9.0 * f64::from(slots(index)) / f64::from(all_slots);
        assert!((count as f64 - share).abs() < 2.0, "{count}, share {share}");
    }
}

// Each pair that changes costs a node its connections to an upstream.
#[test]
fn few_pairs_change_when_a_node_or_an_upstream_comes() {
    for (node_count, upstream_count) in [(30, 40), (68, 80)] {
        let (nodes, ids) = (nodes(node_count + 1), upstreams(upstream_count + 1));
        for width in [6, 9, 13] {
            let mut with_node = 0.0;
            let mut with_upstream = 0.0;
            let after = pairs(&nodes, &ids, width);
            for removed in 0..10 {
                let mut fewer_nodes = nodes.clone();
                let gone = fewer_nodes.remove(removed * 3);
                let mut kept = after.clone();
                kept.retain(|(node, _)| *node != gone);
                with_node += lost_share(&kept, &pairs(&fewer_nodes, &ids, width));
                let mut fewer_ids = ids.clone();
                let gone = fewer_ids.remove(removed * 3);
                let mut kept = after.clone();
                kept.retain(|(_, upstream)| *upstream != gone);
                with_upstream += lost_share(&kept, &pairs(&nodes, &fewer_ids, width));
            }
            println!(
                "{node_count} nodes, {upstream_count} upstreams, width {width}: share of the other \
                 pairs that change with a node {:.3}, with an upstream {:.3}",
                with_node / 10.0,
                with_upstream / 10.0
            );
            assert!(with_node / 10.0 < 0.12 && with_upstream / 10.0 < 0.12);
        }
    }
}

// Nodes learn names in different orders and must not disagree because of it.
#[test]
fn an_assignment_depends_on_names_only() {
    let (nodes, ids) = (nodes(30), upstreams(40));
    let mut reversed = ids.clone();
    reversed.reverse();
    assert_eq!(pairs(&nodes, &ids, 9), pairs(&nodes, &reversed, 9));
}

// Nodes with 0.07 cores compute the assignment of each service at most once a second.
#[test]
fn an_assignment_takes_some_milliseconds() {
    let (nodes, ids) = (nodes(69), upstreams(80));
    let started = std::time::Instant::now();
    for _ in 0..10 {
        assert_eq!(assign(&nodes, &with_slots(&ids, |_| 6), 30).len(), 69);
    }
    println!("one assignment takes {:?}", started.elapsed() / 10);
}

// Operators compare the number of nodes that share an upstream. A node whose data centre lacks
// upstreams must still have a subset, and a drain must free its place at once.
#[test]
fn a_subset_has_local_and_remote_upstreams_that_are_shared_evenly() {
    let mut nodes = nodes(40);
    nodes.sort();
    let mut config = service(90, 4, 0).as_ref().clone();
    let subset_of = |config: &model::config::Service, centre: &str, width| {
        let assignment = NodeAssignment::new(&nodes[7], &name(centre), config, &nodes, 120);
        assignment.subset(width)
    };
    let subset = subset_of(&config, CENTRES[0], 6);
    let is_local = |id: &UpstreamId| {
        let mut upstreams = config.upstreams.iter();
        upstreams.any(|up| up.id == *id && up.data_centre.as_str() == CENTRES[0])
    };
    let local = subset.iter().filter(|(id, _)| is_local(id));
    let counts: Vec<u32> = local.map(|(_, count)| *count).collect();
    assert_eq!(counts.len(), 6);
    assert!(
        counts.iter().all(|count| (7..=9).contains(count)),
        "{counts:?}"
    );
    assert_eq!(subset.len(), 10, "4 of other data centres");
    assert!(subset_of(&config, "elsewhere", 13).len() >= 13);
    let (drained, _) = subset.first_key_value().unwrap();
    for upstream in &mut config.upstreams {
        if upstream.id == *drained {
            upstream.state = model::config::UpstreamState::Draining;
        }
    }
    let after = subset_of(&config, CENTRES[0], 6);
    assert!(!after.contains_key(drained));
    assert_eq!(after.len(), 10);
}
