//! The closing table.

use std::fmt;
use std::time::Duration;

use policy::invariant::{self, Invariant};

use crate::load::LoadTally;

/// The figures of a run.
pub(crate) struct DemoReport {
    pub(crate) tally: LoadTally,
    pub(crate) duplicates: usize,
    pub(crate) false_refusals: usize,
    pub(crate) detection: Option<Duration>,
    pub(crate) drain: Option<Duration>,
    pub(crate) direct: LoadTally,
}

impl DemoReport {
    /// Whether every invariant held.
    pub(crate) fn holds(&self) -> bool {
        let breaches: u64 = Invariant::ALL
            .iter()
            .map(|invariant| invariant::breaches(*invariant))
            .sum();
        let sound = self.tally.wrong == 0 && self.duplicates == 0 && self.false_refusals == 0;
        sound && breaches == 0 && self.tally.requests > 0
    }

    fn added(&self, quantile: f64) -> f64 {
        let through = self.tally.latencies.value_at_quantile(quantile);
        let direct = self.direct.latencies.value_at_quantile(quantile);
        micros_to_millis(through) - micros_to_millis(direct)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 microseconds"
)]
fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn seconds(span: Option<Duration>) -> String {
    span.map_or_else(
        || "not seen".to_owned(),
        |span| format!("{:.2} s", span.as_secs_f64()),
    )
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        writeln!(f, "\n{:38} {:>12}", "requests", tally.requests)?;
        writeln!(f, "{:38} {:>12}", "whole answers", tally.answered)?;
        writeln!(
            f,
            "{:38} {:>12}",
            "told that they were not run", tally.not_run
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "told that the outcome is unknown", tally.unknown
        )?;
        writeln!(f, "{:38} {:>12}", "cut off (never looks whole)", tally.cut)?;
        writeln!(
            f,
            "{:38} {:>12}",
            "server errors passed on", tally.server_errors
        )?;
        writeln!(f, "{:38} {:>12}", "wrong answers", tally.wrong)?;
        writeln!(f, "{:38} {:>12}", "actions that ran twice", self.duplicates)?;
        writeln!(
            f,
            "{:38} {:>12}",
            "told \"not run\" though it ran", self.false_refusals
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "gray failure: every node avoids it",
            seconds(self.detection)
        )?;
        writeln!(
            f,
            "{:38} {:>12}",
            "drain: last new request",
            seconds(self.drain)
        )?;
        writeln!(f, "{:38} {:>9.2} ms", "added latency p50", self.added(0.5))?;
        writeln!(f, "{:38} {:>9.2} ms", "added latency p99", self.added(0.99))?;
        let verdict = if self.holds() {
            "every invariant held"
        } else {
            "AN INVARIANT BROKE"
        };
        write!(f, "{verdict}")
    }
}
