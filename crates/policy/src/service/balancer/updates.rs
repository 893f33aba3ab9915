//! What the balancer learns from outside: settings, verdicts, records, drains, loads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::{config, ids};
use tokio::time::Instant;

use super::{FLEET_TRIAL_RATE, ServiceBalancer, TRIAL_INTERVAL_MIN};

use crate::detection::{self, DetectionThresholds};
use crate::ejection;
use crate::service::member::{Member, UpstreamStatus};

/// How much more than its share of the load a data centre's upstreams take, to
/// keep requests near.
const NEAR_EXCESS: f64 = 1.3;

impl ServiceBalancer {
    /// Takes new settings; members that stay keep their state.
    pub fn configure(&mut self, now: Instant, service: Arc<config::Service>) {
        self.costs = DetectionThresholds::for_profile(service.profile);
        self.budget.set_allowance(service.retries);
        let known: BTreeSet<_> = service.upstreams.iter().map(|up| up.id.clone()).collect();
        for up in &service.upstreams {
            self.put_member(now, Arc::new(up.clone()));
        }
        for (id, key) in &self.by_id {
            self.members[*key].stranger = !known.contains(id);
        }
        self.service = service;
        self.forget_idle_strangers(&known);
    }

    fn put_member(&mut self, now: Instant, upstream: Arc<config::Upstream>) {
        let id = upstream.id.clone();
        if let Some(key) = self.by_id.get(&id) {
            let member = &mut self.members[*key];
            if member.upstream.state != upstream.state {
                member.drain_seen = None;
            }
            member.upstream = upstream;
            return;
        }
        let member = Member::new(now, upstream, self.costs.eject);
        let key = self.members.insert(member);
        self.by_id.insert(id, key);
    }

    fn forget_idle_strangers(&mut self, known: &BTreeSet<ids::UpstreamId>) {
        let members = &mut self.members;
        self.by_id.retain(|id, key| {
            let keep = known.contains(id) || members[*key].in_flight > 0;
            if !keep {
                members.remove(*key);
            }
            keep
        });
    }

    /// Sets how many nodes share the trials of an upstream.
    pub fn set_fleet_size(&mut self, nodes: u32) {
        self.nodes = nodes;
        let seconds = f64::from(nodes) / FLEET_TRIAL_RATE.get();
        self.trial_interval = Duration::from_secs_f64(seconds).max(TRIAL_INTERVAL_MIN);
        self.buffer.set_fleet_size(nodes);
    }

    /// Sets the share of the fleet's nodes that stand in this node's data centre.
    ///
    /// Where that data centre has a smaller share of the service's slots, some
    /// requests go elsewhere, so that its upstreams are not overloaded.
    pub fn set_near_nodes(&mut self, share: f64) {
        let able = self.members.values().filter(|member| member.is_able());
        let slots = |near: bool| -> u32 {
            let wanted = able
                .clone()
                .filter(|member| !near || member.upstream.data_centre == self.home);
            wanted.map(|member| member.upstream.slots.get()).sum()
        };
        let slot_share = f64::from(slots(true)) / f64::from(slots(false).max(1));
        self.near_share = (slot_share / share.max(f64::MIN_POSITIVE) * NEAR_EXCESS).min(1.0);
    }

    /// Sets the upstreams that this node uses first.
    pub fn set_subset(&mut self, subset: &BTreeSet<ids::UpstreamId>) {
        for member in self.members.values_mut() {
            member.in_subset = subset.contains(&member.upstream.id);
        }
    }

    /// Takes the usual latency from the service's collector.
    pub fn take_estimate(&mut self, estimate: &detection::ServiceLatency) {
        self.told_median = Some(Duration::from_micros(u64::from(estimate.median_micros)));
    }

    /// Takes a collector's verdict.
    pub fn take_verdict(
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
                centres.contains(&self.home)
            }
        };
        let member = &mut self.members[*key];
        if avoid && member.told_avoid.is_none() {
            let jitter = self
                .trial_interval
                .mul_f64(rand::Rng::random::<f64>(&mut self.rng));
            member.next_trial = now + jitter;
        }
        if !avoid && member.told_avoid.is_some() {
            member.start_ramp(now);
            member.own.set(0.0);
            member.own_avoid = None;
        }
        member.told_avoid = avoid.then_some(now);
    }

    /// Takes the record of what is ejected.
    pub fn take_record(&mut self, now: Instant, record: &ejection::EjectionRecord) {
        for member in self.members.values_mut() {
            let ejected = record.ejected.contains_key(&member.upstream.id);
            if member.ejected && !ejected {
                member.start_ramp(now);
            }
            member.ejected = ejected;
        }
    }

    /// Takes a sign that an upstream drains; returns whether that is new.
    pub fn take_drain(&mut self, now: Instant, upstream: &ids::UpstreamId) -> bool {
        let Some(key) = self.by_id.get(upstream) else {
            return false;
        };
        let member = &mut self.members[*key];
        let update = member.status() != UpstreamStatus::Draining;
        member.drain_seen = Some(now);
        update
    }

    /// Takes the load that an upstream reports, from 0 to 1.
    pub fn take_load(&mut self, upstream: &ids::UpstreamId, load: f64) {
        if let Some(key) = self.by_id.get(upstream) {
            self.members[*key].reported_load = load.clamp(0.0, 1.0);
        }
    }
}
