//! Once-only requests while everything fails: the real batchers against a scripted platform.
//!
//! Virtual time, in milliseconds, moves from event to event.

mod platform;
mod protocol;
mod world;

use crate::report::{Bound, Report, Row, figure};
use crate::settings::LabSettings;

/// Keyed requests for each second of the setting.
const REQUESTS_PER_SECOND: u64 = 25_000;

/// Runs the experiment; the seconds set how many requests are made.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("once-only", settings);
    let requests = settings.seconds * REQUESTS_PER_SECOND;
    for (name, protocol) in protocol::ALL {
        let share = if name == "ours" { 1 } else { 10 };
        let result = world::run(settings.seed, requests / share, protocol, |done| {
            report.progress(&format!("{name}: {done} requests"));
        });
        add_rows(&mut report, name, requests, &result);
    }
    report.finish()
}

fn add_rows(report: &mut Report, subject: &'static str, wanted: u64, result: &world::RunResult) {
    let ours = subject == "ours";
    let bound = |bound| if ours { bound } else { Bound::Free };
    let mut row = |metric, unit, value, bound| {
        let case = "kills, pauses, lost answers, outages".to_owned();
        report.add(Row {
            case,
            subject,
            metric,
            unit,
            value: figure(value),
            bound,
        });
    };
    let least = Bound::AtLeast(figure(wanted));
    row("keyed requests", "requests", result.requests, bound(least));
    row("actions run", "actions", result.runs, Bound::Free);
    row(
        "actions run twice",
        "actions",
        result.second_runs,
        bound(Bound::AtMost(0.0)),
    );
    row(
        "told not run though it ran",
        "requests",
        result.false_not_run,
        bound(Bound::AtMost(0.0)),
    );
    row("told not run", "requests", result.not_run, Bound::Free);
    row(
        "told the outcome of the first",
        "requests",
        result.held,
        Bound::Free,
    );
    row("keys that never ran", "keys", result.never_ran, Bound::Free);
    row("platform writes", "writes", result.writes, Bound::Free);
    row(
        "lost or refused updates",
        "writes",
        result.unsure_writes,
        Bound::Free,
    );
    row("reads of a whole shard", "reads", result.loads, Bound::Free);
}
