//! Once-only requests under faults: the production claim batchers against a simulated platform.
//!
//! A discrete-event simulation; all its times are numbers of virtual milliseconds.

mod platform;
mod protocol;
mod simulation;

use crate::report::{Bound, Report, ReportRow, to_f64};
use crate::settings::LabSettings;

/// Keyed requests for each second given by `--seconds`.
const REQUESTS_PER_SECOND: u64 = 25_000;

/// Runs the experiment; the seconds set how many requests are simulated. The baselines
/// get a tenth of them.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("once-only", settings);
    let requests = settings.seconds * REQUESTS_PER_SECOND;
    for (name, protocol) in protocol::ALL {
        let divisor = if name == "ours" { 1 } else { 10 };
        let result = simulation::run(settings.seed, requests / divisor, protocol, |done| {
            report.progress(&format!("{name}: {done} requests"));
        });
        add_rows(&mut report, name, requests, &result);
    }
    report.finish()
}

fn add_rows(
    report: &mut Report,
    subject: &'static str,
    requests_wanted: u64,
    result: &simulation::RunResult,
) {
    let ours = subject == "ours";
    let bound = |bound| if ours { bound } else { Bound::Unbounded };
    let mut row = |metric, unit, value, bound| {
        let case = "kills, pauses, lost answers, outages".to_owned();
        report.add(ReportRow {
            case,
            subject,
            metric,
            unit,
            value: to_f64(value),
            bound,
        });
    };
    let minimum = Bound::AtLeast(to_f64(requests_wanted));
    row(
        "keyed requests",
        "requests",
        result.requests,
        bound(minimum),
    );
    row("actions run", "actions", result.runs, Bound::Unbounded);
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
    row("told not run", "requests", result.not_run, Bound::Unbounded);
    row(
        "told the outcome of the first",
        "requests",
        result.already_claimed,
        Bound::Unbounded,
    );
    row(
        "keys that never ran",
        "keys",
        result.keys_never_run,
        Bound::Unbounded,
    );
    row("platform writes", "writes", result.writes, Bound::Unbounded);
    row(
        "lost or refused updates",
        "writes",
        result.uncertain_writes,
        Bound::Unbounded,
    );
    row(
        "reads of a whole shard",
        "reads",
        result.shard_reads,
        Bound::Unbounded,
    );
}
