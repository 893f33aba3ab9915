//! Requests that crash the upstreams which run them: what a node observes, and whether a
//! request may be sent.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::error::{ErrorKind, FleetError};
use model::fingerprint::RequestFingerprint;
use policy::quarantine::{CrashReport, RequestStanding};
use tokio::time::Instant;

use crate::service::AttemptLease;

/// Least time after which the caller of a quarantined request is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// A draw of a trial in progress; resolves to whether it was granted.
pub type TrialFuture = Pin<Box<dyn Future<Output = bool> + Send>>;

/// Functions that share crashes with the other nodes; the binary connects them to the node's
/// part in that.
#[derive(Clone)]
pub struct CrashCallbacks {
    /// What is known of a request.
    pub standing: Arc<dyn Fn(RequestFingerprint) -> RequestStanding + Send + Sync>,
    /// Reports that an upstream crashed while it ran a request.
    pub report: Arc<dyn Fn(CrashReport) + Send + Sync>,
    /// Reports that a suspect completed a run.
    pub report_completed: Arc<dyn Fn(RequestFingerprint) + Send + Sync>,
    /// Draws a trial of a quarantined request.
    pub draw_trial: Arc<dyn Fn(RequestFingerprint) -> TrialFuture + Send + Sync>,
}

/// Watches the attempts of one request for crashes of their upstreams.
#[derive(Clone)]
pub struct CrashWatch {
    request: RequestFingerprint,
    callbacks: CrashCallbacks,
}

impl fmt::Debug for CrashWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CrashWatch({})", self.request)
    }
}

impl CrashWatch {
    pub(crate) const fn new(request: RequestFingerprint, callbacks: CrashCallbacks) -> Self {
        Self { request, callbacks }
    }

    fn standing(&self) -> RequestStanding {
        (self.callbacks.standing)(self.request)
    }

    /// Whether upstreams crashed under the request, so that it may be sent to one at a time.
    pub(crate) fn is_suspect(&self) -> bool {
        self.standing() != RequestStanding::Clear
    }

    /// Checks whether the request may be sent; of a quarantined one, a trial when it is due.
    ///
    /// # Errors
    /// `Quarantined` with the time to the next trial.
    pub(crate) async fn admit(&self) -> Result<(), FleetError> {
        let RequestStanding::Quarantined { trial_at } = self.standing() else {
            return Ok(());
        };
        let now = Instant::now();
        if trial_at <= now && (self.callbacks.draw_trial)(self.request).await {
            log::info!(target: "crashes", request:% = self.request; "A quarantined request is tried.");
            return Ok(());
        }
        let left = trial_at.saturating_duration_since(now).max(RETRY_AFTER_MIN);
        let detail = format!("request {} crashes the upstreams that run it", self.request);
        Err(FleetError::new(ErrorKind::Quarantined, detail).with_retry_after(Some(left)))
    }

    /// Finds out whether an upstream crashed when a connection to it broke. One that still
    /// accepts connections did not.
    pub(crate) fn check_upstream(&self, lease: &AttemptLease) {
        let pool = lease.pool().clone();
        let report = CrashReport {
            service: lease.service().id.clone(),
            upstream: lease.upstream().id.clone(),
            request: self.request,
        };
        let callbacks = self.callbacks.clone();
        tokio::spawn(async move {
            if pool.accepts_connections().await == Some(false) {
                (callbacks.report)(report);
            }
        });
    }

    /// Records that an upstream ran the request to its end.
    pub(crate) fn record_completion(&self) {
        if self.is_suspect() {
            (self.callbacks.report_completed)(self.request);
        }
    }
}
