//! Identifiers: one newtype each, which holds reference-counted text.

use std::fmt::{self, Write as _};
use std::str::FromStr;
use std::sync::Arc;

use crate::{digest, error};

/// Limit on the length of an identifier, in bytes.
const ID_BYTES_MAX: usize = 128;

crate::text_id! {
    /// Identifies a service.
    ServiceId
}
crate::text_id! {
    /// Identifies one upstream of a service; unique in the fleet.
    UpstreamId
}
crate::text_id! {
    /// Identifies a route.
    RouteId
}
crate::text_id! {
    /// Identifies a workspace, a group of callers that share limits.
    WorkspaceId
}
crate::text_id! {
    /// Identifies a node: one run of the process on an entry VM.
    NodeId
}
crate::text_id! {
    /// Identifies a data centre.
    DataCentreId
}
crate::text_id! {
    /// Identifies an operator in the audit trail.
    OperatorId
}

/// Identifies a request in logs. Callers choose their ids freely, so bytes other than visible
/// ASCII characters are escaped as `%` and two digits, and the end of a long id is replaced by
/// a hash. What is sent to upstreams and back is the id as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The form for logs of an id as it was sent.
    pub fn of_bytes(sent: &[u8]) -> Self {
        let mut text = String::new();
        for byte in sent {
            if byte.is_ascii_graphic() && *byte != b'%' {
                text.push(char::from(*byte));
            } else {
                // Writing to a string cannot fail.
                let _ = write!(text, "%{byte:02X}");
            }
        }
        if text.len() > ID_BYTES_MAX {
            let hash = format!("~{:016x}", digest::stable_hash(&[sent]));
            text.truncate(ID_BYTES_MAX - hash.len());
            text.push_str(&hash);
        }
        Self(text.into())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(error::ValueError::new(text, "at least one character"));
        }
        Ok(Self::of_bytes(text.as_bytes()))
    }
}

/// Checks that a text is a valid identifier: 1 to 128 letters, digits, `-`, `_`, `.` and `:`.
///
/// # Errors
/// [`error::ValueError`] when the text is empty, too long or contains another character.
pub fn check_id(text: &str) -> Result<(), error::ValueError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if text.is_empty() || text.len() > ID_BYTES_MAX || !text.bytes().all(is_allowed) {
        let allowed = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        return Err(error::ValueError::new(text, allowed));
    }
    Ok(())
}
