//! The report that is printed at the end of the demo.

use std::fmt;
use std::time::Duration;

use policy::invariant::{self, Invariant};

use crate::load::LoadTally;

/// The results of a run.
pub(crate) struct DemoReport {
    pub(crate) tally: LoadTally,
    /// Number of actions that ran more than once.
    pub(crate) duplicates: usize,
    /// Number of actions that ran although their callers got the outcome "not run".
    pub(crate) false_not_run: usize,
    /// Time until all nodes avoided the failing upstream; `None` if they did not in time.
    pub(crate) detection_time: Option<Duration>,
    /// Time from the start of the drain to the last new request.
    pub(crate) drain_time: Option<Duration>,
    /// Requests sent directly to an upstream, for comparison.
    pub(crate) direct: LoadTally,
}

impl DemoReport {
    /// Whether requests were sent, no response was wrong, no action ran twice or despite a
    /// "not run", and no invariant was violated.
    pub(crate) fn is_successful(&self) -> bool {
        let violations: u64 = Invariant::ALL
            .iter()
            .map(|invariant| invariant::breaches(*invariant))
            .sum();
        let correct = self.tally.wrong == 0 && self.duplicates == 0 && self.false_not_run == 0;
        correct && violations == 0 && self.tally.requests > 0
    }

    /// Difference in milliseconds between the latency through the fleet and the direct one.
    fn added_latency_millis(&self, quantile: f64) -> f64 {
        let through_fleet = self.tally.latencies.value_at_quantile(quantile);
        let direct = self.direct.latencies.value_at_quantile(quantile);
        micros_to_millis(through_fleet) - micros_to_millis(direct)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 microseconds"
)]
fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn format_seconds(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "not observed".to_owned(),
        |duration| format!("{:.2} s", duration.as_secs_f64()),
    )
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        writeln!(f, "\n{:38} {:>12}", "requests", tally.requests)?;
        writeln!(f, "{:38} {:>12}", "complete responses", tally.successful)?;
        writeln!(
            f,
            "{:38} {:>12}",
            "errors with the outcome \"not run\"", tally.not_run
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "errors with the outcome \"unknown\"", tally.unknown
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "responses truncated, detectably", tally.truncated
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "forwarded server errors", tally.server_errors
        )?;
        writeln!(f, "{:38} {:>12}", "wrong responses", tally.wrong)?;
        writeln!(
            f,
            "{:38} {:>12}",
            "actions that ran more than once", self.duplicates
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "actions that ran despite \"not run\"", self.false_not_run
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "gray failure: avoided by all nodes",
            format_seconds(self.detection_time)
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "drain: last new request",
            format_seconds(self.drain_time)
        )?;
        writeln!(
            f,
            "{:38} {:>9.2} ms",
            "added latency p50",
            self.added_latency_millis(0.5)
        )?;
        writeln!(
            f,
            "{:38} {:>9.2} ms",
            "added latency p99",
            self.added_latency_millis(0.99)
        )?;
        let result = if self.is_successful() {
            "no invariant was violated"
        } else {
            "FAILED: AN INVARIANT WAS VIOLATED"
        };
        write!(f, "{result}")
    }
}
