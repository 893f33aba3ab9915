//! The configuration assembled from its chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{access, cache, chunk, root, route, service, workspace};
use crate::{digest, ids, sizes};

/// The complete configuration of one generation.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// The generation; 0 before the first change.
    pub generation: sizes::Generation,
    /// Services by id.
    pub services: BTreeMap<ids::ServiceId, Arc<service::Service>>,
    /// Routes by id.
    pub routes: BTreeMap<ids::RouteId, Arc<route::Route>>,
    /// Workspaces by id.
    pub workspaces: BTreeMap<ids::WorkspaceId, workspace::Workspace>,
    /// Which callers may use the fleet by key; they need no key if none. Set by snapshots only,
    /// not stored in chunks.
    pub access: Option<Arc<access::AccessTable>>,
}

impl FleetConfig {
    /// The configuration of generation 0, without objects.
    pub fn empty() -> Self {
        Self {
            generation: sizes::Generation::new(0),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            access: None,
        }
    }

    /// Assembles the configuration from the chunks that a root references.
    ///
    /// # Errors
    /// The hash of the first chunk that is missing from `chunks`.
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
                let by_id = routes
                    .iter()
                    .map(|route| (route.id.clone(), Arc::new(route.clone())));
                self.routes.extend(by_id);
            }
            chunk::Chunk::Workspaces(workspaces) => {
                let by_id = workspaces
                    .iter()
                    .map(|workspace| (workspace.id.clone(), workspace.clone()));
                self.workspaces.extend(by_id);
            }
            chunk::Chunk::Audit(_) => {}
        }
    }

    /// Splits the configuration into chunks and a root that references them; the root has no
    /// audit entry yet.
    pub fn split(&self) -> (root::ConfigRoot, Vec<chunk::EncodedChunk>) {
        let mut root = root::ConfigRoot {
            generation: self.generation,
            ..root::ConfigRoot::empty()
        };
        let mut chunks = Vec::new();
        for (id, service) in &self.services {
            let chunk = chunk::Chunk::Service(service.as_ref().clone()).encode();
            root.services.insert(id.clone(), chunk.hash.clone());
            chunks.push(chunk);
        }
        for (block, routes) in self.route_blocks() {
            let chunk = chunk::Chunk::Routes(routes).encode();
            root.routes.insert(block, chunk.hash.clone());
            chunks.push(chunk);
        }
        for (block, workspaces) in self.workspace_blocks() {
            let chunk = chunk::Chunk::Workspaces(workspaces).encode();
            root.workspaces.insert(block, chunk.hash.clone());
            chunks.push(chunk);
        }
        (root, chunks)
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
        for workspace in self.workspaces.values() {
            let block = root::block_of(workspace.id.as_str(), root::WORKSPACE_BLOCKS);
            blocks.entry(block).or_default().push(workspace.clone());
        }
        blocks
    }
}
