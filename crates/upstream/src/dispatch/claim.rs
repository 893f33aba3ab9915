//! Claims on idempotency keys, which once-only requests make before their first attempt.

use std::pin::Pin;
use std::sync::Arc;

use model::error::{ErrorKind, FleetError};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimState, ClaimToken, ClaimVerdict, Settlement};

/// A claim in progress.
pub type ClaimFuture = Pin<Box<dyn Future<Output = Result<ClaimVerdict, FleetError>> + Send>>;

/// Functions that make and settle claims; the binary connects them to the claim
/// client of the node.
#[derive(Clone)]
pub struct ClaimCallbacks {
    /// Claims a key.
    pub claim: Arc<dyn Fn(ClaimAttempt) -> ClaimFuture + Send + Sync>,
    /// Queues the outcome of a claimed request to be stored; returns before it is stored.
    pub settle: Arc<dyn Fn(ClaimKey, Settlement) + Send + Sync>,
}

/// A claim that was granted, or that may have been granted although no verdict arrived.
/// When it is dropped before it is settled, the outcome is stored as unknown.
pub(super) struct ClaimGuard {
    claims: ClaimCallbacks,
    key: ClaimKey,
    token: ClaimToken,
    settled: bool,
}

impl ClaimGuard {
    pub(super) const fn new(claims: ClaimCallbacks, key: ClaimKey, token: ClaimToken) -> Self {
        Self {
            claims,
            key,
            token,
            settled: false,
        }
    }

    pub(super) fn settle(mut self, state: ClaimState) {
        self.send(state);
    }

    fn send(&mut self, state: ClaimState) {
        self.settled = true;
        let settlement = Settlement {
            token: self.token.clone(),
            state,
        };
        (self.claims.settle)(self.key.clone(), settlement);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.send(ClaimState::Unknown);
        }
    }
}

/// The error that a verdict means for the caller; none when the request may be sent.
pub(super) fn refusal(verdict: ClaimVerdict) -> Option<FleetError> {
    let (kind, detail) = match verdict {
        ClaimVerdict::Granted => return None,
        ClaimVerdict::Held(ClaimState::Claimed) => (
            ErrorKind::KeyInProgress,
            "the request with this idempotency key is still in progress".to_owned(),
        ),
        ClaimVerdict::Held(ClaimState::Ran(status)) => (
            ErrorKind::KeyRan,
            format!(
                "the request with this idempotency key has run and its response had status {status}"
            ),
        ),
        ClaimVerdict::Held(ClaimState::Unknown | ClaimState::NotRun) => (
            ErrorKind::KeyUnknown,
            "the request with this idempotency key may or may not have run".to_owned(),
        ),
        ClaimVerdict::Mismatch => (
            ErrorKind::KeyMismatch,
            "the idempotency key was used for a different request".to_owned(),
        ),
    };
    Some(FleetError::new(kind, detail))
}
