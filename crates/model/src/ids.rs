//! Identifiers, each a distinct type over shared text.

use crate::error;

/// The longest identifier, in bytes.
const ID_BYTES_MAX: usize = 128;

crate::text_id! {
    /// Names a service.
    ServiceId
}
crate::text_id! {
    /// Names one upstream of a service; unique in the fleet.
    UpstreamId
}
crate::text_id! {
    /// Names a route.
    RouteId
}
crate::text_id! {
    /// Names a workspace, the unit by which callers share the fleet.
    WorkspaceId
}
crate::text_id! {
    /// Names one entry VM for one run of its process.
    NodeId
}
crate::text_id! {
    /// Names one request on its way through a node.
    RequestId
}
crate::text_id! {
    /// Names a data centre.
    DataCentreId
}
crate::text_id! {
    /// Names an operator, as the audit trail shows it.
    OperatorId
}

/// Checks the text of an identifier: letters, digits, `-`, `_`, `.` and `:`.
///
/// # Errors
/// [`error::ValueError`] when the text is empty, too long or holds another character.
pub fn check_id(text: &str) -> Result<(), error::ValueError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if text.is_empty() || text.len() > ID_BYTES_MAX || !text.bytes().all(allowed) {
        let wanted = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        return Err(error::ValueError::new(text, wanted));
    }
    Ok(())
}
