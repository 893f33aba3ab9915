//! How fast an accepted change is in force on every node, and what it costs the platform.

use std::time::Duration;

use model::config::{RepeatRule, Route};
use operator::change::ConfigStep;
use scene::stage::name;
use scene::{Scene, ScenePlan, ServicePlan};
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
        let plan = ScenePlan {
            seed: settings.seed,
            ..ScenePlan::three_centres(nodes, vec![ServicePlan::lookups("view", "/view", 3)])
        };
        let scene = Scene::start(plan).await?;
        time::sleep(SETTLE).await;
        report.progress(&format!("{} nodes, whole links", nodes * 3));
        costs.push(measure(&mut report, &scene, nodes, changes, "whole links").await?);
        scene.platform_links[&name("ikeja")].change(|faults| faults.drop_back = true);
        time::sleep(Duration::from_secs(1)).await;
        report.progress(&format!("{} nodes, one link cut one way", nodes * 3));
        measure(
            &mut report,
            &scene,
            nodes,
            changes,
            "one data centre's link cut one way",
        )
        .await?;
        for entry in std::mem::take(&mut { scene }.entries).into_values() {
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
    scene: &Scene,
    nodes: usize,
    changes: u64,
    links: &str,
) -> std::io::Result<f64> {
    let steady = calls(scene).await;
    time::sleep(QUIET).await;
    let steady = (calls(scene).await - steady) / QUIET.as_secs_f64();
    let before = calls(scene).await;
    let started = Instant::now();
    let mut spans = Vec::new();
    for number in 0..changes {
        let route = Route {
            id: name(&format!("route-{number}")),
            host: None,
            prefix: format!("/r{number}-{}", links.len()).into(),
            methods: Vec::new(),
            service: name("view"),
            repeat: RepeatRule::SafeMethods,
        };
        let accepted = scene
            .change(ConfigStep::PutRoute(route))
            .await
            .map_err(std::io::Error::other)?;
        let waited = scene.wait_generation(accepted.generation).await?;
        spans.push(waited.as_secs_f64());
        time::sleep(Duration::from_millis(200)).await;
    }
    let spent = started.elapsed().as_secs_f64();
    let each = (calls(scene).await - before - steady * spent) / figure(changes);
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

async fn calls(scene: &Scene) -> f64 {
    figure(scene.platform.calls().await.values().sum())
}
