//! Removals of retained entries that a local snapshot confirms.

use model::config::UpstreamSnapshot;

/// Drops the retained entries of a received snapshot whose removal the current
/// snapshot confirms: it is at least as new as the last listing that contained them,
/// and lacks them.
///
/// A node that was disconnected from the source retains every entry that disappeared
/// meanwhile, since it cannot distinguish a removal from an expired registration.
/// Nodes that observed the removal can.
pub fn drop_confirmed_removals(
    mut received: UpstreamSnapshot,
    current: &UpstreamSnapshot,
) -> UpstreamSnapshot {
    let UpstreamSnapshot {
        retained, entries, ..
    } = &mut received;
    retained.retain(|id, listed_at| {
        let confirmed = current.version.position >= *listed_at && !current.entries.contains_key(id);
        if confirmed {
            entries.remove(id);
        }
        !confirmed
    });
    received
}
