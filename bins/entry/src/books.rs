//! Follows the books and keeps the services' tasks in line with them.

use std::sync::Arc;

use caller::CallerLimits;
use model::config::RequestLimits;
use node::replica::{ReplicaFleet, ReplicaSnapshot};
use telemetry::metrics::NodeMetrics;
use tokio::sync::watch;
use upstream::service::{FleetSize, ServiceDirectory, SettingsFactory};

use crate::directory::fleet_size;

/// What the task needs of its node.
pub(crate) struct BookParts {
    pub(crate) fleet: ReplicaFleet,
    pub(crate) settings_factory: SettingsFactory,
    pub(crate) publish: watch::Sender<Arc<ServiceDirectory>>,
    pub(crate) limits: watch::Sender<CallerLimits>,
    pub(crate) metrics: Arc<NodeMetrics>,
}

impl BookParts {
    /// Runs until the node stops.
    pub(crate) async fn run(self) {
        let mut books = self.fleet.replica.watch();
        let mut members = self.fleet.members.watch();
        loop {
            let snapshot = books.borrow_and_update().clone();
            let size = fleet_size(&members.borrow_and_update());
            self.follow(&snapshot, size).await;
            tokio::select! {
                changed = books.changed() => if changed.is_err() { return },
                changed = members.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn follow(&self, snapshot: &ReplicaSnapshot, size: FleetSize) {
        let (Some(routes), Some(upstreams)) = (&snapshot.routes, &snapshot.upstreams) else {
            return;
        };
        let config = Arc::new(routes.join(upstreams));
        let current = Arc::clone(&self.publish.borrow());
        let next = current
            .apply_config(config, &self.settings_factory, size)
            .await;
        self.metrics.set_generation(next.config.generation.get());
        self.publish.send_replace(Arc::new(next));
        self.limits
            .send_modify(|limits| apply_bounds(limits, &routes.request_limits));
    }
}

fn apply_bounds(limits: &mut CallerLimits, bounds: &RequestLimits) {
    let head = usize::try_from(bounds.head.get()).unwrap_or(usize::MAX);
    limits.connection.head_bytes = head;
    limits.connection.head_timeout = bounds.head_timeout.get();
    limits.connection.idle_timeout = bounds.idle_timeout.get();
    limits.body = Some(bounds.body);
}
