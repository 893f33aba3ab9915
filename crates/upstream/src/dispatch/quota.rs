//! Quotas of workspaces, which requests take a token of before they run.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::config::WorkspaceQuota;
use model::error::{ErrorKind, FleetError, Outcome};
use model::ids;
use policy::access::CallerAccess;
use policy::quota::QuotaToken;

/// Least time after which the caller of a refused request is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// By which part of that time it is lengthened at random, so that callers that were refused
/// together do not return together.
const JITTER: f64 = 0.5;

/// A token being taken; an error is the time after which there may be room.
pub type QuotaFuture = Pin<Box<dyn Future<Output = Result<QuotaToken, Duration>> + Send>>;

/// Functions that take tokens of quotas; the binary connects them to the node's part in them.
#[derive(Clone)]
pub struct QuotaCallbacks {
    /// Takes a token of a workspace.
    pub take: Arc<dyn Fn(ids::WorkspaceId, WorkspaceQuota) -> QuotaFuture + Send + Sync>,
    /// Gives back the token of a request that did not run.
    pub give_back: Arc<dyn Fn(ids::WorkspaceId, QuotaToken) + Send + Sync>,
}

/// The token of a request.
pub(super) struct QuotaGuard {
    callbacks: QuotaCallbacks,
    workspace: ids::WorkspaceId,
    token: QuotaToken,
}

impl QuotaGuard {
    /// Gives the token back if the request certainly did not run.
    pub(super) fn settle<T>(self, result: &Result<T, FleetError>) {
        let Err(error) = result else { return };
        if error.kind().response().outcome == Outcome::NotRun {
            (self.callbacks.give_back)(self.workspace, self.token);
        }
    }
}

/// Takes a token for a request whose workspace has a quota.
///
/// # Errors
/// `QuotaExceeded` with the time after which there may be room.
pub(super) async fn admit(
    callbacks: Option<&QuotaCallbacks>,
    access: Option<&CallerAccess>,
) -> Result<Option<QuotaGuard>, FleetError> {
    let (Some(callbacks), Some(access)) = (callbacks, access) else {
        return Ok(None);
    };
    let (Some(workspace), Some(quota)) = (&access.workspace, access.terms.quota) else {
        return Ok(None);
    };
    match (callbacks.take)(workspace.clone(), quota).await {
        Ok(token) => Ok(Some(QuotaGuard {
            callbacks: callbacks.clone(),
            workspace: workspace.clone(),
            token,
        })),
        Err(wait) => {
            let detail = format!("workspace {workspace} is over its quota of {}", quota.rate);
            let wait = wait.max(RETRY_AFTER_MIN);
            let wait = wait.mul_f64(JITTER.mul_add(rand::random(), 1.0));
            Err(FleetError::new(ErrorKind::QuotaExceeded, detail).with_retry_after(Some(wait)))
        }
    }
}
