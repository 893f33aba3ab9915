//! Positions in the history of a source that can be restored from a copy.

use std::fmt;
use std::str;

use crate::error;
use crate::sizes;

/// Bits of a position that hold the revision.
const REVISION_BITS: u32 = 40;
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;
const ERA_MAX: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

crate::quantity! {
    /// Counts how often a source was restored from a copy that lacks its latest changes;
    /// 0 for a source that does not tell.
    SourceEra, u64, 0, ERA_MAX, "a whole number from 0 to 16777215"
}

/// A position in the history of a source. A later era comes after every revision of an
/// earlier one, since revisions are given out again after a restoration.
///
/// Both are packed into one number, so that a node of a release without eras orders
/// positions in the same way.
///
/// # Examples
/// ```
/// use gooseberrydyke_model::position::{SourceEra, SourcePosition};
/// use gooseberrydyke_model::sizes::ObjectVersion;
/// let before = SourcePosition::new(SourceEra::new(1), ObjectVersion::new(900));
/// let restored = SourcePosition::new(SourceEra::new(2), ObjectVersion::new(850));
/// assert!(restored > before);
/// assert_eq!(restored.to_string(), "2:850");
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct SourcePosition(u64);

impl SourcePosition {
    /// The position of a revision in an era; what exceeds the range counts as its end.
    pub const fn new(era: SourceEra, revision: sizes::ObjectVersion) -> Self {
        let era = if era.get() > ERA_MAX {
            ERA_MAX
        } else {
            era.get()
        };
        let revision = if revision.get() > REVISION_MAX {
            REVISION_MAX
        } else {
            revision.get()
        };
        Self(era << REVISION_BITS | revision)
    }

    /// The era.
    pub const fn era(self) -> SourceEra {
        SourceEra::new(self.0 >> REVISION_BITS)
    }

    /// The revision within the era.
    pub const fn revision(self) -> sizes::ObjectVersion {
        sizes::ObjectVersion::new(self.0 & REVISION_MAX)
    }
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.revision())
    }
}

impl str::FromStr for SourcePosition {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || error::ValueError::new(text, "an era and a revision, such as 2:850");
        let (era, revision) = text.split_once(':').ok_or_else(invalid)?;
        let era = era.parse().map_err(|_| invalid())?;
        let revision = revision.parse().map_err(|_| invalid())?;
        Ok(Self::new(era, revision))
    }
}
