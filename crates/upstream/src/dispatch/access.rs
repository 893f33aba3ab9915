//! Authentication of requests by the key that they carry.

use model::call::{CallHead, CallerKey};
use model::error::{ErrorKind, FleetError};
use model::{config, ids};
use policy::access::{self, CallerAccess};

/// Finds the workspace of a request and removes the credential from its head. `None` if the
/// configuration has no access table; the head then stays as it is.
///
/// # Errors
/// `Unauthenticated` when the request needs a valid key and carries none.
pub(super) fn authenticate(
    fleet: &config::FleetConfig,
    route: &ids::RouteId,
    head: &mut CallHead,
) -> Result<Option<CallerAccess>, FleetError> {
    let Some(table) = &fleet.access else {
        return Ok(None);
    };
    let mut key = CallerKey::Missing;
    if let Some(credential) = &head.credential {
        key = credential.key;
        head.headers.remove(&credential.header);
    }
    let access = access::check(table, route, key)
        .map_err(|refusal| FleetError::new(ErrorKind::Unauthenticated, refusal.to_string()))?;
    head.workspace.clone_from(&access.workspace);
    Ok(Some(access))
}
