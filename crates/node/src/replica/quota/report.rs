//! What operators see of the quotas: counts for metrics, and log lines.

use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::{QuotaCounts, QuotaObserver};

/// Time without a refusal after which a workspace is within its quota again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// What was counted of one workspace since the last report.
#[derive(Debug, Default)]
pub(super) struct WorkspaceCounts {
    pub(super) counts: QuotaCounts,
    /// Refused requests since the first one and the time of the last one, while requests are
    /// refused.
    refusals: Option<(u64, Instant)>,
}

impl WorkspaceCounts {
    /// Counts a refused request.
    pub(super) fn record_refusal(&mut self, now: Instant, workspace: &ids::WorkspaceId) {
        self.counts.refused += 1;
        let (refused, last) = self.refusals.get_or_insert_with(|| {
            log::warn!(
                target: "quota",
                workspace:% = workspace;
                "A workspace is over its quota; requests that it sends here are rejected."
            );
            (0, now)
        });
        *refused += 1;
        *last = now;
    }

    /// Time since the last refused request, while requests are refused.
    pub(super) fn last_refusal(&self, now: Instant) -> Option<Duration> {
        let (_, last) = self.refusals?;
        Some(now.saturating_duration_since(last))
    }

    /// Notes the end of refusals; returns whether they go on.
    pub(super) fn check_refusals(&mut self, now: Instant, workspace: &ids::WorkspaceId) -> bool {
        let Some((refused, last)) = self.refusals else {
            return false;
        };
        if now < last + CALM_TIME {
            return true;
        }
        self.refusals = None;
        log::info!(
            target: "quota",
            workspace:% = workspace,
            refused;
            "A workspace is within its quota again."
        );
        false
    }
}

/// Reports what was counted of a workspace, if anything, and starts at zero.
pub(super) fn report(
    on_counts: &QuotaObserver,
    workspace: &ids::WorkspaceId,
    counts: &mut QuotaCounts,
) {
    let counts = std::mem::take(counts);
    if counts != QuotaCounts::default() {
        on_counts(workspace, counts);
    }
}
