//! Propagation of configuration changes: the time until a change is in force on every node,
//! and the platform calls that it takes.

use std::time::Duration;

use model::config::{RetryRule, Route, RouteOptions};
use operator::change::ConfigStep;
use testbed::fleet::parse_id;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

use crate::report::{Bound, Report, ReportRow, quantile, to_f64};
use crate::settings::LabSettings;

/// Nodes in each of the three data centres, for each fleet measured.
const NODES_PER_DATA_CENTRE: [usize; 2] = [4, 16];
/// Limit on the time until a change is in force on every node.
const IN_FORCE_SECONDS_MAX: f64 = 6.0;
/// Limit on the growth of the platform calls for a change when the fleet grows fourfold.
const CALL_GROWTH_MAX: f64 = 1.5;
/// Time without changes over which the background platform calls are counted.
const BACKGROUND_SPAN: Duration = Duration::from_secs(5);
/// Time that the nodes of a new fleet have to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Runs the experiment; the seconds set the number of changes, at least 3.
pub(crate) async fn run(settings: &LabSettings) -> std::io::Result<bool> {
    let mut report = Report::new("config", settings);
    let changes = settings.seconds.max(3);
    let mut call_counts = Vec::new();
    for nodes in NODES_PER_DATA_CENTRE {
        let plan = TestbedPlan {
            seed: settings.seed,
            ..TestbedPlan::three_data_centres(nodes, vec![ServicePlan::lookups("view", "/view", 3)])
        };
        let testbed = Testbed::start(plan).await?;
        time::sleep(SETTLE_TIME).await;
        report.progress(&format!("{} nodes, whole links", nodes * 3));
        call_counts.push(measure(&mut report, &testbed, nodes, changes, "whole links").await?);
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
    report.add(ReportRow {
        case: format!(
            "{} to {} nodes",
            NODES_PER_DATA_CENTRE[0] * 3,
            NODES_PER_DATA_CENTRE[1] * 3
        ),
        subject: "ours",
        metric: "growth of calls for a change",
        unit: "times",
        value: call_counts[1] / call_counts[0].max(1.0),
        bound: Bound::AtMost(CALL_GROWTH_MAX),
    });
    Ok(report.finish())
}

/// Applies changes one after the other; returns the platform calls for each.
async fn measure(
    report: &mut Report,
    testbed: &Testbed,
    nodes: usize,
    changes: u64,
    links: &str,
) -> std::io::Result<f64> {
    let calls_before = platform_calls(testbed).await;
    time::sleep(BACKGROUND_SPAN).await;
    let background_rate =
        (platform_calls(testbed).await - calls_before) / BACKGROUND_SPAN.as_secs_f64();
    let calls_before = platform_calls(testbed).await;
    let started = Instant::now();
    let mut propagation_seconds = Vec::new();
    for number in 0..changes {
        let route = Route {
            id: parse_id(&format!("route-{number}")),
            host: None,
            prefix: format!("/r{number}-{}", links.len()).into(),
            methods: Vec::new(),
            service: Some(parse_id("view")),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        let accepted = testbed
            .commit(ConfigStep::PutRoute(route))
            .await
            .map_err(std::io::Error::other)?;
        let waited = testbed.wait_generation(accepted.generation).await?;
        propagation_seconds.push(waited.as_secs_f64());
        time::sleep(Duration::from_millis(200)).await;
    }
    let elapsed_seconds = started.elapsed().as_secs_f64();
    let calls_per_change =
        (platform_calls(testbed).await - calls_before - background_rate * elapsed_seconds)
            / to_f64(changes);
    propagation_seconds.sort_by(f64::total_cmp);
    let mut row = |metric, unit, value, bound| {
        let case = format!("{} nodes, {links}", nodes * 3);
        report.add(ReportRow {
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
        quantile(&propagation_seconds, 0.5),
        Bound::Unbounded,
    );
    row(
        "accepted to in force, worst",
        "s",
        quantile(&propagation_seconds, 1.0),
        Bound::AtMost(IN_FORCE_SECONDS_MAX),
    );
    row(
        "platform calls for a change",
        "calls",
        calls_per_change,
        Bound::Unbounded,
    );
    row(
        "platform calls without changes",
        "calls/s",
        background_rate,
        Bound::Unbounded,
    );
    Ok(calls_per_change)
}

/// Returns the number of platform calls so far.
async fn platform_calls(testbed: &Testbed) -> f64 {
    to_f64(testbed.platform.calls().await.values().sum())
}
