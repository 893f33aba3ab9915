//! The audit trail: one immutable entry for each accepted change.

use std::sync::Arc;

use crate::{clock, digest, ids, sizes};

crate::record! {
    /// What one change did.
    pub struct ChangeSummary {
        /// The operator's request, described in one line.
        pub action: Arc<str>,
        /// One line for each difference.
        pub lines: Vec<Arc<str>>,
    }

    /// One accepted change, linked to the previous entry by its hash.
    pub struct AuditEntry {
        /// The generation that the change created.
        pub generation: sizes::Generation,
        /// The operator who made the change.
        pub operator: ids::OperatorId,
        /// When the change was made.
        pub at: clock::UnixMillis,
        /// Random value that makes the entry unique, so that after a write with an unknown
        /// outcome its author can find out whether the entry was stored.
        pub nonce: Arc<str>,
        /// What the change did.
        pub summary: ChangeSummary,
        /// Hash of the previous entry; none for the first one.
        pub previous: Option<digest::ContentHash>,
    }
}
