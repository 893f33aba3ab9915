//! The configuration as objects of the platform: a root that names immutable chunks.

use bytes::Bytes;
use model::config::{Chunk, ChunkCache, ConfigRoot, EncodedChunk, FleetConfig};
use model::{digest, error, sizes};
use tokio::task::JoinSet;

use crate::client::PlatformClient;
use crate::names;
use crate::object::Condition;

/// Maximum number of chunks that are read concurrently.
const CONCURRENT_READS_MAX: usize = 16;

/// The configuration root with the condition for replacing it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRoot {
    /// The root as read; empty if none is stored.
    pub root: ConfigRoot,
    /// The condition under which the next root is written.
    pub condition: Condition,
}

/// Reads the root. If none is stored, returns the empty root.
///
/// # Errors
/// `PlatformUnavailable` if it cannot be read, `Invalid` if it cannot be decoded.
pub async fn read_root(platform: &PlatformClient) -> Result<StoredRoot, error::FleetError> {
    let Some(object) = platform.get(&names::config_root()).await? else {
        return Ok(StoredRoot {
            root: ConfigRoot::empty(),
            condition: Condition::Absent,
        });
    };
    let root = decode_root(&object.body)?;
    Ok(StoredRoot {
        root,
        condition: Condition::Version(object.version),
    })
}

/// Decodes a root from JSON.
///
/// # Errors
/// `Invalid` if the bytes are not a root.
pub fn decode_root(bytes: &[u8]) -> Result<ConfigRoot, error::FleetError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let detail = format!("cannot decode the configuration root: {error}");
        error::FleetError::new(error::ErrorKind::Invalid, detail)
    })
}

/// Encodes a root as JSON.
pub fn encode_root(root: &ConfigRoot) -> Bytes {
    Bytes::from(serde_json::to_vec(root).unwrap_or_default())
}

/// Writes a root under its condition. If the response is lost, reads the root back.
///
/// # Errors
/// As [`PlatformClient::put_and_confirm`].
pub async fn write_root(
    platform: &PlatformClient,
    root: &ConfigRoot,
    condition: Condition,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    platform
        .put_and_confirm(&names::config_root(), encode_root(root), condition)
        .await
}

/// Reads one chunk and verifies its content hash.
///
/// # Errors
/// `NotFound` if it does not exist, `Invalid` if the hash or the encoding is wrong,
/// `PlatformUnavailable` if it cannot be read.
pub async fn read_chunk(
    platform: &PlatformClient,
    hash: &digest::ContentHash,
) -> Result<(Bytes, Chunk), error::FleetError> {
    let Some(object) = platform.get(&names::chunk(hash)).await? else {
        let detail = format!("chunk {hash} does not exist");
        return Err(error::FleetError::new(error::ErrorKind::NotFound, detail));
    };
    let chunk = Chunk::decode(hash, &object.body)
        .map_err(|error| error::FleetError::new(error::ErrorKind::Invalid, error.to_string()))?;
    Ok((object.body, chunk))
}

/// Writes one chunk. A chunk that exists already has the same content, since its name is
/// its content hash.
///
/// # Errors
/// `PlatformUnavailable` or `WriteUnknown` if the chunk may not be stored.
pub async fn write_chunk(
    platform: &PlatformClient,
    chunk: &EncodedChunk,
) -> Result<(), error::FleetError> {
    let name = names::chunk(&chunk.hash);
    let result = platform
        .put_and_confirm(&name, chunk.bytes.clone(), Condition::Absent)
        .await;
    match result {
        Err(error) if error.kind() != error::ErrorKind::Conflict => Err(error),
        _ => Ok(()),
    }
}

/// Reads into the cache all chunks that a root names and the cache lacks.
///
/// # Errors
/// The first error of [`read_chunk`].
pub async fn read_missing(
    platform: &PlatformClient,
    root: &ConfigRoot,
    cache: &mut ChunkCache,
) -> Result<(), error::FleetError> {
    let missing = cache.missing(root);
    for hashes in missing.chunks(CONCURRENT_READS_MAX) {
        let mut reads = JoinSet::new();
        for hash in hashes.iter().cloned() {
            let platform = platform.clone();
            reads.spawn(async move { (read_chunk(&platform, &hash).await, hash) });
        }
        while let Some(read) = reads.join_next().await {
            let (chunk, hash) = read.map_err(|error| {
                error::FleetError::new(error::ErrorKind::PlatformUnavailable, error.to_string())
            })?;
            cache.insert(hash, chunk?.1);
        }
    }
    Ok(())
}

/// Reads the root and assembles the configuration, reading only chunks that are not cached.
///
/// # Errors
/// As [`read_root`] and [`read_chunk`].
pub async fn read_config(
    platform: &PlatformClient,
    cache: &mut ChunkCache,
) -> Result<(StoredRoot, FleetConfig), error::FleetError> {
    let stored = read_root(platform).await?;
    read_missing(platform, &stored.root, cache).await?;
    let config = FleetConfig::assemble(&stored.root, cache).map_err(|hash| {
        error::FleetError::new(
            error::ErrorKind::NotFound,
            format!("the configuration names chunk {hash}, which is missing"),
        )
    })?;
    Ok((stored, config))
}
