//! Chunks that a process holds in memory.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{chunk, root};
use crate::digest;

/// Decoded chunks by content hash.
#[derive(Debug, Clone, Default)]
pub struct ChunkCache {
    chunks: HashMap<digest::ContentHash, Arc<chunk::Chunk>>,
}

impl ChunkCache {
    /// The chunk with this hash, if cached.
    pub fn get(&self, hash: &digest::ContentHash) -> Option<&Arc<chunk::Chunk>> {
        self.chunks.get(hash)
    }

    /// Adds a chunk under its hash.
    pub fn insert(&mut self, hash: digest::ContentHash, chunk: chunk::Chunk) {
        self.chunks.insert(hash, Arc::new(chunk));
    }

    /// Hashes of the chunks that a root references and that are not cached.
    pub fn missing(&self, root: &root::ConfigRoot) -> Vec<digest::ContentHash> {
        root.chunks()
            .filter(|hash| !self.chunks.contains_key(hash))
            .cloned()
            .collect()
    }

    /// Removes the chunks that a root does not reference.
    pub fn retain_referenced(&mut self, root: &root::ConfigRoot) {
        let referenced: HashSet<_> = root.chunks().collect();
        self.chunks.retain(|hash, _| referenced.contains(hash));
    }
}
