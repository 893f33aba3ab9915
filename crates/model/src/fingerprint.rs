//! What makes two requests the same one.

use crate::digest;
use crate::error;

/// A hash of what a caller asks for: its method, host, target, credentials and body. A
/// request that is sent again, in a new attempt of its caller, has the same one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// The fingerprint of a request with the given parts.
    pub fn of(parts: &[&[u8]]) -> Self {
        Self(digest::stable_hash(parts))
    }
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for RequestFingerprint {
    type Err = error::ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        /// Hexadecimal digits of a fingerprint.
        const DIGITS: usize = 16;
        let number = u64::from_str_radix(text, 16).ok();
        number
            .filter(|_| text.len() == DIGITS)
            .map(Self)
            .ok_or_else(|| error::ValueError::new(text, "16 hexadecimal digits"))
    }
}
