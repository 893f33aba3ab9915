//! Configuration changes: the steps that operators make, validation and differences.

mod diff;
mod step;
mod validate;

pub use diff::{Difference, DifferenceKind, compare};
pub use step::ConfigStep;
pub use validate::{ConfigFault, validate};
