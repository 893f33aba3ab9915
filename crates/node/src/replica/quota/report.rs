//! What operators see of the quotas: counts for metrics, and log lines.

use std::collections::BTreeSet;
use std::time::Duration;

use model::ids;
use tokio::time::Instant;

use super::{QuotaCounts, QuotaObserver};

/// Workspaces that have a label of their own in metrics; the others are summed. More would make
/// the metrics of a node too large to scrape.
const LABELS_MAX: usize = 100;
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

/// Hands counts to the metrics.
pub(super) struct CountReport {
    on_counts: QuotaObserver,
    labels: BTreeSet<ids::WorkspaceId>,
}

impl CountReport {
    pub(super) const fn new(on_counts: QuotaObserver) -> Self {
        Self {
            on_counts,
            labels: BTreeSet::new(),
        }
    }

    /// Reports what was counted of a workspace and starts at zero.
    pub(super) fn report(&mut self, workspace: &ids::WorkspaceId, counts: &mut QuotaCounts) {
        let counts = std::mem::take(counts);
        if counts == QuotaCounts::default() {
            return;
        }
        let has_label = self.labels.contains(workspace)
            || (self.labels.len() < LABELS_MAX && self.labels.insert(workspace.clone()));
        (self.on_counts)(has_label.then_some(workspace), counts);
    }
}
