//! The configuration as objects of the platform.

use bytes::Bytes;
use model::config::{Chunk, ChunkCache, ConfigRoot, EncodedChunk, FleetConfig};
use model::{digest, error, sizes};
use tokio::task::JoinSet;

use crate::client::PlatformClient;
use crate::names;
use crate::object::Condition;

/// Chunks that are read at once.
const READS_AT_ONCE: usize = 16;

/// The root with the version of its object.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRoot {
    /// The root.
    pub root: ConfigRoot,
    /// The condition under which the next root may be written.
    pub condition: Condition,
}

/// Reads the root; a platform without one gives the empty root.
///
/// # Errors
/// `PlatformAway` when it cannot be read.
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

/// Decodes the bytes of a root.
///
/// # Errors
/// `Invalid` when they hold no root.
pub fn decode_root(bytes: &[u8]) -> Result<ConfigRoot, error::FleetError> {
    serde_json::from_slice(bytes).map_err(|why| {
        let detail = format!("the configuration's root cannot be read: {why}");
        error::FleetError::new(error::ErrorKind::Invalid, detail)
    })
}

/// Encodes a root.
pub fn encode_root(root: &ConfigRoot) -> Bytes {
    Bytes::from(serde_json::to_vec(root).unwrap_or_default())
}

/// Writes a root under its condition and settles a lost answer by reading back.
///
/// # Errors
/// As [`PlatformClient::put_and_settle`].
pub async fn write_root(
    platform: &PlatformClient,
    root: &ConfigRoot,
    condition: Condition,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    platform
        .put_and_settle(&names::config_root(), encode_root(root), condition)
        .await
}

/// Reads one chunk and checks it against its address.
///
/// # Errors
/// `NotFound` when it does not exist, `Invalid` when it is damaged, `PlatformAway`.
pub async fn read_chunk(
    platform: &PlatformClient,
    hash: &digest::ContentHash,
) -> Result<(Bytes, Chunk), error::FleetError> {
    let Some(object) = platform.get(&names::chunk(hash)).await? else {
        let detail = format!("chunk {hash} does not exist");
        return Err(error::FleetError::new(error::ErrorKind::NotFound, detail));
    };
    let chunk = Chunk::decode(hash, &object.body)
        .map_err(|why| error::FleetError::new(error::ErrorKind::Invalid, why.to_string()))?;
    Ok((object.body, chunk))
}

/// Writes one chunk; one that exists already is the same by its address.
///
/// # Errors
/// `PlatformAway` or `WriteUnknown` when it is not known to be there.
pub async fn write_chunk(
    platform: &PlatformClient,
    chunk: &EncodedChunk,
) -> Result<(), error::FleetError> {
    let name = names::chunk(&chunk.hash);
    let result = platform
        .put_and_settle(&name, chunk.bytes.clone(), Condition::Absent)
        .await;
    match result {
        Err(error) if error.kind() != error::ErrorKind::Conflict => Err(error),
        _ => Ok(()),
    }
}

/// Reads every chunk that a root names and that the cache lacks.
///
/// # Errors
/// The first error of [`read_chunk`].
pub async fn read_missing(
    platform: &PlatformClient,
    root: &ConfigRoot,
    cache: &mut ChunkCache,
) -> Result<(), error::FleetError> {
    let missing = cache.missing(root);
    for hashes in missing.chunks(READS_AT_ONCE) {
        let mut reads = JoinSet::new();
        for hash in hashes.iter().cloned() {
            let platform = platform.clone();
            reads.spawn(async move { (read_chunk(&platform, &hash).await, hash) });
        }
        while let Some(read) = reads.join_next().await {
            let (chunk, hash) = read.map_err(|why| {
                error::FleetError::new(error::ErrorKind::PlatformUnavailable, why.to_string())
            })?;
            cache.insert(hash, chunk?.1);
        }
    }
    Ok(())
}

/// Reads the root and every chunk that it names.
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
            format!("chunk {hash} is missing"),
        )
    })?;
    Ok((stored, config))
}
