//! Detection of failing upstreams from pooled evidence.
//!
//! Nodes count good and bad outcomes for each upstream. In each data centre, the
//! collector of a service sums the counts of the local nodes and exchanges the
//! sums with the collectors of the other data centres. Every collector runs the
//! same detector on the pooled counts.

mod detector;
mod estimate;
mod evidence;
mod sequential;
mod upstream_evidence;
mod window;

pub use detector::{OutlierDetector, Verdict, VerdictChange, VerdictScope};
pub use estimate::{LatencyEstimate, overdue_bound};
pub use evidence::{EvidenceBuffer, EvidenceCount, EvidenceReport, ServiceLatency};
pub use sequential::{DetectionThresholds, SequentialTest};
pub use window::OutcomeWindow;
