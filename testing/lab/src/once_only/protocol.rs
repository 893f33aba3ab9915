//! Ways to keep an action from running twice.

/// How claims are decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Protocol {
    /// Batched claims through conditional updates.
    Claims,
    /// The shard's owner remembers keys and trusts that it is the owner.
    OwnerMemory,
    /// Every request is sent.
    Nothing,
}

/// Every way with its name.
pub(super) const ALL: [(&str, Protocol); 3] = [
    ("ours", Protocol::Claims),
    ("owner's memory", Protocol::OwnerMemory),
    ("no claims", Protocol::Nothing),
];
