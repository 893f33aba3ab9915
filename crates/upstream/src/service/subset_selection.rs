//! When the subset of upstreams that a node prefers is selected again.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;
use policy::service::{self, NodeAssignment, Placement, ServiceBalancer, SubsetWidth};
use tokio::time::Instant;

use super::handle::FleetShape;

/// Minimum interval between two assignments of a service, which take some milliseconds of the
/// CPU time of a small node.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two log lines at level info.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The selection of the subset of one service.
#[derive(Debug)]
pub(super) struct SubsetSelection {
    placement: Placement,
    shape: Option<FleetShape>,
    /// Whether upstreams or nodes changed since the subset was selected.
    outdated: bool,
    assigned_at: Option<Instant>,
    assignment: NodeAssignment,
    width: SubsetWidth,
    /// The size of a subset selected by hash.
    hashed_size: Option<usize>,
    logged_at: Option<Instant>,
    started_at: Instant,
}

impl SubsetSelection {
    pub(super) fn new(now: Instant, placement: Placement) -> Self {
        Self {
            placement,
            shape: None,
            outdated: false,
            assigned_at: None,
            assignment: NodeAssignment::default(),
            width: SubsetWidth::default(),
            hashed_size: None,
            logged_at: None,
            started_at: now,
        }
    }

    /// Records that the upstreams changed.
    pub(super) const fn mark_outdated(&mut self) {
        self.outdated = true;
        self.hashed_size = None;
    }

    /// Records the nodes.
    pub(super) fn set_shape(&mut self, shape: &FleetShape) {
        if self.shape.as_ref() != Some(shape) {
            self.shape = Some(shape.clone());
            self.outdated = true;
        }
    }

    /// Whether the subset is to be selected again when [`Self::due_at`] comes.
    pub(super) const fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// The earliest time of the next assignment.
    pub(super) fn due_at(&self) -> Instant {
        self.assigned_at
            .map_or(self.started_at, |at| at + ASSIGNMENT_INTERVAL)
    }

    /// Selects the subset again if nodes, upstreams or the node's demand call for it.
    pub(super) fn update(
        &mut self,
        now: Instant,
        node: &ids::NodeId,
        data_centre: &ids::DataCentreId,
        balancer: &mut ServiceBalancer,
    ) {
        let Some(shape) = &self.shape else { return };
        if self.placement == Placement::Hashed {
            self.outdated = false;
            let service = balancer.service();
            let size = service::subset_size(service.upstreams.len(), shape.nodes);
            if self.hashed_size.replace(size) != Some(size) {
                let subset = service::choose_subset(node, data_centre, service, shape.nodes);
                balancer.set_subset(&subset);
            }
            return;
        }
        let assigns = self.outdated && now >= self.due_at();
        if assigns {
            self.outdated = false;
            self.assigned_at = Some(now);
            let service = balancer.service();
            self.assignment =
                NodeAssignment::new(node, data_centre, service, &shape.local, shape.nodes);
        }
        let Some(shape) = self.assignment.shape() else {
            return;
        };
        let is_wider_or_narrower = self.width.update(now, &balancer.demand(now), shape);
        if !(assigns || is_wider_or_narrower) {
            return;
        }
        let subset = self.assignment.subset(self.width.get());
        let changed = balancer.set_assigned_subset(&subset);
        if changed > 0 {
            self.log(now, balancer, &subset, changed);
        }
    }

    fn log(
        &mut self,
        now: Instant,
        balancer: &ServiceBalancer,
        subset: &BTreeMap<ids::UpstreamId, u32>,
        changed: usize,
    ) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        let level = if self.logged_at.is_some_and(is_recent) {
            log::Level::Debug
        } else {
            self.logged_at = Some(now);
            log::Level::Info
        };
        log::log!(
            target: "placement",
            level,
            service:% = balancer.service().id,
            width = self.width.get(),
            upstreams = subset.len(),
            changed,
            sharing_nodes_min = subset.values().min().copied().unwrap_or(0),
            sharing_nodes_max = subset.values().max().copied().unwrap_or(0);
            "The node's subset of upstreams changed."
        );
    }
}
