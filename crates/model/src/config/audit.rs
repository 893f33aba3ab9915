//! The audit trail: one immutable entry for each accepted change.

use std::sync::Arc;

use crate::{clock, digest, ids, sizes};

crate::record! {
    /// What one change did, in numbers and names.
    pub struct ChangeSummary {
        /// What the operator asked for, as one line.
        pub action: Arc<str>,
        /// One line for each thing that changed.
        pub lines: Vec<Arc<str>>,
    }

    /// One accepted change, chained to the one before it.
    pub struct AuditEntry {
        /// The generation that the change made.
        pub generation: sizes::Generation,
        /// Who made it.
        pub operator: ids::OperatorId,
        /// When it was made.
        pub at: clock::UnixMillis,
        /// A value drawn for this change alone, so that its maker can find it again.
        pub nonce: Arc<str>,
        /// What it did.
        pub summary: ChangeSummary,
        /// The entry before it; none for the first.
        pub previous: Option<digest::ContentHash>,
    }
}
