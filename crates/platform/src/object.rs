//! Objects stored on the platform: names, versions, write conditions and pages of lists.

use std::fmt;
use std::str;
use std::sync::Arc;

use bytes::Bytes;
use model::{error, sizes};

/// Maximum length of an object name.
const NAME_BYTES_MAX: usize = 512;
/// Maximum size of an object.
pub const OBJECT_BYTES_MAX: usize = 1_048_576;

/// The name of an object: identifiers joined by `/`, at most 512 bytes.
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
        let parts_valid = text
            .split('/')
            .all(|part| model::ids::check_id(part).is_ok());
        if text.len() > NAME_BYTES_MAX || !parts_valid {
            return Err(error::ValueError::new(
                text,
                "identifiers joined by '/', at most 512 bytes",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// An object as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The name of the object.
    pub name: ObjectName,
    /// The version that was read.
    pub version: sizes::ObjectVersion,
    /// The content of that version.
    pub body: Bytes,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(sizes::ObjectVersion),
}

model::record! {
    /// A change of one object, as reported by a watch.
    pub struct ObjectChange {
        /// The name of the object.
        pub name: Arc<str>,
        /// The version after the change; none if the object was deleted.
        pub version: Option<sizes::ObjectVersion>,
    }

    /// The response to a watch.
    pub struct WatchResponse {
        /// Changes are reported up to this revision; the next watch starts from it.
        pub revision: u64,
        /// The objects that changed, one entry each.
        pub changes: Vec<ObjectChange>,
    }
}

/// One page of a list of objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectPage {
    /// The objects, sorted by name.
    pub objects: Vec<StoredObject>,
    /// Whether further pages follow.
    pub more: bool,
}
