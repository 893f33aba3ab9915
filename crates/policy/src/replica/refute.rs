//! Which held entries another copy of the book proves gone.

use model::config::UpstreamBook;

/// Drops the held entries of a book that the present copy proves gone: it is at
/// least as new as the last list that had them, and lacks them.
///
/// A node that was cut off holds back the removal of whatever left meanwhile,
/// since it cannot tell a removal from a lapse. Nodes that saw the removal can.
pub fn without_refuted(mut book: UpstreamBook, present: &UpstreamBook) -> UpstreamBook {
    let UpstreamBook { held, entries, .. } = &mut book;
    held.retain(|id, listed_at| {
        let refuted = present.mark.revision >= *listed_at && !present.entries.contains_key(id);
        if refuted {
            entries.remove(id);
        }
        !refuted
    });
    book
}
