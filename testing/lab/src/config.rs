//! How fast an accepted change is in force on every node, and what it costs the platform.

use std::time::Duration;

use model::config::{RetryRule, Route, RouteOptions};
use operator::change::ConfigStep;
use testbed::fleet::parse_id;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use crate::report::{Bound, Report, Row, figure, quantile};
use crate::settings::LabSettings;

/// Nodes in each of the three data centres.
const SIZES: [usize; 2] = [4, 16];
/// In force everywhere within this time.
const IN_FORCE_MAX: f64 = 6.0;
/// How much more a change may cost the platform when there are four times the nodes.
const CALL_GROWTH_MAX: f64 = 1.5;
/// Quiet time over which the steady calls are counted.
const QUIET: Duration = Duration::from_secs(5);
/// Time for a fleet to learn of each other.
const SETTLE: Duration = Duration::from_secs(6);

/// Runs the experiment; the seconds set how many changes are made.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("config", settings);
    let changes = settings.seconds.max(3);
    let mut costs = Vec::new();
    for nodes in SIZES {
        let plan = TestbedPlan {
            seed: settings.seed,
            ..TestbedPlan::three_data_centres(nodes, vec![ServicePlan::lookups("view", "/view", 3)])
        };
        let testbed = Testbed::start(plan).await?;
        time::sleep(SETTLE).await;
        report.progress(&format!("{} nodes, whole links", nodes * 3));
        costs.push(measure(&mut report, &testbed, nodes, changes, "whole links").await?);
        testbed.platform_links[&parse_id("ikeja")].change_faults(|faults| faults.drop_back = true);
        time::sleep(Duration::from_secs(1)).await;
        report.progress(&format!("{} nodes, one link cut one way", nodes * 3));
        measure(
            &mut report,
            &testbed,
            nodes,
            changes,
            "one data centre's link cut one way",
        )
        .await?;
        for entry in std::mem::take(&mut { testbed }.entries).into_values() {
            entry.kill();
        }
    }
    report.add(Row {
        case: format!("{} to {} nodes", SIZES[0] * 3, SIZES[1] * 3),
        subject: "ours",
        metric: "growth of calls for a change",
        unit: "times",
        value: costs[1] / costs[0].max(1.0),
        bound: Bound::AtMost(CALL_GROWTH_MAX),
    });
    Ok(report.finish())
}

/// Makes changes one after the other; returns the platform calls for each.
async fn measure(
    report: &mut Report,
    testbed: &Testbed,
    nodes: usize,
    changes: u64,
    links: &str,
) -> std::io::Result<f64> {
    let steady = calls(testbed).await;
    time::sleep(QUIET).await;
    let steady = (calls(testbed).await - steady) / QUIET.as_secs_f64();
    let before = calls(testbed).await;
    let started = Instant::now();
    let mut spans = Vec::new();
    for number in 0..changes {
        let route = Route {
            id: parse_id(&format!("route-{number}")),
            host: None,
            prefix: format!("/r{number}-{}", links.len()).into(),
            methods: Vec::new(),
            service: parse_id("view"),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        let accepted = testbed
            .commit(ConfigStep::PutRoute(route))
            .await
            .map_err(std::io::Error::other)?;
        let waited = testbed.wait_generation(accepted.generation).await?;
        spans.push(waited.as_secs_f64());
        time::sleep(Duration::from_millis(200)).await;
    }
    let spent = started.elapsed().as_secs_f64();
    let each = (calls(testbed).await - before - steady * spent) / figure(changes);
    spans.sort_by(f64::total_cmp);
    let mut row = |metric, unit, value, bound| {
        let case = format!("{} nodes, {links}", nodes * 3);
        report.add(Row {
            case,
            subject: "ours",
            metric,
            unit,
            value,
            bound,
        });
    };
    row(
        "accepted to in force, median",
        "s",
        quantile(&spans, 0.5),
        Bound::Free,
    );
    row(
        "accepted to in force, worst",
        "s",
        quantile(&spans, 1.0),
        Bound::AtMost(IN_FORCE_MAX),
    );
    row("platform calls for a change", "calls", each, Bound::Free);
    row(
        "platform calls without changes",
        "calls/s",
        steady,
        Bound::Free,
    );
    Ok(each)
}

async fn calls(testbed: &Testbed) -> f64 {
    figure(testbed.platform.calls().await.values().sum())
}
