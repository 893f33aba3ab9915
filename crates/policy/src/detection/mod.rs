//! Detection of failing upstreams from pooled evidence.
//!
//! Nodes count good and bad outcomes. The collector of a service in each data
//! centre sums the counts of its nodes and exchanges the sums with the
//! collectors of the other data centres. Every collector runs the same detector.

mod detector;
mod estimate;
mod evidence;
mod sequential;
mod upstream_evidence;
mod window;

pub use detector::{OutlierDetector, Verdict, VerdictChange, VerdictScope};
pub use estimate::{LatencyEstimate, overdue_bound};
pub use evidence::{EvidenceBuffer, EvidenceCount, EvidenceReport, ServiceLatency};
pub use sequential::{SequentialTest, TestCosts};
pub use window::OutcomeWindow;
