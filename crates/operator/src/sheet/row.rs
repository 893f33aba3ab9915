//! Reads the cells of one row and records faults with their row and column.

use std::collections::HashMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

model::record! {
    /// One fault of a sheet, as the API returns it.
    #[derive(Eq)]
    pub struct SheetFault {
        /// The line in the file; the header is line 1.
        pub row: u64,
        /// The name of the column; empty if the fault concerns the whole row.
        pub column: Arc<str>,
        /// The text of the cell; empty if the cell is empty or missing.
        pub value: Arc<str>,
        /// What is allowed, or what is wrong.
        pub allowed: Arc<str>,
    }
}

impl Display for SheetFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            row,
            column,
            value,
            allowed,
        } = self;
        write!(f, "row {row}, column {column}: {value:?}: {allowed}")
    }
}

/// The cells of one row by column, with the list of faults of the whole sheet.
pub(super) struct SheetRow<'a> {
    pub(super) number: u64,
    pub(super) cells: HashMap<&'a str, &'a str>,
    pub(super) faults: &'a mut Vec<SheetFault>,
}

impl SheetRow<'_> {
    /// The trimmed text of a cell; none if the cell is empty or missing.
    pub(super) fn text(&self, column: &str) -> Option<&str> {
        self.cells
            .get(column)
            .map(|cell| cell.trim())
            .filter(|cell| !cell.is_empty())
    }

    /// Records a fault of a cell.
    pub(super) fn fault(&mut self, column: &str, allowed: impl Into<Arc<str>>) {
        let value = self.text(column).unwrap_or_default().into();
        let fault = SheetFault {
            row: self.number,
            column: column.into(),
            value,
            allowed: allowed.into(),
        };
        self.faults.push(fault);
    }

    /// Parses a cell that may be empty; records a fault if its text is not allowed.
    pub(super) fn optional<T: FromStr<Err: Display>>(&mut self, column: &str) -> Option<T> {
        let text = self.text(column)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let allowed = error.to_string();
                self.fault(column, allowed);
                None
            }
        }
    }

    /// Parses a cell that must not be empty.
    pub(super) fn required<T: FromStr<Err: Display>>(&mut self, column: &str) -> Option<T> {
        if self.text(column).is_none() {
            self.fault(column, "must not be empty");
            return None;
        }
        self.optional(column)
    }

    /// Parses a cell; an empty or faulty one gives the default.
    pub(super) fn optional_or<T: FromStr<Err: Display>>(&mut self, column: &str, default: T) -> T {
        self.optional(column).unwrap_or(default)
    }
}
