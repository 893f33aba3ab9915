//! Updates from outside: configuration, verdicts, ejection records, drains and loads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::pause::PauseTime;
use model::{config, ids};
use tokio::time::Instant;

use super::instance_pauses::AskedPause;
use super::{FLEET_TRIAL_RATE, ServiceBalancer, TRIAL_INTERVAL_MIN};

use crate::detection::{self, DetectionThresholds};
use crate::ejection;
use crate::service::entry::{DrainState, UpstreamEntry, UpstreamStatus};
use crate::service::placement::Placement;

/// Factor by which the load of a data centre's upstreams may exceed their share, so that
/// requests stay local.
const LOCAL_EXCESS_FACTOR: f64 = 1.3;

impl ServiceBalancer {
    /// Applies a new configuration; upstreams that it keeps retain their state.
    pub fn configure(&mut self, now: Instant, service: Arc<config::Service>) {
        self.thresholds = DetectionThresholds::for_profile(service.profile);
        self.budget.set_allowance(service.retry_allowance);
        let configured: BTreeSet<_> = service.upstreams.iter().map(|up| up.id.clone()).collect();
        for up in &service.upstreams {
            self.put_upstream(now, Arc::new(up.clone()));
        }
        for (id, key) in &self.by_id {
            self.upstreams[*key].unconfigured = !configured.contains(id);
        }
        self.service = service;
        self.remove_idle_unconfigured(now, &configured);
    }

    fn put_upstream(&mut self, now: Instant, upstream: Arc<config::Upstream>) {
        let id = upstream.id.clone();
        if let Some(key) = self.by_id.get(&id) {
            let entry = &mut self.upstreams[*key];
            let is_final = entry.drain == DrainState::Final;
            if entry.upstream.state != upstream.state && !is_final {
                entry.drain = DrainState::None;
            }
            entry.upstream = upstream;
            return;
        }
        let mut entry = UpstreamEntry::new(now, upstream, self.thresholds.eject);
        // Until it is assigned, a new upstream would be the first choice of all nodes.
        entry.in_subset = self.placement == Placement::Hashed;
        if let Some(stated) = self.remembered.take(&id) {
            entry.restore(now, stated, self.draw_return_turn());
        }
        let instance = entry.upstream.instance.as_deref();
        let pause = instance.and_then(|name| self.instance_pauses.of_new_start(now, name));
        if let Some(pause) = pause {
            entry.pause_until(pause.asked_at, pause.until, self.draw_return_turn());
        }
        let key = self.upstreams.insert(entry);
        self.by_id.insert(id, key);
    }

    fn remove_idle_unconfigured(&mut self, now: Instant, configured: &BTreeSet<ids::UpstreamId>) {
        let upstreams = &mut self.upstreams;
        let remembered = &mut self.remembered;
        self.by_id.retain(|id, key| {
            let keep = configured.contains(id) || upstreams[*key].in_flight > 0;
            if !keep && let Some(entry) = upstreams.remove(*key) {
                remembered.insert(id, entry.stated(now));
            }
            keep
        });
    }

    /// Sets the number of nodes in the fleet, which share the trials of an upstream.
    pub fn set_fleet_size(&mut self, nodes: u32) {
        self.fleet_nodes = nodes;
        let seconds = f64::from(nodes) / FLEET_TRIAL_RATE.get();
        self.trial_interval = Duration::from_secs_f64(seconds).max(TRIAL_INTERVAL_MIN);
        self.evidence.set_fleet_size(nodes);
    }

    /// Sets the share of the fleet's nodes that are in this node's data centre.
    ///
    /// If the data centre has a smaller share of the service's slots, some requests skip the
    /// preference for local upstreams, so that those are not overloaded.
    pub fn set_local_node_share(&mut self, share: f64) {
        self.local_node_share = share;
        let eligible = self.upstreams.values().filter(|entry| entry.is_eligible());
        let slots = |local_only: bool| -> u32 {
            let counted = eligible.clone().filter(|entry| {
                !local_only || entry.upstream.data_centre == self.local_data_centre
            });
            counted.map(|entry| entry.upstream.slots.get()).sum()
        };
        let slot_share = f64::from(slots(true)) / f64::from(slots(false).max(1));
        self.local_share =
            (slot_share / share.max(f64::MIN_POSITIVE) * LOCAL_EXCESS_FACTOR).min(1.0);
    }

    /// Sets how the upstreams are selected that this node prefers.
    pub const fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
    }

    /// Sets the subset of upstreams that this node prefers.
    pub fn set_subset(&mut self, subset: &BTreeSet<ids::UpstreamId>) {
        for entry in self.upstreams.values_mut() {
            entry.in_subset = subset.contains(&entry.upstream.id);
        }
    }

    /// Sets the upstreams that are assigned to this node, each with the number of nodes that have
    /// it; returns how many the node gained or lost.
    pub fn set_assigned_subset(&mut self, subset: &BTreeMap<ids::UpstreamId, u32>) -> usize {
        let mut changed = 0;
        for entry in self.upstreams.values_mut() {
            entry.sharing_nodes = subset.get(&entry.upstream.id).copied();
            let in_subset = entry.sharing_nodes.is_some();
            changed += usize::from(entry.in_subset != in_subset);
            entry.in_subset = in_subset;
        }
        changed
    }

    /// Applies the median latency published by the service's collector.
    pub fn apply_estimate(&mut self, estimate: &detection::ServiceLatency) {
        self.collector_median = Some(Duration::from_micros(u64::from(estimate.median_micros)));
    }

    /// Applies a collector's verdict.
    pub fn apply_verdict(
        &mut self,
        now: Instant,
        upstream: &ids::UpstreamId,
        verdict: &detection::Verdict,
    ) {
        let Some(key) = self.by_id.get(upstream) else {
            return;
        };
        let avoid = match verdict {
            detection::Verdict::Clear => false,
            detection::Verdict::Eject
            | detection::Verdict::Avoid(detection::VerdictScope::Fleet) => true,
            detection::Verdict::Avoid(detection::VerdictScope::DataCentres(centres)) => {
                centres.contains(&self.local_data_centre)
            }
        };
        let entry = &mut self.upstreams[*key];
        if avoid && entry.collector_avoid_at.is_none() {
            let jitter = self
                .trial_interval
                .mul_f64(rand::Rng::random::<f64>(&mut self.rng));
            entry.next_trial_at = now + jitter;
        }
        if !avoid && entry.collector_avoid_at.is_some() {
            entry.start_ramp(now);
            entry.own_test.set(0.0);
            entry.own_avoid_at = None;
        }
        entry.collector_avoid_at = avoid.then_some(now);
    }

    /// Applies the record of ejected upstreams.
    pub fn apply_ejection_record(&mut self, now: Instant, record: &ejection::EjectionRecord) {
        for entry in self.upstreams.values_mut() {
            let ejected = record.ejected.contains_key(&entry.upstream.id);
            if entry.ejected && !ejected {
                entry.start_ramp(now);
            }
            entry.ejected = ejected;
        }
    }

    /// Records that an upstream states that it drains; returns whether that is new. Of an
    /// instance, which never returns to service, that is final.
    pub fn record_drain(&mut self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let Some(key) = self.by_id.get(upstream).copied() else {
            self.remembered.insert_drain(upstream);
            return false;
        };
        let is_new = self.record_misdirected(now, upstream);
        let entry = &mut self.upstreams[key];
        if entry.upstream.instance.is_some() {
            entry.drain = DrainState::Final;
        }
        is_new
    }

    /// Records that the address of an upstream belongs to another instance, so that it gets no
    /// requests for a while; returns whether that is new.
    pub fn record_misdirected(&mut self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let Some(key) = self.by_id.get(upstream) else {
            return false;
        };
        let entry = &mut self.upstreams[*key];
        let is_new = entry.status() != UpstreamStatus::Draining;
        if entry.drain != DrainState::Final {
            entry.drain = DrainState::SeenAt(now);
        }
        is_new
    }

    /// Records that an upstream asks this node for a pause. It holds for every start of the same
    /// instance that is known by now, or soon will be: any of them may have asked.
    pub fn record_pause(&mut self, now: Instant, upstream: &ids::UpstreamId, pause: PauseTime) {
        let Some(key) = self.by_id.get(upstream).copied() else {
            return;
        };
        let pause = AskedPause {
            asked_at: now,
            until: now + pause.get(),
        };
        let turn = self.draw_return_turn();
        let Some(instance) = self.upstreams[key].upstream.instance.clone() else {
            return self.upstreams[key].pause_until(pause.asked_at, pause.until, turn);
        };
        for entry in self.upstreams.values_mut() {
            if entry.upstream.instance.as_ref() == Some(&instance) {
                entry.pause_until(pause.asked_at, pause.until, turn);
            }
        }
        self.instance_pauses.record(&instance, pause);
    }

    /// Records the load that an upstream reports, clamped to 0 to 1.
    pub fn record_upstream_load(&mut self, upstream: &ids::UpstreamId, load: f64) {
        if let Some(key) = self.by_id.get(upstream) {
            self.upstreams[*key].reported_load = load.clamp(0.0, 1.0);
        }
    }
}
