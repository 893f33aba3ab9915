//! Changes: single steps and whole configurations.

mod diff;
mod step;
mod validate;

pub use diff::{Difference, DifferenceKind, compare};
pub use step::ConfigStep;
pub use validate::{Fault, check};
