//! Objects of the platform.

use std::fmt;
use std::str;
use std::sync::Arc;

use bytes::Bytes;
use model::{error, sizes};

/// The longest object name, in bytes.
const NAME_BYTES_MAX: usize = 512;
/// The largest object, in bytes.
pub const OBJECT_BYTES_MAX: usize = 1_048_576;

/// The name of an object: identifiers joined by `/`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectName(Arc<str>);

impl ObjectName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for ObjectName {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts_hold = text
            .split('/')
            .all(|part| model::ids::check_id(part).is_ok());
        if text.len() > NAME_BYTES_MAX || !parts_hold {
            return Err(error::ValueError::new(
                text,
                "identifiers joined by '/', at most 512 bytes",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Its name.
    pub name: ObjectName,
    /// Its version.
    pub version: sizes::ObjectVersion,
    /// Its bytes.
    pub body: Bytes,
}

/// When a write may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(sizes::ObjectVersion),
}

model::record! {
    /// One change that a watch reports.
    pub struct ObjectChange {
        /// The object's name.
        pub name: Arc<str>,
        /// Its version after the change; none when it was deleted.
        pub version: Option<sizes::ObjectVersion>,
    }

    /// What a watch returns.
    pub struct WatchAnswer {
        /// The revision up to which changes are reported.
        pub revision: u64,
        /// Objects that changed.
        pub changes: Vec<ObjectChange>,
    }
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectPage {
    /// Objects in the order of their names.
    pub objects: Vec<StoredObject>,
    /// Whether more follow.
    pub more: bool,
}
