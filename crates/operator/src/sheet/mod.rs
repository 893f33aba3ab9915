//! The sheet.
