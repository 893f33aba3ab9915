//! Probes the upstreams that are assigned to this node.

use std::sync::Arc;
use std::time::Duration;

use model::sizes::Generation;
use model::{config, ids};
use node::members::MemberSet;
use policy::membership::MemberTable;
use tokio::sync::watch;
use tokio::time::{self, Instant};
use upstream::probe;
use upstream::service::{ServiceDirectory, ServiceHandle};

/// Interval between two probes of an upstream from the same data centre.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Age at which an assignment is computed again even if neither the members nor the
/// configuration changed: whether a member is available depends on the time.
const ASSIGNMENT_AGE_MAX: Duration = Duration::from_secs(10);

/// The services whose upstreams this node probes, and the state they were computed from.
struct ProbeAssignment {
    table: Arc<MemberTable>,
    generation: Generation,
    computed_at: Instant,
    services: Vec<ids::ServiceId>,
}

impl ProbeAssignment {
    fn compute(table: Arc<MemberTable>, directory: &ServiceDirectory) -> Self {
        let computed_at = Instant::now();
        let services = directory.config.services.keys();
        let services = services
            .filter(|service| table.is_prober(computed_at, service))
            .cloned()
            .collect();
        Self {
            table,
            generation: directory.config.generation,
            computed_at,
            services,
        }
    }

    fn is_stale(&self, table: &Arc<MemberTable>, directory: &ServiceDirectory) -> bool {
        !Arc::ptr_eq(&self.table, table)
            || self.generation != directory.config.generation
            || self.computed_at.elapsed() >= ASSIGNMENT_AGE_MAX
    }
}

/// Probes the assigned upstreams until the sender of the directory is dropped.
pub(crate) async fn run(directory: watch::Receiver<Arc<ServiceDirectory>>, members: MemberSet) {
    let mut ticks = time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut assignment =
        ProbeAssignment::compute(members.table(), &Arc::clone(&directory.borrow()));
    loop {
        ticks.tick().await;
        if directory.has_changed().is_err() {
            return;
        }
        let current = Arc::clone(&directory.borrow());
        if assignment.is_stale(&members.table(), &current) {
            assignment = ProbeAssignment::compute(members.table(), &current);
        }
        for id in &assignment.services {
            let (Some(service), Some(handle)) =
                (current.config.services.get(id), current.handles.get(id))
            else {
                continue;
            };
            probe_service(service, handle);
        }
    }
}

/// Starts a probe of every active upstream of a service.
fn probe_service(service: &Arc<config::Service>, handle: &ServiceHandle) {
    let active = service
        .upstreams
        .iter()
        .filter(|up| up.state == config::UpstreamState::Active);
    for up in active {
        let handle = handle.clone();
        let service = Arc::clone(service);
        let up = Arc::new(up.clone());
        tokio::spawn(async move { probe::run(&handle, &service, up).await });
    }
}
