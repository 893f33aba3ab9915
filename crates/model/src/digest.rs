//! Content hashes: the SHA-256 of a chunk's bytes in hexadecimal, by which it is stored.

use std::fmt;
use std::str;
use std::sync::Arc;

use sha2::Digest as _;

use crate::error;

/// Hexadecimal digits in a content hash.
const HASH_TEXT_LENGTH: usize = 64;

/// The SHA-256 of an immutable chunk, under which it is stored.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash(Arc<str>);

impl ContentHash {
    /// Computes the hash of a chunk's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(hex_text(&sha2::Sha256::digest(bytes)).into())
    }

    /// The hash as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Encodes bytes as lower-case hexadecimal text.
pub fn hex_text(bytes: &[u8]) -> String {
    use fmt::Write as _;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// A 64-bit hash of several parts, the same on every node. The length of each part is
/// hashed too, so that moving bytes between parts changes the hash.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; size_of::<u64>()];
    prefix.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_le_bytes(prefix)
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for ContentHash {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text
            .bytes()
            .all(|byte| byte.is_ascii_hexdigit() && !byte.is_ascii_uppercase());
        if text.len() != HASH_TEXT_LENGTH || !is_hex {
            return Err(error::ValueError::new(
                text,
                "64 lower-case hexadecimal digits",
            ));
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for ContentHash {
    type Error = error::ValueError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> Self {
        hash.0.as_ref().to_owned()
    }
}
