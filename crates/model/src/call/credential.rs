//! What a caller sent to identify itself, without the secret in it.

use crate::config::KeyDigest;

/// The API key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// The request carries none.
    Missing,
    /// The request carries several, or something that is no key.
    Unreadable,
    /// The digest of the only key.
    Digest(KeyDigest),
}

/// The credential of a request: the digest of its key, and the header that holds the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerCredential {
    /// The header. It must not be forwarded where the key counts.
    pub header: http::HeaderName,
    /// The key.
    pub key: CallerKey,
}
