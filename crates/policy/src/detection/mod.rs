//! Detection of failing upstreams from pooled evidence.
//!
//! Nodes count good and bad outcomes. The collector of a service in each data
//! centre sums the counts of its nodes and exchanges the sums with the
//! collectors of the other data centres. Every collector runs the same judge.

mod docket;
mod evidence;
mod judge;
mod sequential;
mod tempo;
mod window;

pub use evidence::{EvidenceCount, EvidenceLedger, EvidenceReport, ServiceTempo};
pub use judge::{ServiceJudge, Verdict, VerdictChange, VerdictScope};
pub use sequential::{SequentialTest, TestCosts};
pub use tempo::{LatencyTempo, overdue_bound};
pub use window::OutcomeWindow;
