//! The configuration assembled from its chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{cache, chunk, root, route, service, workspace};
use crate::{digest, ids, sizes};

/// The whole configuration of one generation.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Its number.
    pub generation: sizes::Generation,
    /// Services by name.
    pub services: BTreeMap<ids::ServiceId, Arc<service::Service>>,
    /// Routes by name.
    pub routes: BTreeMap<ids::RouteId, Arc<route::Route>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<ids::WorkspaceId, workspace::Workspace>,
}

impl FleetConfig {
    /// The configuration before any change.
    pub fn empty() -> Self {
        Self {
            generation: sizes::Generation::new(0),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Assembles the chunks that a root names.
    ///
    /// # Errors
    /// The address of the first chunk that is missing from `chunks` or damaged.
    pub fn assemble(
        root: &root::ConfigRoot,
        chunks: &cache::ChunkCache,
    ) -> Result<Self, digest::ContentHash> {
        let mut config = Self {
            generation: root.generation,
            ..Self::empty()
        };
        for hash in root.chunks() {
            let Some(chunk) = chunks.get(hash) else {
                return Err(hash.clone());
            };
            config.add(chunk);
        }
        Ok(config)
    }

    fn add(&mut self, chunk: &chunk::Chunk) {
        match chunk {
            chunk::Chunk::Service(service) => {
                self.services
                    .insert(service.id.clone(), Arc::new(service.clone()));
            }
            chunk::Chunk::Routes(routes) => {
                let named = routes
                    .iter()
                    .map(|route| (route.id.clone(), Arc::new(route.clone())));
                self.routes.extend(named);
            }
            chunk::Chunk::Workspaces(spaces) => {
                let named = spaces.iter().map(|space| (space.id.clone(), space.clone()));
                self.workspaces.extend(named);
            }
            chunk::Chunk::Audit(_) => {}
        }
    }

    /// Splits the configuration into a root and its chunks, without an audit entry.
    pub fn split(&self) -> (root::ConfigRoot, Vec<chunk::EncodedChunk>) {
        let mut table = root::ConfigRoot {
            generation: self.generation,
            ..root::ConfigRoot::empty()
        };
        let mut pieces = Vec::new();
        for (id, service) in &self.services {
            let piece = chunk::Chunk::Service(service.as_ref().clone()).encode();
            table.services.insert(id.clone(), piece.hash.clone());
            pieces.push(piece);
        }
        for (block, routes) in self.route_blocks() {
            let piece = chunk::Chunk::Routes(routes).encode();
            table.routes.insert(block, piece.hash.clone());
            pieces.push(piece);
        }
        for (block, spaces) in self.workspace_blocks() {
            let piece = chunk::Chunk::Workspaces(spaces).encode();
            table.workspaces.insert(block, piece.hash.clone());
            pieces.push(piece);
        }
        (table, pieces)
    }

    fn route_blocks(&self) -> BTreeMap<u16, Vec<route::Route>> {
        let mut blocks: BTreeMap<u16, Vec<route::Route>> = BTreeMap::new();
        for route in self.routes.values() {
            let block = root::block_of(route.id.as_str(), root::ROUTE_BLOCKS);
            blocks
                .entry(block)
                .or_default()
                .push(route.as_ref().clone());
        }
        blocks
    }

    fn workspace_blocks(&self) -> BTreeMap<u16, Vec<workspace::Workspace>> {
        let mut blocks: BTreeMap<u16, Vec<workspace::Workspace>> = BTreeMap::new();
        for space in self.workspaces.values() {
            let block = root::block_of(space.id.as_str(), root::WORKSPACE_BLOCKS);
            blocks.entry(block).or_default().push(space.clone());
        }
        blocks
    }
}
