//! Applies the configuration and the ejection records of an entry node to its service tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::ids;
use node::follow::FleetSnapshot;
use node::members::MemberSet;
use node::wire::VersionedRecord;
use policy::membership::MemberTable;
use telemetry::metrics::NodeMetrics;
use tokio::sync::watch;
use upstream::service::{FleetShape, ServiceDirectory, SettingsFactory};

/// A task that builds the service directory from the current configuration.
pub(crate) struct DirectoryTask {
    pub(crate) snapshots: watch::Receiver<FleetSnapshot>,
    pub(crate) members: MemberSet,
    pub(crate) settings_factory: SettingsFactory,
    pub(crate) directory: watch::Sender<Arc<ServiceDirectory>>,
    pub(crate) metrics: Arc<NodeMetrics>,
}

impl DirectoryTask {
    /// Runs until the configuration follower or the task of the members ends.
    pub(crate) async fn run(mut self) {
        let mut members = self.members.watch();
        let mut records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>> = Arc::default();
        let mut shape = FleetShape {
            nodes: 0,
            local: Arc::default(),
        };
        loop {
            let snapshot = self.snapshots.borrow_and_update().clone();
            let current_shape = fleet_shape(&members.borrow_and_update());
            let directory = Arc::clone(&self.directory.borrow());
            let config_changed = directory.config.generation != snapshot.config.generation;
            if config_changed || shape != current_shape {
                shape = current_shape;
                let next = directory
                    .apply_config(snapshot.config, &self.settings_factory, shape.clone())
                    .await;
                self.metrics.set_generation(next.config.generation.get());
                self.directory.send_replace(Arc::new(next));
            }
            if config_changed || !Arc::ptr_eq(&records, &snapshot.records) {
                records = snapshot.records;
                self.send_records(&records).await;
            }
            tokio::select! {
                changed = self.snapshots.changed() => if changed.is_err() { return },
                changed = members.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Sends each ejection record to the task of its service.
    async fn send_records(&self, records: &BTreeMap<ids::ServiceId, VersionedRecord>) {
        let directory = Arc::clone(&self.directory.borrow());
        for (service, record) in records {
            if let Some(handle) = directory.handles.get(service) {
                handle.send_record(Arc::new(record.record.clone())).await;
            }
        }
    }
}

/// The nodes of the fleet and of this node's data centre, according to the member table. Those
/// that do not respond are included: they may still reach the upstreams.
pub(crate) fn fleet_shape(table: &MemberTable) -> FleetShape {
    FleetShape {
        nodes: table.len(),
        local: table.local_nodes().into(),
    }
}
