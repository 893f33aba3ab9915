//! Requests in flight by workspace, with a limit for each.

use std::collections::HashMap;

use model::{ids, sizes};

/// Counts the requests in flight of each workspace that has any.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceCounter {
    in_flight: HashMap<ids::WorkspaceId, u32>,
}

impl WorkspaceCounter {
    /// Counts one more request unless the workspace is at its limit; returns whether it was
    /// counted.
    pub fn enter(&mut self, workspace: &ids::WorkspaceId, limit: sizes::RequestCount) -> bool {
        let count = self.in_flight.entry(workspace.clone()).or_default();
        let is_admitted = *count < limit.get();
        if is_admitted {
            *count += 1;
        }
        is_admitted
    }

    /// Counts one request as finished.
    pub fn leave(&mut self, workspace: &ids::WorkspaceId) {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(workspace);
            }
        }
    }

    /// Number of requests in flight of one workspace.
    pub fn in_flight(&self, workspace: &ids::WorkspaceId) -> u32 {
        self.in_flight.get(workspace).copied().unwrap_or(0)
    }
}
