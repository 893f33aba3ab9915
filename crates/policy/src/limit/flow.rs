//! Flows: groups of requests that share capacity fairly with other groups.

use std::collections::HashMap;

use model::ids;

/// What a request belongs to when capacity is shared: its workspace, or its route if it has
/// none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FlowKey {
    /// The requests of one workspace.
    Workspace(ids::WorkspaceId),
    /// The requests of one route that belong to no workspace.
    Route(ids::RouteId),
}

/// What determines the place of a request among those that wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    /// The flow.
    pub flow: FlowKey,
    /// The priority; 0 is the highest.
    pub priority: u32,
}

/// Counts the requests in service of each flow that has any.
#[derive(Debug, Default)]
pub struct FlowCounter {
    in_service: HashMap<FlowKey, u32>,
}

impl FlowCounter {
    /// Counts one more request in service.
    pub fn enter(&mut self, flow: &FlowKey) {
        *self.in_service.entry(flow.clone()).or_default() += 1;
    }

    /// Counts one request as finished.
    pub fn leave(&mut self, flow: &FlowKey) {
        if let Some(count) = self.in_service.get_mut(flow) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_service.remove(flow);
            }
        }
    }

    /// Number of requests in service of one flow.
    pub fn in_service(&self, flow: &FlowKey) -> u32 {
        self.in_service.get(flow).copied().unwrap_or(0)
    }
}
