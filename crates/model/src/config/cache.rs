//! Chunks that a process has at hand.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{chunk, root};
use crate::digest;

/// Decoded chunks by address.
#[derive(Debug, Clone, Default)]
pub struct ChunkCache {
    chunks: HashMap<digest::ContentHash, Arc<chunk::Chunk>>,
}

impl ChunkCache {
    /// Looks a chunk up.
    pub fn get(&self, hash: &digest::ContentHash) -> Option<&Arc<chunk::Chunk>> {
        self.chunks.get(hash)
    }

    /// Adds a chunk under its address.
    pub fn insert(&mut self, hash: digest::ContentHash, chunk: chunk::Chunk) {
        self.chunks.insert(hash, Arc::new(chunk));
    }

    /// Addresses that a root names and the cache lacks.
    pub fn missing(&self, root: &root::ConfigRoot) -> Vec<digest::ContentHash> {
        root.chunks()
            .filter(|hash| !self.chunks.contains_key(hash))
            .cloned()
            .collect()
    }

    /// Forgets every chunk that a root does not name.
    pub fn retain_referenced(&mut self, root: &root::ConfigRoot) {
        let named: HashSet<_> = root.chunks().collect();
        self.chunks.retain(|hash, _| named.contains(hash));
    }
}
