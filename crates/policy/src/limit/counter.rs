//! Requests in flight by workspace.

use std::collections::HashMap;

use model::{ids, sizes};

/// Counts the requests of each workspace that has any.
#[derive(Debug, Default)]
pub struct WorkspaceCounter {
    in_flight: HashMap<ids::WorkspaceId, u32>,
}

impl WorkspaceCounter {
    /// Counts one more request unless the workspace is at its limit.
    pub fn enter(&mut self, workspace: &ids::WorkspaceId, limit: sizes::RequestCount) -> bool {
        let count = self.in_flight.entry(workspace.clone()).or_default();
        let fits = *count < limit.get();
        if fits {
            *count += 1;
        }
        fits
    }

    /// Counts one request less.
    pub fn leave(&mut self, workspace: &ids::WorkspaceId) {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(workspace);
            }
        }
    }

    /// Requests in flight of one workspace.
    pub fn in_flight(&self, workspace: &ids::WorkspaceId) -> u32 {
        self.in_flight.get(workspace).copied().unwrap_or(0)
    }
}
