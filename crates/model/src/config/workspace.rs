//! Workspaces: groups of callers that share limits.

use crate::{ids, sizes};

crate::record! {
    /// A group of callers.
    pub struct Workspace {
        /// Its name.
        pub id: ids::WorkspaceId,
        /// Requests in flight at one node; none takes the service's limit.
        pub limit: Option<sizes::RequestCount>,
    }
}
