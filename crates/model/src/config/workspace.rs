//! Workspaces: groups of callers that share limits.

use crate::{ids, sizes};

crate::record! {
    /// A group of callers and its limit.
    pub struct Workspace {
        /// Unique id.
        pub id: ids::WorkspaceId,
        /// Limit on the workspace's requests in flight at one node; the service's limit
        /// applies if none.
        pub limit: Option<sizes::RequestCount>,
    }
}
