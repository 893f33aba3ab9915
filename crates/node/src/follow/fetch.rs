//! Fetches a newer configuration from another node or from the platform.

use std::collections::{BTreeMap, btree_map};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use model::config::{ChunkCache, ConfigRoot};
use model::{digest, sizes};
use platform::{PlatformClient, config_store};
use policy::membership::Member;
use tokio::time;

use super::task::decode_root;
use crate::link::PeerSet;
use crate::wire::{NodeReply, NodeRequest, VersionedRecord};

/// Timeout for one request to a node.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Chunks requested from a node in one message.
const CHUNKS_PER_MESSAGE: usize = 64;

/// Attempts of one fetch from the platform.
const PLATFORM_ATTEMPTS: usize = 5;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The root or a chunk could not be read.
#[derive(Debug)]
struct FetchFailed;

/// Where a configuration is fetched from.
#[derive(Debug, Clone)]
pub(super) enum FetchSource {
    Platform,
    Node(Arc<Member>),
}

/// A root and the chunks that this node lacked.
#[derive(Debug)]
pub(super) struct FetchedConfig {
    pub(super) root: ConfigRoot,
    pub(super) root_bytes: Bytes,
    pub(super) chunks: BTreeMap<digest::ContentHash, Bytes>,
}

/// A fetch of a configuration newer than `generation`.
pub(super) struct FetchJob {
    pub(super) source: FetchSource,
    pub(super) platform: PlatformClient,
    pub(super) peers: PeerSet,
    pub(super) cache: ChunkCache,
    pub(super) generation: sizes::Generation,
}

impl FetchJob {
    /// Runs the fetch. A fetch from the platform is retried, since nothing else repeats it;
    /// one from a node is repeated by the next comparison.
    pub(super) async fn run(self) -> Option<FetchedConfig> {
        let attempts = if matches!(self.source, FetchSource::Platform) {
            PLATFORM_ATTEMPTS
        } else {
            1
        };
        for _ in 1..attempts {
            match self.fetch().await {
                Err(FetchFailed) => time::sleep(RETRY_PAUSE).await,
                Ok(fetched) => return fetched,
            }
        }
        self.fetch().await.ok().flatten()
    }

    /// One attempt; `None` when the source has no newer configuration.
    async fn fetch(&self) -> Result<Option<FetchedConfig>, FetchFailed> {
        let (root, root_bytes) = self.read_root().await.ok_or(FetchFailed)?;
        if root.generation <= self.generation {
            return Ok(None);
        }
        let missing = self.cache.missing(&root);
        let mut chunks = BTreeMap::new();
        if let FetchSource::Node(member) = &self.source {
            self.request_chunks(member, &missing, &mut chunks).await;
        }
        for hash in missing {
            if let btree_map::Entry::Vacant(entry) = chunks.entry(hash) {
                let read = config_store::read_chunk(&self.platform, entry.key()).await;
                let (bytes, _) = read.map_err(|_| FetchFailed)?;
                entry.insert(bytes);
            }
        }
        Ok(Some(FetchedConfig {
            root,
            root_bytes,
            chunks,
        }))
    }

    async fn read_root(&self) -> Option<(ConfigRoot, Bytes)> {
        match &self.source {
            FetchSource::Platform => {
                let stored = config_store::read_root(&self.platform).await.ok()?;
                let bytes = config_store::encode_root(&stored.root);
                Some((stored.root, bytes))
            }
            FetchSource::Node(member) => {
                let reply = self
                    .peers
                    .request(member, &NodeRequest::Root, FETCH_TIMEOUT)
                    .await
                    .ok()?;
                let NodeReply::Root(bytes) = reply else {
                    return None;
                };
                Some((decode_root(&bytes)?, Bytes::from(bytes)))
            }
        }
    }

    async fn request_chunks(
        &self,
        member: &Arc<Member>,
        missing: &[digest::ContentHash],
        chunks: &mut BTreeMap<digest::ContentHash, Bytes>,
    ) {
        for hashes in missing.chunks(CHUNKS_PER_MESSAGE) {
            let request = NodeRequest::Chunks(hashes.to_vec());
            let reply = self.peers.request(member, &request, FETCH_TIMEOUT).await;
            let Ok(NodeReply::Chunks(found)) = reply else {
                return;
            };
            let intact = found
                .into_iter()
                .filter(|(hash, bytes)| digest::ContentHash::of(bytes) == *hash)
                .map(|(hash, bytes)| (hash, Bytes::from(bytes)));
            chunks.extend(intact);
        }
    }
}

/// Fetches the ejection records of a node; `None` when it sends none.
pub(super) async fn fetch_records(
    peers: &PeerSet,
    member: &Arc<Member>,
) -> Option<Vec<VersionedRecord>> {
    match peers
        .request(member, &NodeRequest::Records, FETCH_TIMEOUT)
        .await
    {
        Ok(NodeReply::Records(records)) => Some(records),
        _ => None,
    }
}
