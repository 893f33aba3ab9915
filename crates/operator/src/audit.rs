//! The audit trail: a linked list of chunks, from the newest accepted change to the first.

use model::config::{AuditEntry, Chunk, ConfigRoot};
use model::digest;
use model::error::{ErrorKind, FleetError};
use platform::{PlatformClient, config_store};

/// Reads up to `limit` entries, newest first.
///
/// # Errors
/// `PlatformUnavailable` if an entry cannot be read, `NotFound` if one is missing, `Invalid` if one
/// is damaged.
pub async fn read(
    platform: &PlatformClient,
    root: &ConfigRoot,
    limit: usize,
) -> Result<Vec<AuditEntry>, FleetError> {
    let mut entries = Vec::new();
    let mut next = root.audit.clone();
    while let Some(hash) = next.take().filter(|_| entries.len() < limit) {
        let entry = read_entry(platform, &hash).await?;
        next.clone_from(&entry.previous);
        entries.push(entry);
    }
    Ok(entries)
}

/// Reads the newest entry; none before the first change.
///
/// # Errors
/// As [`read`].
pub async fn newest(
    platform: &PlatformClient,
    root: &ConfigRoot,
) -> Result<Option<AuditEntry>, FleetError> {
    Ok(read(platform, root, 1).await?.pop())
}

/// Whether an entry is among the `limit` newest ones.
///
/// # Errors
/// As [`read`].
pub async fn contains(
    platform: &PlatformClient,
    root: &ConfigRoot,
    entry: &digest::ContentHash,
    limit: usize,
) -> Result<bool, FleetError> {
    let mut next = root.audit.clone();
    for _ in 0..limit {
        match next {
            None => return Ok(false),
            Some(hash) if hash == *entry => return Ok(true),
            Some(hash) => next = read_entry(platform, &hash).await?.previous,
        }
    }
    Ok(false)
}

async fn read_entry(
    platform: &PlatformClient,
    hash: &digest::ContentHash,
) -> Result<AuditEntry, FleetError> {
    let (_, chunk) = config_store::read_chunk(platform, hash).await?;
    let Chunk::Audit(entry) = chunk else {
        let detail = format!("chunk {hash} is not an audit entry");
        return Err(FleetError::new(ErrorKind::Invalid, detail));
    };
    Ok(entry)
}
