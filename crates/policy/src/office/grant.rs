//! What a holder handed out to a node.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

/// Time after it was asked for in which a grant may be used.
const GRANT_TTL: Duration = Duration::from_millis(500);

model::quantity! {
    /// Counts the times that one process began to hold an office.
    OfficeTerm, u64, 0, u64::MAX, "a whole number"
}

impl OfficeTerm {
    /// The next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.get().saturating_add(1))
    }
}

model::record! {
    /// A holder, and its term in which something was handed out.
    #[derive(Eq)]
    pub struct HolderTerm {
        /// The holder; the id is that of one process.
        pub holder: ids::NodeId,
        /// The term.
        pub term: OfficeTerm,
    }
}

/// One permit or one retry token, as the node that asked for it holds it.
///
/// It ends by the clock of that node, counted from when it asked, so a slow reply does not
/// lengthen it and nothing that the node is told later does either.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfficeGrant {
    given_by: HolderTerm,
    ends_at: Instant,
}

impl OfficeGrant {
    /// A grant that was asked for at `asked_at`.
    pub fn new(asked_at: Instant, given_by: HolderTerm) -> Self {
        Self {
            given_by,
            ends_at: asked_at + GRANT_TTL,
        }
    }

    /// Who gave it, and in which term.
    pub const fn given_by(&self) -> &HolderTerm {
        &self.given_by
    }

    /// Whether it may still be used.
    pub fn is_valid(&self, now: Instant) -> bool {
        now <= self.ends_at
    }
}
