//! What must always hold: each breach is counted and logged, and fatal in tests.

use std::sync::atomic::{AtomicU64, Ordering};

model::choice! {
    /// The invariants that the program checks while it runs.
    pub enum Invariant {
        /// Ejecting leaves a service its floor.
        Floor = "floor",
        /// A once-only request is sent at most once.
        AtMostOnce = "at-most-once",
        /// A request that is said not to have run was not sent.
        NotRunTruth = "not-run-truth",
        /// A caller gets the answer to its own request.
        OwnAnswer = "own-answer",
        /// The generation in force never falls.
        GenerationGrows = "generation-grows",
        /// A draining upstream gets no new work.
        DrainRespected = "drain-respected",
    }
}

static BREACHES: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Checks that an invariant holds; counts and logs a breach.
///
/// # Panics
/// In builds with debug assertions, when the invariant does not hold.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    BREACHES[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let detail = detail();
    log::error!(target: "invariant", "{invariant} broken: {detail}");
    debug_assert!(holds, "{invariant} broken: {detail}");
}

/// Breaches of one invariant since the process started.
pub fn breaches(invariant: Invariant) -> u64 {
    BREACHES[invariant as usize].load(Ordering::Relaxed)
}
