//! Immutable pieces of the configuration, addressed by their content.

use bytes::Bytes;
use quick_error::quick_error;

use super::{audit, route, service, workspace};
use crate::digest;

crate::record! {
    /// One piece of the configuration.
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

/// A chunk's bytes and their address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedChunk {
    /// The address.
    pub hash: digest::ContentHash,
    /// The bytes.
    pub bytes: Bytes,
}

quick_error! {
    /// Why bytes are not the chunk that was asked for.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChunkError {
        /// The bytes have another address.
        WrongHash(wanted: digest::ContentHash) { display("bytes do not match {}", wanted) }
        /// The bytes cannot be decoded.
        Undecodable(hash: digest::ContentHash, why: std::sync::Arc<str>) {
            display("chunk {} cannot be decoded: {}", hash, why)
        }
    }
}

impl Chunk {
    /// Encodes the chunk and takes its address.
    pub fn encode(&self) -> EncodedChunk {
        let bytes = Bytes::from(serde_json::to_vec(self).unwrap_or_default());
        EncodedChunk {
            hash: digest::ContentHash::of(&bytes),
            bytes,
        }
    }

    /// Checks and decodes the bytes of a chunk.
    ///
    /// # Errors
    /// [`ChunkError`] when the bytes have another address or no chunk in them.
    pub fn decode(hash: &digest::ContentHash, bytes: &[u8]) -> Result<Self, ChunkError> {
        if digest::ContentHash::of(bytes) != *hash {
            return Err(ChunkError::WrongHash(hash.clone()));
        }
        serde_json::from_slice(bytes)
            .map_err(|why| ChunkError::Undecodable(hash.clone(), why.to_string().into()))
    }
}
