//! Probes the upstreams that are assigned to this node.

use std::sync::Arc;
use std::time::Duration;

use model::config;
use node::members::MemberSet;
use tokio::sync::watch;
use tokio::time::{self, Instant};
use upstream::probe;
use upstream::service::ServiceDirectory;

/// How often each upstream is probed from each data centre.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until the directory's publisher stops.
pub(crate) async fn run(directory: watch::Receiver<Arc<ServiceDirectory>>, members: MemberSet) {
    let mut ticks = time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if directory.has_changed().is_err() {
            return;
        }
        let current = Arc::clone(&directory.borrow());
        let table = members.table();
        let now = Instant::now();
        for (id, service) in &current.config.services {
            let Some(handle) = current.handles.get(id) else {
                continue;
            };
            for up in &service.upstreams {
                let drains = up.state == config::UpstreamState::Draining;
                if drains || !table.probes(now, &up.id) {
                    continue;
                }
                let handle = handle.clone();
                let service = Arc::clone(service);
                let up = Arc::new(up.clone());
                tokio::spawn(async move { probe::run(&handle, &service, up).await });
            }
        }
    }
}
