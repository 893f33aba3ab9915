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

/// How long a node may take to send what it is asked for.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Chunks that are asked of a node at once.
const CHUNKS_PER_MESSAGE: usize = 64;

/// Tries at the platform.
const PLATFORM_TRIES: usize = 5;
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The source did not give everything.
#[derive(Debug)]
struct FetchFailed;

/// Where a configuration is fetched from.
#[derive(Debug, Clone)]
pub(super) enum FetchFrom {
    Platform,
    Node(Arc<Member>),
}

/// A root and the chunks that were missing.
#[derive(Debug)]
pub(super) struct Fetched {
    pub(super) root: ConfigRoot,
    pub(super) root_bytes: Bytes,
    pub(super) chunks: BTreeMap<digest::ContentHash, Bytes>,
}

/// One fetch.
pub(super) struct FetchJob {
    pub(super) from: FetchFrom,
    pub(super) platform: PlatformClient,
    pub(super) peers: PeerSet,
    pub(super) cache: ChunkCache,
    pub(super) generation: sizes::Generation,
}

impl FetchJob {
    /// Fetches; tries the platform again when it fails, since nothing else will.
    pub(super) async fn run(self) -> Option<Fetched> {
        let tries = if matches!(self.from, FetchFrom::Platform) {
            PLATFORM_TRIES
        } else {
            1
        };
        for _ in 1..tries {
            match self.fetch().await {
                Err(FetchFailed) => time::sleep(RETRY_PAUSE).await,
                Ok(fetched) => return fetched,
            }
        }
        self.fetch().await.ok().flatten()
    }

    /// One try; nothing when there is nothing newer.
    async fn fetch(&self) -> Result<Option<Fetched>, FetchFailed> {
        let (root, root_bytes) = self.root().await.ok_or(FetchFailed)?;
        if root.generation <= self.generation {
            return Ok(None);
        }
        let missing = self.cache.missing(&root);
        let mut chunks = BTreeMap::new();
        if let FetchFrom::Node(member) = &self.from {
            self.ask_chunks(member, &missing, &mut chunks).await;
        }
        for hash in missing {
            if let btree_map::Entry::Vacant(entry) = chunks.entry(hash) {
                let read = config_store::read_chunk(&self.platform, entry.key()).await;
                let (bytes, _) = read.map_err(|_| FetchFailed)?;
                entry.insert(bytes);
            }
        }
        Ok(Some(Fetched {
            root,
            root_bytes,
            chunks,
        }))
    }

    async fn root(&self) -> Option<(ConfigRoot, Bytes)> {
        match &self.from {
            FetchFrom::Platform => {
                let stored = config_store::read_root(&self.platform).await.ok()?;
                let bytes = config_store::encode_root(&stored.root);
                Some((stored.root, bytes))
            }
            FetchFrom::Node(member) => {
                let reply = self
                    .peers
                    .ask(member, &NodeRequest::Root, FETCH_TIMEOUT)
                    .await
                    .ok()?;
                let NodeReply::Root(bytes) = reply else {
                    return None;
                };
                Some((decode_root(&bytes)?, Bytes::from(bytes)))
            }
        }
    }

    async fn ask_chunks(
        &self,
        member: &Arc<Member>,
        missing: &[digest::ContentHash],
        chunks: &mut BTreeMap<digest::ContentHash, Bytes>,
    ) {
        for hashes in missing.chunks(CHUNKS_PER_MESSAGE) {
            let request = NodeRequest::Chunks(hashes.to_vec());
            let reply = self.peers.ask(member, &request, FETCH_TIMEOUT).await;
            let Ok(NodeReply::Chunks(found)) = reply else {
                return;
            };
            let sound = found
                .into_iter()
                .filter(|(hash, bytes)| digest::ContentHash::of(bytes) == *hash)
                .map(|(hash, bytes)| (hash, Bytes::from(bytes)));
            chunks.extend(sound);
        }
    }
}

/// Asks a node for its ejection records.
pub(super) async fn records(peers: &PeerSet, member: &Arc<Member>) -> Option<Vec<VersionedRecord>> {
    match peers
        .ask(member, &NodeRequest::Records, FETCH_TIMEOUT)
        .await
    {
        Ok(NodeReply::Records(records)) => Some(records),
        _ => None,
    }
}
