//! The report of an experiment: a table, or JSON with one object per line.

use std::io::{IsTerminal as _, Write as _};

use serde_json::json;

use crate::settings::LabSettings;

/// The bound that a figure has to keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Bound {
    /// The value must not exceed this.
    AtMost(f64),
    /// The value must not fall below this.
    AtLeast(f64),
    /// The value is reported without a bound.
    Unbounded,
}

impl Bound {
    fn value(self) -> Option<f64> {
        match self {
            Self::AtMost(bound) | Self::AtLeast(bound) => Some(bound),
            Self::Unbounded => None,
        }
    }

    /// Whether the value keeps the bound; `None` without a bound.
    fn holds(self, value: f64) -> Option<bool> {
        match self {
            Self::AtMost(bound) => Some(value <= bound),
            Self::AtLeast(bound) => Some(value >= bound),
            Self::Unbounded => None,
        }
    }
}

/// One figure of a subject in a case.
#[derive(Debug, Clone)]
pub(crate) struct ReportRow {
    pub(crate) case: String,
    pub(crate) subject: &'static str,
    pub(crate) metric: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) value: f64,
    pub(crate) bound: Bound,
}

/// The rows of one experiment.
#[derive(Debug)]
pub(crate) struct Report {
    experiment: &'static str,
    seed: u64,
    json: bool,
    rows: Vec<ReportRow>,
}

impl Report {
    pub(crate) const fn new(experiment: &'static str, settings: &LabSettings) -> Self {
        Self {
            experiment,
            seed: settings.seed,
            json: settings.json,
            rows: Vec::new(),
        }
    }

    /// Adds a row; JSON output prints it immediately.
    pub(crate) fn add(&mut self, row: ReportRow) {
        if self.json {
            println!("{}", self.row_json(&row));
        }
        self.rows.push(row);
    }

    fn row_json(&self, row: &ReportRow) -> serde_json::Value {
        json!({
            "experiment": self.experiment,
            "case": row.case,
            "subject": row.subject,
            "metric": row.metric,
            "unit": row.unit,
            "value": row.value,
            "bound": row.bound.value(),
            "holds": row.bound.holds(row.value),
        })
    }

    /// Shows the progress of the experiment, on a terminal only.
    pub(crate) fn progress(&self, text: &str) {
        let mut out = std::io::stderr();
        if out.is_terminal() && !self.json {
            let _ = write!(out, "\r\x1b[K{}: {text}", self.experiment);
            let _ = out.flush();
        }
    }

    /// Prints the table and returns whether every bound holds.
    pub(crate) fn finish(&self) -> bool {
        self.progress("");
        if !self.json {
            self.print_table();
        }
        self.rows
            .iter()
            .all(|row| row.bound.holds(row.value) != Some(false))
    }

    fn print_table(&self) {
        println!("\n{}, seed {}\n", self.experiment, self.seed);
        let case_width = self
            .rows
            .iter()
            .map(|row| row.case.len())
            .max()
            .unwrap_or(0);
        for row in &self.rows {
            let bound = match row.bound {
                Bound::Unbounded => String::new(),
                Bound::AtMost(bound) => format!("at most {bound}"),
                Bound::AtLeast(bound) => format!("at least {bound}"),
            };
            let result = match row.bound.holds(row.value) {
                Some(true) => "holds",
                Some(false) => "MISSED",
                None => "",
            };
            println!(
                "{:case_width$}  {:22} {:34} {:>14.3} {:10} {:18} {result}",
                row.case, row.subject, row.metric, row.value, row.unit, bound
            );
        }
    }
}

/// Returns the quantile of sorted samples at a share from 0 to 1; zero without samples.
pub(crate) fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the index lies within the slice"
    )]
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    sorted[index]
}

/// Converts a count to a figure.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) const fn to_f64(count: u64) -> f64 {
    count as f64
}
