//! The number of workspaces in the labels of metrics is bounded.

use std::collections::BTreeMap;

use gooseberrydyke_telemetry::metrics::NodeMetrics;
use model::error::Outcome;
use model::ids;

/// Workspaces that may have a label of their own.
const NAMED: usize = 100;

fn workspace(number: usize) -> ids::WorkspaceId {
    format!("w{number}").parse().unwrap()
}

/// The samples of a metric by their workspace, summed over the other labels.
fn samples(page: &str, metric: &str) -> BTreeMap<String, u64> {
    let mut samples = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with(metric)) {
        let (_, rest) = line.split_once("workspace=\"").unwrap();
        let workspace = rest.split('"').next().unwrap().to_owned();
        let value: u64 = line.rsplit(' ').next().unwrap().parse().unwrap();
        *samples.entry(workspace).or_default() += value;
    }
    samples
}

/// Guards against a metrics page that grows with the number of workspaces, against requests that
/// are lost in the sum, and against two metrics that name different workspaces.
#[test]
fn a_hundred_workspaces_have_labels_and_the_rest_is_summed() {
    let metrics = NodeMetrics::new().unwrap();
    for round in 0..3 {
        for number in 0..150 {
            let outcome = Outcome::ALL[round];
            metrics.record_workspace_request(&workspace(number), outcome);
        }
    }
    // In another order, so that other workspaces would be the first ones.
    for number in (0..150).rev() {
        metrics.record_quota(&workspace(number), "spent", 2);
        metrics.record_quota(&workspace(number), "refused", 0);
    }
    let page = metrics.render();
    let requests = samples(&page, "workspace_requests_total");
    assert_eq!(requests.len(), NAMED + 1);
    assert_eq!(requests["other"], 3 * 50);
    assert_eq!(requests["w0"], 3);
    let tokens = samples(&page, "quota_tokens_total");
    assert_eq!(tokens["other"], 2 * 50);
    assert!(requests.keys().eq(tokens.keys()));
    assert!(!page.contains("result=\"refused\""), "{page}");
}
