//! The services that a node routes to, with a handle to the task of each.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::{config, ids};
use policy::routing::RouteTable;

use super::handle::{FleetShape, ServiceHandle};
use super::task::{self, ServiceSettings};

/// An immutable snapshot of the configuration, its routes and handles to the service tasks.
#[derive(Debug, Clone)]
pub struct ServiceDirectory {
    /// The configuration that the routes and handles belong to.
    pub config: Arc<config::FleetConfig>,
    /// The routing table built from `config`.
    pub routes: Arc<RouteTable>,
    /// A handle to the task of each configured service.
    pub handles: Arc<BTreeMap<ids::ServiceId, ServiceHandle>>,
}

/// Creates the settings of the task of a service.
pub type SettingsFactory = Arc<dyn Fn(&ids::ServiceId) -> ServiceSettings + Send + Sync>;

impl Default for ServiceDirectory {
    fn default() -> Self {
        Self {
            config: Arc::new(config::FleetConfig::empty()),
            routes: Arc::new(RouteTable::default()),
            handles: Arc::new(BTreeMap::new()),
        }
    }
}

impl ServiceDirectory {
    /// Builds the directory of a new configuration. The task of a service that is
    /// still configured keeps running and receives the changed settings; a task
    /// without a remaining handle ends.
    pub async fn apply_config(
        &self,
        fleet: Arc<config::FleetConfig>,
        settings_factory: &SettingsFactory,
        shape: FleetShape,
    ) -> Self {
        let mut handles = BTreeMap::new();
        for (id, service) in &fleet.services {
            let handle = match self.handles.get(id) {
                Some(handle) => {
                    let current = self.config.services.get(id);
                    if current != Some(service) {
                        handle.configure(Arc::clone(service)).await;
                    }
                    handle.clone()
                }
                None => task::start(settings_factory(id), Arc::clone(service)),
            };
            handle.set_fleet_shape(shape.clone()).await;
            handles.insert(id.clone(), handle);
        }
        let routes = Arc::new(RouteTable::build(&fleet));
        Self {
            config: fleet,
            routes,
            handles: Arc::new(handles),
        }
    }

    /// Tells the task of each service the nodes of the fleet.
    pub async fn set_fleet_shape(&self, shape: &FleetShape) {
        for handle in self.handles.values() {
            handle.set_fleet_shape(shape.clone()).await;
        }
    }
}
