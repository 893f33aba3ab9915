//! Access of callers: which requests may be sent, and for which workspace.

use std::fmt;

use model::call::CallerKey;
use model::config::{AccessTable, WorkspaceTerms};
use model::ids;

/// For whom a request is sent.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CallerAccess {
    /// The workspace that the key belongs to; none on a public route without a valid key.
    pub workspace: Option<ids::WorkspaceId>,
    /// What is granted to the workspace; nothing in particular without one.
    pub terms: WorkspaceTerms,
}

/// Why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It carries no key.
    Missing,
    /// It carries several keys, or something that is no key.
    Unreadable,
    /// No workspace has its key.
    Unknown,
}

impl fmt::Display for AccessRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "the request carries no API key",
            Self::Unreadable => "the request carries no single readable API key",
            Self::Unknown => "the API key belongs to no workspace",
        })
    }
}

/// Finds the workspace of a request by its key. A request on a public route needs no key, but
/// counts for the workspace of the one that it carries.
///
/// # Errors
/// Why the request has no workspace although its route requires one.
pub fn check(
    table: &AccessTable,
    route: &ids::RouteId,
    key: CallerKey,
) -> Result<CallerAccess, AccessRefusal> {
    let found = match key {
        CallerKey::Missing => Err(AccessRefusal::Missing),
        CallerKey::Unreadable => Err(AccessRefusal::Unreadable),
        CallerKey::Digest(digest) => table.find(&digest).ok_or(AccessRefusal::Unknown),
    };
    match found {
        Ok(workspace) => Ok(CallerAccess {
            workspace: Some(workspace.clone()),
            terms: table.workspaces.get(workspace).copied().unwrap_or_default(),
        }),
        Err(_) if table.public_routes.contains(route) => Ok(CallerAccess::default()),
        Err(refusal) => Err(refusal),
    }
}
