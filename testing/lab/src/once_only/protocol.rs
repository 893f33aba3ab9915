//! The protocols under comparison, which differ in how they prevent an action from running
//! twice.

/// How an entry node decides whether a keyed request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Protocol {
    /// Claims are written in batches by conditional updates at the platform.
    Claims,
    /// The owner of the shard keeps the keys in memory, without checking that it still owns
    /// the shard.
    OwnerMemory,
    /// Every request runs, without a claim.
    Unprotected,
}

/// Every protocol with its subject name in the report.
pub(super) const ALL: [(&str, Protocol); 3] = [
    ("ours", Protocol::Claims),
    ("owner's memory", Protocol::OwnerMemory),
    ("no claims", Protocol::Unprotected),
];
