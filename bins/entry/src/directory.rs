//! Follows the configuration in force and keeps the services' tasks in line with it.

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

/// What the task needs of its node.
pub(crate) struct DirectoryParts {
    pub(crate) snapshots: watch::Receiver<FleetSnapshot>,
    pub(crate) members: MemberSet,
    pub(crate) settings_factory: SettingsFactory,
    pub(crate) publish: watch::Sender<Arc<ServiceDirectory>>,
    pub(crate) metrics: Arc<NodeMetrics>,
}

impl DirectoryParts {
    /// Runs until the follower stops.
    pub(crate) async fn run(mut self) {
        let mut members = self.members.watch();
        let mut records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>> = Arc::default();
        let mut size = FleetSize { nodes: 0, local: 0 };
        loop {
            let snapshot = self.snapshots.borrow_and_update().clone();
            let present = fleet_size(&members.borrow_and_update());
            let directory = Arc::clone(&self.publish.borrow());
            let moved = directory.config.generation != snapshot.config.generation;
            if moved || size != present {
                size = present;
                let next = directory
                    .apply_config(snapshot.config, &self.settings_factory, size)
                    .await;
                self.metrics.set_generation(next.config.generation.get());
                self.publish.send_replace(Arc::new(next));
            }
            if moved || !Arc::ptr_eq(&records, &snapshot.records) {
                records = snapshot.records;
                self.pass_records(&records).await;
            }
            tokio::select! {
                changed = self.snapshots.changed() => if changed.is_err() { return },
                changed = members.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn pass_records(&self, records: &BTreeMap<ids::ServiceId, VersionedRecord>) {
        let directory = Arc::clone(&self.publish.borrow());
        for (service, record) in records {
            if let Some(handle) = directory.handles.get(service) {
                handle.send_record(Arc::new(record.record.clone())).await;
            }
        }
    }
}

/// How many nodes share the work, as one node sees it.
pub(crate) fn fleet_size(table: &MemberTable) -> FleetSize {
    FleetSize {
        nodes: table.len(),
        local: table.local_len(),
    }
}
