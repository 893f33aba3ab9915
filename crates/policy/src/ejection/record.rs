//! The record of one service's missing capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{clock, config, error, ids, sizes};

use crate::invariant;

/// How long the first ejection lasts.
const EJECT_SPAN: Duration = Duration::from_secs(10);
/// The longest that an ejection lasts.
const EJECT_SPAN_MAX: Duration = Duration::from_mins(10);
/// How long a reinstated upstream counts as missing while its load ramps up.
pub(crate) const RAMP_SPAN: Duration = Duration::from_secs(30);
/// How long after its end an ejection counts towards flapping.
const FLAP_MEMORY: Duration = Duration::from_mins(15);
/// The most doublings of the span.
const FLAP_DOUBLINGS_MAX: u32 = 6;

model::record! {
    /// One upstream out of service.
    #[derive(Eq)]
    pub struct Ejection {
        /// When it was ejected.
        pub at: clock::UnixMillis,
        /// When it may come back.
        pub until: clock::UnixMillis,
    }

    /// The end of an earlier ejection.
    #[derive(Eq)]
    pub struct PastEjection {
        /// When it ended.
        pub ended: clock::UnixMillis,
        /// Ejections in a row, this one included.
        pub flaps: u32,
    }

    /// What is missing from one service.
    #[derive(Eq)]
    pub struct EjectionRecord {
        /// The service.
        pub service: ids::ServiceId,
        /// The newest generation by which the record was written; writers that
        /// know an older one must not touch it.
        pub seen: sizes::Generation,
        /// Upstreams out of service.
        pub ejected: BTreeMap<ids::UpstreamId, Ejection>,
        /// Upstreams that came back, with the end of their ramp.
        pub ramping: BTreeMap<ids::UpstreamId, clock::UnixMillis>,
        /// Upstreams that a change of configuration takes away, with its generation.
        pub leaving: BTreeMap<ids::UpstreamId, sizes::Generation>,
        /// Earlier ejections, for flapping.
        pub past: BTreeMap<ids::UpstreamId, PastEjection>,
    }
}

impl EjectionRecord {
    /// A record of a service that misses nothing.
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

    /// Healthy slots: active, not ejected, leaving or ramping, and proven sound.
    pub fn healthy_slots(
        &self,
        service: &config::Service,
        proven: impl Fn(&ids::UpstreamId) -> bool,
    ) -> sizes::SlotCount {
        let healthy = service
            .upstreams
            .iter()
            .filter(|up| self.is_healthy(up) && proven(&up.id));
        sizes::SlotCount::new(healthy.map(|up| up.slots.get()).sum())
    }

    fn is_healthy(&self, up: &config::Upstream) -> bool {
        up.state == config::UpstreamState::Active
            && !self.ejected.contains_key(&up.id)
            && !self.leaving.contains_key(&up.id)
            && !self.ramping.contains_key(&up.id)
    }

    /// Ejects an upstream when the rest of the service stays at its floor.
    ///
    /// # Errors
    /// `UnderFloor` when too little would remain, `NotFound` for a stranger.
    pub fn eject(
        &mut self,
        service: &config::Service,
        upstream: &ids::UpstreamId,
        now: clock::UnixMillis,
        proven: impl Fn(&ids::UpstreamId) -> bool,
    ) -> Result<(), error::FleetError> {
        if !service.upstreams.iter().any(|up| up.id == *upstream) {
            let detail = format!("{upstream} is not an upstream of {}", service.id);
            return Err(error::FleetError::new(error::ErrorKind::NotFound, detail));
        }
        let left = self.healthy_slots(service, |id| id != upstream && proven(id));
        self.check_floor(service, left)?;
        let span = self.next_span(upstream, now);
        self.ramping.remove(upstream);
        self.ejected.insert(
            upstream.clone(),
            Ejection {
                at: now,
                until: now.after(span),
            },
        );
        let after = self.healthy_slots(service, proven);
        invariant::check(invariant::Invariant::Floor, after >= service.floor, || {
            format!(
                "{} has {after} healthy slots, floor {}",
                service.id, service.floor
            )
        });
        Ok(())
    }

    /// Reserves the departure of upstreams by a change of configuration.
    ///
    /// # Errors
    /// `UnderFloor` when too little would remain.
    pub fn reserve(
        &mut self,
        service: &config::Service,
        upstreams: &[ids::UpstreamId],
        generation: sizes::Generation,
    ) -> Result<(), error::FleetError> {
        let left = self.healthy_slots(service, |id| !upstreams.contains(id));
        self.check_floor(service, left)?;
        let reserved = upstreams.iter().map(|id| (id.clone(), generation));
        self.leaving.extend(reserved);
        Ok(())
    }

    fn check_floor(
        &self,
        service: &config::Service,
        left: sizes::SlotCount,
    ) -> Result<(), error::FleetError> {
        if left >= service.floor {
            return Ok(());
        }
        let detail = format!(
            "{} would keep {left} healthy slots, its floor is {} ({} ejected, {} leaving, {} ramping)",
            service.id,
            service.floor,
            self.ejected.len(),
            self.leaving.len(),
            self.ramping.len(),
        );
        Err(error::FleetError::new(error::ErrorKind::UnderFloor, detail))
    }

    /// Brings an ejected upstream back; its load ramps up.
    pub fn reinstate(&mut self, upstream: &ids::UpstreamId, now: clock::UnixMillis) {
        if self.ejected.remove(upstream).is_none() {
            return;
        }
        let flaps = self.flaps(upstream, now) + 1;
        self.past
            .insert(upstream.clone(), PastEjection { ended: now, flaps });
        self.ramping.insert(upstream.clone(), now.after(RAMP_SPAN));
    }

    /// Forgets ramps that ended, reservations that lapsed and upstreams that are gone.
    pub fn tidy(
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
            .retain(|_, past| past.ended.after(FLAP_MEMORY) > now);
    }

    fn flaps(&self, upstream: &ids::UpstreamId, now: clock::UnixMillis) -> u32 {
        let past = self.past.get(upstream);
        past.filter(|past| past.ended.after(FLAP_MEMORY) > now)
            .map_or(0, |past| past.flaps)
    }

    fn next_span(&self, upstream: &ids::UpstreamId, now: clock::UnixMillis) -> Duration {
        let doublings = self.flaps(upstream, now).min(FLAP_DOUBLINGS_MAX);
        EJECT_SPAN
            .saturating_mul(1 << doublings)
            .min(EJECT_SPAN_MAX)
    }
}
