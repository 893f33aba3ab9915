//! The gate that keyed once-only requests pass.

use std::pin::Pin;
use std::sync::Arc;

use model::error::{ErrorKind, FleetError};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimState, ClaimToken, ClaimVerdict, Settlement};

/// A claim under way.
pub type ClaimFuture = Pin<Box<dyn Future<Output = Result<ClaimVerdict, FleetError>> + Send>>;

/// How claims are made and settled; the node's package provides both.
#[derive(Clone)]
pub struct ClaimGate {
    /// Claims a key.
    pub claim: Arc<dyn Fn(ClaimAttempt) -> ClaimFuture + Send + Sync>,
    /// Stores what became of a claimed request, some time later.
    pub settle: Arc<dyn Fn(ClaimKey, Settlement) + Send + Sync>,
}

/// A granted claim; when it is dropped unsettled its outcome is unknown.
pub(super) struct ClaimGuard {
    gate: ClaimGate,
    key: ClaimKey,
    token: ClaimToken,
    settled: bool,
}

impl ClaimGuard {
    pub(super) const fn new(gate: ClaimGate, key: ClaimKey, token: ClaimToken) -> Self {
        Self {
            gate,
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
        (self.gate.settle)(self.key.clone(), settlement);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.send(ClaimState::Unknown);
        }
    }
}

/// The error that a verdict gives the caller; none when the request may be sent.
pub(super) fn refusal(verdict: ClaimVerdict) -> Option<FleetError> {
    let (kind, detail) = match verdict {
        ClaimVerdict::Granted => return None,
        ClaimVerdict::Held(ClaimState::Claimed) => (
            ErrorKind::KeyInProgress,
            "the key's request is still running".to_owned(),
        ),
        ClaimVerdict::Held(ClaimState::Ran(status)) => (
            ErrorKind::KeyRan,
            format!("the key's request ran and was answered with {status}"),
        ),
        ClaimVerdict::Held(ClaimState::Unknown | ClaimState::NotRun) => (
            ErrorKind::KeyUnknown,
            "the key's request may or may not have run".to_owned(),
        ),
        ClaimVerdict::Mismatch => (
            ErrorKind::KeyMismatch,
            "the key was used with another request".to_owned(),
        ),
    };
    Some(FleetError::new(kind, detail))
}
