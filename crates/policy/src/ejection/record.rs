//! The ejection record: upstreams of one service that do not count as healthy capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{clock, config, error, ids, sizes};

use crate::invariant;

/// How long the first ejection lasts.
const EJECTION_DURATION: Duration = Duration::from_secs(10);
/// Limit on the duration of an ejection.
const EJECTION_DURATION_MAX: Duration = Duration::from_mins(10);
/// How long a reinstated upstream counts as missing capacity while its load ramps up.
const RAMP_DURATION: Duration = Duration::from_secs(30);
/// How long after its end an ejection counts as a flap.
const FLAP_RETENTION: Duration = Duration::from_mins(15);
/// Limit on the doublings of the duration caused by flapping.
const FLAP_DOUBLINGS_MAX: u32 = 6;

model::record! {
    /// The ejection of one upstream.
    #[derive(Eq)]
    pub struct Ejection {
        /// When the upstream was ejected.
        pub at: clock::UnixMillis,
        /// When the upstream may be reinstated.
        pub until: clock::UnixMillis,
    }

    /// The most recent ejection of an upstream that has ended.
    #[derive(Eq)]
    pub struct PastEjection {
        /// When the ejection ended.
        pub ended: clock::UnixMillis,
        /// Number of ejections in a row, including this one.
        pub flaps: u32,
    }

    /// The upstreams of one service that do not count as healthy capacity, by reason.
    #[derive(Eq)]
    pub struct EjectionRecord {
        /// The service of the upstreams.
        pub service: ids::ServiceId,
        /// The newest configuration generation under which the record was written;
        /// writers with an older configuration must not update it.
        pub seen: sizes::Generation,
        /// Ejected upstreams.
        pub ejected: BTreeMap<ids::UpstreamId, Ejection>,
        /// Reinstated upstreams, with the end of their ramp.
        pub ramping: BTreeMap<ids::UpstreamId, clock::UnixMillis>,
        /// Upstreams that a configuration change removes or drains, with its generation.
        pub leaving: BTreeMap<ids::UpstreamId, sizes::Generation>,
        /// Ended ejections, from which flapping is counted.
        pub past: BTreeMap<ids::UpstreamId, PastEjection>,
    }
}

impl EjectionRecord {
    /// The record of a service without missing capacity.
    pub const fn empty(service: ids::ServiceId) -> Self {
        Self {
            service,
            seen: sizes::Generation::new(0),
            ejected: BTreeMap::new(),
            ramping: BTreeMap::new(),
            leaving: BTreeMap::new(),
            past: BTreeMap::new(),
        }
    }

    /// Slots of upstreams that are active and recently healthy, and neither ejected nor
    /// leaving nor ramping.
    pub fn healthy_slots(
        &self,
        service: &config::Service,
        recently_healthy: impl Fn(&ids::UpstreamId) -> bool,
    ) -> sizes::SlotCount {
        let healthy = service
            .upstreams
            .iter()
            .filter(|up| self.is_healthy(up) && recently_healthy(&up.id));
        sizes::SlotCount::new(healthy.map(|up| up.slots.get()).sum())
    }

    fn is_healthy(&self, up: &config::Upstream) -> bool {
        up.state == config::UpstreamState::Active
            && !self.ejected.contains_key(&up.id)
            && !self.leaving.contains_key(&up.id)
            && !self.ramping.contains_key(&up.id)
    }

    /// Ejects an upstream if the other healthy upstreams keep the service at its floor.
    ///
    /// # Errors
    /// `UnderFloor` if too few healthy slots would remain, `NotFound` if the service has
    /// no such upstream.
    pub fn eject(
        &mut self,
        service: &config::Service,
        upstream: &ids::UpstreamId,
        now: clock::UnixMillis,
        recently_healthy: impl Fn(&ids::UpstreamId) -> bool,
    ) -> Result<(), error::FleetError> {
        if !service.upstreams.iter().any(|up| up.id == *upstream) {
            let detail = format!("{upstream} is not an upstream of {}", service.id);
            return Err(error::FleetError::new(error::ErrorKind::NotFound, detail));
        }
        let remaining = self.healthy_slots(service, |id| id != upstream && recently_healthy(id));
        self.check_floor(service, remaining)?;
        let duration = self.next_duration(upstream, now);
        self.ramping.remove(upstream);
        self.ejected.insert(
            upstream.clone(),
            Ejection {
                at: now,
                until: now.saturating_add(duration),
            },
        );
        let after = self.healthy_slots(service, recently_healthy);
        invariant::check(invariant::Invariant::Floor, after >= service.floor, || {
            format!(
                "{} has {after} healthy slots, floor {}",
                service.id, service.floor
            )
        });
        Ok(())
    }

    /// Reserves the removal of upstreams by a configuration change.
    ///
    /// # Errors
    /// `UnderFloor` if too few healthy slots would remain.
    pub fn reserve(
        &mut self,
        service: &config::Service,
        upstreams: &[ids::UpstreamId],
        generation: sizes::Generation,
    ) -> Result<(), error::FleetError> {
        let remaining = self.healthy_slots(service, |id| !upstreams.contains(id));
        self.check_floor(service, remaining)?;
        let reserved = upstreams.iter().map(|id| (id.clone(), generation));
        self.leaving.extend(reserved);
        Ok(())
    }

    fn check_floor(
        &self,
        service: &config::Service,
        remaining: sizes::SlotCount,
    ) -> Result<(), error::FleetError> {
        if remaining >= service.floor {
            return Ok(());
        }
        let detail = format!(
            "{} would keep {remaining} healthy slots, its floor is {} ({} ejected, {} leaving, {} ramping)",
            service.id,
            service.floor,
            self.ejected.len(),
            self.leaving.len(),
            self.ramping.len(),
        );
        Err(error::FleetError::new(error::ErrorKind::UnderFloor, detail))
    }

    /// Ends the ejection of an upstream and starts its ramp; no effect if it is not ejected.
    pub fn reinstate(&mut self, upstream: &ids::UpstreamId, now: clock::UnixMillis) {
        if self.ejected.remove(upstream).is_none() {
            return;
        }
        let flaps = self.flaps(upstream, now) + 1;
        self.past
            .insert(upstream.clone(), PastEjection { ended: now, flaps });
        self.ramping
            .insert(upstream.clone(), now.saturating_add(RAMP_DURATION));
    }

    /// Removes finished ramps, reservations for configurations up to `generation`, past
    /// ejections that no longer count as flaps, and ejected or ramping upstreams that are
    /// no longer active; raises the generation of the record.
    pub fn remove_expired(
        &mut self,
        service: &config::Service,
        generation: sizes::Generation,
        now: clock::UnixMillis,
    ) {
        let active = |id: &ids::UpstreamId| {
            let mut active = service.upstreams.iter();
            active.any(|up| up.id == *id && up.state == config::UpstreamState::Active)
        };
        self.seen = self.seen.max(generation);
        self.ejected.retain(|id, _| active(id));
        self.ramping.retain(|id, until| active(id) && *until > now);
        self.leaving.retain(|_, reserved| *reserved > generation);
        self.past
            .retain(|_, past| past.ended.saturating_add(FLAP_RETENTION) > now);
    }

    fn flaps(&self, upstream: &ids::UpstreamId, now: clock::UnixMillis) -> u32 {
        let past = self.past.get(upstream);
        past.filter(|past| past.ended.saturating_add(FLAP_RETENTION) > now)
            .map_or(0, |past| past.flaps)
    }

    fn next_duration(&self, upstream: &ids::UpstreamId, now: clock::UnixMillis) -> Duration {
        let doublings = self.flaps(upstream, now).min(FLAP_DOUBLINGS_MAX);
        EJECTION_DURATION
            .saturating_mul(1 << doublings)
            .min(EJECTION_DURATION_MAX)
    }
}
