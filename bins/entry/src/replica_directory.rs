//! Applies the route and upstream snapshots of a gateway to its service tasks.

use std::sync::Arc;

use caller::CallerLimits;
use model::config::RequestLimits;
use node::replica::{ReplicaFleet, ReplicaSnapshot};
use telemetry::metrics::NodeMetrics;
use tokio::sync::watch;
use upstream::service::{FleetShape, ServiceDirectory, SettingsFactory};

use crate::directory::fleet_shape;

/// A task that builds the service directory and the caller limits from the snapshots of
/// routes and upstreams.
pub(crate) struct ReplicaDirectoryTask {
    pub(crate) fleet: ReplicaFleet,
    pub(crate) settings_factory: SettingsFactory,
    pub(crate) directory: watch::Sender<Arc<ServiceDirectory>>,
    pub(crate) limits: watch::Sender<CallerLimits>,
    pub(crate) metrics: Arc<NodeMetrics>,
}

impl ReplicaDirectoryTask {
    /// Runs until the task of the snapshots or of the members ends.
    pub(crate) async fn run(self) {
        let mut snapshots = self.fleet.replica.watch();
        let mut members = self.fleet.members.watch();
        let mut shape = fleet_shape(&members.borrow_and_update());
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.apply_snapshot(&snapshot, &shape).await;
            loop {
                tokio::select! {
                    changed = snapshots.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    changed = members.changed() => if changed.is_err() { return },
                }
                let new_shape = fleet_shape(&members.borrow_and_update());
                if new_shape != shape {
                    shape = new_shape;
                    let directory = Arc::clone(&self.directory.borrow());
                    directory.set_fleet_shape(&shape).await;
                }
            }
        }
    }

    /// Does nothing until both snapshots have arrived.
    async fn apply_snapshot(&self, snapshot: &ReplicaSnapshot, shape: &FleetShape) {
        let (Some(routes), Some(upstreams)) = (&snapshot.routes, &snapshot.upstreams) else {
            return;
        };
        let config = if snapshot.leaving.is_empty() {
            routes.join(upstreams)
        } else {
            routes.join(&upstreams.with_draining(&snapshot.leaving))
        };
        let config = Arc::new(config);
        let current = Arc::clone(&self.directory.borrow());
        let next = current
            .apply_config(config, &self.settings_factory, shape.clone())
            .await;
        self.metrics.set_generation(next.config.generation.get());
        self.directory.send_replace(Arc::new(next));
        self.limits
            .send_modify(|limits| apply_request_limits(limits, &routes.request_limits));
    }
}

fn apply_request_limits(limits: &mut CallerLimits, request_limits: &RequestLimits) {
    let head = usize::try_from(request_limits.head.get()).unwrap_or(usize::MAX);
    limits.connection.head_bytes = head;
    limits.connection.head_timeout = request_limits.head_timeout.get();
    limits.connection.idle_timeout = request_limits.idle_timeout.get();
    limits.body = Some(request_limits.body);
}
