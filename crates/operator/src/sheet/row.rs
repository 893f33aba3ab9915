//! One row of a sheet, with faults that name row and column.

use std::collections::HashMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

model::record! {
    /// One fault of a sheet.
    #[derive(Eq)]
    pub struct SheetFault {
        /// The row, counted from 1 with the header.
        pub row: u64,
        /// The column.
        pub column: Arc<str>,
        /// The value that was found.
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

/// Cells of one row by column.
pub(super) struct SheetRow<'a> {
    pub(super) number: u64,
    pub(super) cells: HashMap<&'a str, &'a str>,
    pub(super) faults: &'a mut Vec<SheetFault>,
}

impl SheetRow<'_> {
    /// The text of a cell; an empty one counts as missing.
    pub(super) fn text(&self, column: &str) -> Option<&str> {
        self.cells
            .get(column)
            .map(|cell| cell.trim())
            .filter(|cell| !cell.is_empty())
    }

    /// Notes a fault of a cell.
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

    /// Reads a cell that may be empty.
    pub(super) fn optional<T: FromStr<Err: Display>>(&mut self, column: &str) -> Option<T> {
        let text = self.text(column)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(why) => {
                let why = why.to_string();
                self.fault(column, why);
                None
            }
        }
    }

    /// Reads a cell that must be filled.
    pub(super) fn required<T: FromStr<Err: Display>>(&mut self, column: &str) -> Option<T> {
        if self.text(column).is_none() {
            self.fault(column, "must be filled");
            return None;
        }
        self.optional(column)
    }

    /// Reads a cell that has a default.
    pub(super) fn or<T: FromStr<Err: Display>>(&mut self, column: &str, default: T) -> T {
        self.optional(column).unwrap_or(default)
    }
}
