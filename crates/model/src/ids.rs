//! Identifiers: one newtype each, which holds reference-counted text.

use crate::error;

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
    /// Identifies a request in logs and headers.
    RequestId
}
crate::text_id! {
    /// Identifies a data centre.
    DataCentreId
}
crate::text_id! {
    /// Identifies an operator in the audit trail.
    OperatorId
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
