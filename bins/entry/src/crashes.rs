//! Connects the dispatcher to the node's part in the sharing of crashes.

use node::crashes::CrashFleet;
use std::sync::Arc;
use upstream::crash::CrashCallbacks;

/// Returns the callbacks of the dispatcher.
pub(crate) fn crash_callbacks(crashes: &CrashFleet) -> CrashCallbacks {
    let (standing, report) = (crashes.clone(), crashes.clone());
    let (completed, trial) = (crashes.clone(), crashes.clone());
    CrashCallbacks {
        standing: Arc::new(move |request| standing.standing(request)),
        report: Arc::new(move |crash| report.report(crash)),
        report_completed: Arc::new(move |request| completed.report_completed(request)),
        draw_trial: Arc::new(move |request| {
            let crashes = trial.clone();
            Box::pin(async move { crashes.draw_trial(request).await })
        }),
    }
}
