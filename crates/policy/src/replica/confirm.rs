//! Removals of retained entries that a local snapshot confirms.

use model::config::UpstreamBook;

/// Drops the retained entries of a received snapshot whose removal the current
/// snapshot confirms: it is at least as new as the last listing that contained them,
/// and lacks them.
///
/// A node that was disconnected from the source retains every entry that disappeared
/// meanwhile, since it cannot tell a removal from an expired registration. Nodes that
/// observed the removal can.
pub fn without_refuted(mut received: UpstreamBook, current: &UpstreamBook) -> UpstreamBook {
    let UpstreamBook { held, entries, .. } = &mut received;
    held.retain(|id, listed_at| {
        let confirmed = current.mark.revision >= *listed_at && !current.entries.contains_key(id);
        if confirmed {
            entries.remove(id);
        }
        !confirmed
    });
    received
}
