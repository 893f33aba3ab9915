//! Connects the dispatcher and the metrics to the node's part in the quotas of workspaces.

use std::sync::Arc;

use model::config::QuotaBound;
use node::replica::{QuotaHandle, QuotaSettings};
use telemetry::metrics::NodeMetrics;
use upstream::dispatch::QuotaCallbacks;

/// Returns the settings of the node's part; counts become metrics.
pub(crate) fn quota_settings(bound: QuotaBound, metrics: &Arc<NodeMetrics>) -> QuotaSettings {
    let metrics = Arc::clone(metrics);
    QuotaSettings {
        bound,
        on_counts: Arc::new(move |workspace, counts| {
            metrics.record_quota(workspace, "drawn", counts.drawn);
            metrics.record_quota(workspace, "spent", counts.spent);
            metrics.record_quota(workspace, "refused", counts.refused);
        }),
    }
}

/// Returns the callbacks of the dispatcher.
pub(crate) fn quota_callbacks(quotas: &QuotaHandle) -> QuotaCallbacks {
    let (taken, returned) = (quotas.clone(), quotas.clone());
    QuotaCallbacks {
        take: Arc::new(move |workspace, quota| {
            let quotas = taken.clone();
            Box::pin(async move { quotas.take(workspace, quota).await })
        }),
        give_back: Arc::new(move |workspace, token| returned.give_back(workspace, token)),
    }
}
