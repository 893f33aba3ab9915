//! Run-time checks of invariants. A violation is counted and logged, and panics in builds
//! with debug assertions, such as tests.

use std::sync::atomic::{AtomicU64, Ordering};

model::text_enum! {
    /// Invariants that are checked at run time.
    pub enum Invariant {
        /// An ejection leaves a service at least its capacity floor.
        Floor = "floor",
        /// A once-only request is sent at most once.
        AtMostOnce = "at-most-once",
        /// A request that is reported as not run was not sent.
        TruthfulNotRun = "not-run-truth",
        /// A caller gets the response to its own request.
        OwnResponse = "own-answer",
        /// The configuration generation in force never decreases.
        GenerationMonotonic = "generation-grows",
        /// A draining upstream gets no new requests.
        DrainRespected = "drain-respected",
    }
}

static BREACHES: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Checks that an invariant holds; counts and logs a violation with its `detail`.
///
/// # Panics
/// In builds with debug assertions, when the invariant does not hold.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    BREACHES[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let detail = detail();
    log::error!(target: "invariant", "Invariant {invariant} violated: {detail}.");
    debug_assert!(holds, "invariant {invariant} violated: {detail}");
}

/// Number of violations of one invariant since the process started.
pub fn breaches(invariant: Invariant) -> u64 {
    BREACHES[invariant as usize].load(Ordering::Relaxed)
}
