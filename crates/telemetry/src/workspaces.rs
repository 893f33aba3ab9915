//! Metrics of workspaces, whose number in the labels is bounded.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use model::error::Outcome;
use model::ids;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Workspaces that have a label of their own in metrics; the others are summed. More would make
/// the metrics of a node too large to scrape.
const LABELS_MAX: usize = 100;
/// Label of all workspaces that have none of their own.
const OTHER: &str = "other";

/// The labels of workspaces: the first ones that are counted keep one of their own.
///
/// It is called by many requests at once and holds its lock for one look-up only. A task with
/// its own queue would cost a transfer between threads for each request.
#[derive(Debug, Default)]
pub struct WorkspaceLabels {
    named: Mutex<BTreeSet<ids::WorkspaceId>>,
}

impl WorkspaceLabels {
    /// The label of a workspace.
    pub fn label<'a>(&self, workspace: &'a ids::WorkspaceId) -> &'a str {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let has_label = named.contains(workspace)
            || (named.len() < LABELS_MAX && named.insert(workspace.clone()));
        drop(named);
        if has_label { workspace.as_str() } else { OTHER }
    }
}

/// The instruments of workspaces. All of them have the same labels.
#[derive(Debug)]
pub(crate) struct WorkspaceInstruments {
    labels: WorkspaceLabels,
    requests: Counter<u64>,
    quota_events: Counter<u64>,
}

impl WorkspaceInstruments {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            labels: WorkspaceLabels::default(),
            requests: meter
                .u64_counter("workspace.requests")
                .with_description("Requests of workspaces, by workspace and outcome.")
                .build(),
            quota_events: meter
                .u64_counter("quota.tokens")
                .with_description(
                    "Tokens of quotas drawn and spent, and requests refused, by workspace.",
                )
                .build(),
        }
    }

    pub(crate) fn record_request(&self, workspace: &ids::WorkspaceId, outcome: Outcome) {
        let outcome = KeyValue::new("outcome", outcome.as_str());
        self.requests.add(1, &[self.label(workspace), outcome]);
    }

    pub(crate) fn record_quota(
        &self,
        workspace: &ids::WorkspaceId,
        result: &'static str,
        count: u64,
    ) {
        if count > 0 {
            let result = KeyValue::new("result", result);
            self.quota_events
                .add(count, &[self.label(workspace), result]);
        }
    }

    fn label(&self, workspace: &ids::WorkspaceId) -> KeyValue {
        KeyValue::new("workspace", self.labels.label(workspace).to_owned())
    }
}
