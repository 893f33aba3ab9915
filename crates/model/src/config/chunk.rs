//! Chunks: immutable parts of the configuration, stored under the hash of their content.

use bytes::Bytes;
use quick_error::quick_error;

use super::{audit, route, service, workspace};
use crate::digest;

crate::record! {
    /// One part of the configuration.
    pub enum Chunk {
        /// A service with its upstreams.
        Service(service::Service),
        /// A block of routes.
        Routes(Vec<route::Route>),
        /// A block of workspaces.
        Workspaces(Vec<workspace::Workspace>),
        /// An audit entry.
        Audit(audit::AuditEntry),
    }
}

/// The encoded form of a chunk with its hash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedChunk {
    /// The hash of `bytes`.
    pub hash: digest::ContentHash,
    /// The chunk as JSON.
    pub bytes: Bytes,
}

quick_error! {
    /// Why bytes are not the requested chunk.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChunkError {
        /// The bytes have a different hash.
        WrongHash(expected: digest::ContentHash) {
            display("the content of chunk {} does not match its hash", expected)
        }
        /// The bytes are not the JSON of a chunk.
        Undecodable(hash: digest::ContentHash, reason: std::sync::Arc<str>) {
            display("cannot decode chunk {}: {}", hash, reason)
        }
    }
}

impl Chunk {
    /// Encodes the chunk as JSON and hashes it.
    pub fn encode(&self) -> EncodedChunk {
        let bytes = Bytes::from(serde_json::to_vec(self).unwrap_or_default());
        EncodedChunk {
            hash: digest::ContentHash::of(&bytes),
            bytes,
        }
    }

    /// Verifies the hash of a chunk's bytes and decodes them.
    ///
    /// # Errors
    /// [`ChunkError`] when the hash differs or the bytes are not a chunk.
    pub fn decode(hash: &digest::ContentHash, bytes: &[u8]) -> Result<Self, ChunkError> {
        if digest::ContentHash::of(bytes) != *hash {
            return Err(ChunkError::WrongHash(hash.clone()));
        }
        serde_json::from_slice(bytes)
            .map_err(|error| ChunkError::Undecodable(hash.clone(), error.to_string().into()))
    }
}
