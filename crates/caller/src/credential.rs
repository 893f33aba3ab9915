//! Reads the API key of a request.

use std::sync::Arc;

use http::header::Entry;
use http::{HeaderMap, HeaderName};
use model::call::{CallerCredential, CallerKey};
use model::config::KeyDigest;

/// Where callers send their API key: a header with a scheme, then the key.
#[derive(Debug, Clone)]
pub struct CredentialHeader {
    /// Name of the header.
    pub name: HeaderName,
    /// The scheme, compared without regard to case (RFC 9110, 11.1).
    pub scheme: Arc<str>,
}

impl CredentialHeader {
    /// Reads the credential of a request and marks its header as sensitive, so that `Debug` does
    /// not show the key.
    pub fn read(&self, headers: &mut HeaderMap) -> CallerCredential {
        let key = self.read_key(headers);
        if let Entry::Occupied(mut values) = headers.entry(&self.name) {
            values
                .iter_mut()
                .for_each(|value| value.set_sensitive(true));
        }
        CallerCredential {
            header: self.name.clone(),
            key,
        }
    }

    fn read_key(&self, headers: &HeaderMap) -> CallerKey {
        let mut values = headers.get_all(&self.name).iter();
        match (values.next(), values.next()) {
            (None, _) => CallerKey::Missing,
            (Some(value), None) => self
                .split_key(value.as_bytes())
                .map_or(CallerKey::Unreadable, |key| {
                    CallerKey::Digest(KeyDigest::of(key))
                }),
            (Some(_), Some(_)) => CallerKey::Unreadable,
        }
    }

    /// The key in a value of the header; `None` if it has another scheme or no key.
    fn split_key<'a>(&self, value: &'a [u8]) -> Option<&'a [u8]> {
        let (scheme, rest) = value.split_at_checked(self.scheme.len())?;
        let key = rest.strip_prefix(b" ")?.trim_ascii();
        let is_key = scheme.eq_ignore_ascii_case(self.scheme.as_bytes()) && !key.is_empty();
        is_key.then_some(key)
    }
}
