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
use upstream::service::{FleetSize, ServiceDirectory, SettingsFactory};

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
        let mut size = FleetSize { nodes: 0, local: 0 };
        loop {
            let snapshot = self.snapshots.borrow_and_update().clone();
            let current_size = fleet_size(&members.borrow_and_update());
            let directory = Arc::clone(&self.directory.borrow());
            let config_changed = directory.config.generation != snapshot.config.generation;
            if config_changed || size != current_size {
                size = current_size;
                let next = directory
                    .apply_config(snapshot.config, &self.settings_factory, size)
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

/// Number of nodes in the fleet and in this node's data centre, according to the member table.
pub(crate) fn fleet_size(table: &MemberTable) -> FleetSize {
    FleetSize {
        nodes: table.len(),
        local: table.local_len(),
    }
}
