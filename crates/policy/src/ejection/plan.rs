//! Computes the ejection record that a collector proposes for a service.

use model::{clock, config, ids, sizes};

use super::record::EjectionRecord;

/// Input of [`EjectionPlan::compute`].
pub struct PlanInput<'a> {
    /// The service as configured.
    pub service: &'a config::Service,
    /// The generation of the configuration that the service comes from.
    pub generation: sizes::Generation,
    /// The current time.
    pub now: clock::UnixMillis,
    /// Upstreams whose ejection the detector proposes.
    pub candidates: &'a [ids::UpstreamId],
    /// Whether an upstream had more good than bad outcomes recently.
    pub recently_healthy: &'a dyn Fn(&ids::UpstreamId) -> bool,
    /// The failure score of an upstream; higher is worse.
    pub score: &'a dyn Fn(&ids::UpstreamId) -> f64,
}

/// A new ejection record and the changes that lead to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionPlan {
    /// The record to write.
    pub record: EjectionRecord,
    /// Upstreams that are ejected.
    pub ejected: Vec<ids::UpstreamId>,
    /// Upstreams whose ejection ends.
    pub reinstated: Vec<ids::UpstreamId>,
    /// Candidates that stay in service: the floor does not allow their ejection, or the
    /// service has no such upstream.
    pub refused: Vec<ids::UpstreamId>,
}

impl EjectionPlan {
    /// Computes the next record from the current one.
    ///
    /// The plan changes nothing if the record was written under a newer configuration.
    pub fn compute(current: &EjectionRecord, input: &PlanInput<'_>) -> Self {
        let mut plan = Self {
            record: current.clone(),
            ejected: Vec::new(),
            reinstated: Vec::new(),
            refused: Vec::new(),
        };
        if input.generation < current.seen {
            return plan;
        }
        plan.record
            .remove_expired(input.service, input.generation, input.now);
        plan.end_ejections(input);
        plan.reinstate_for_floor(input);
        plan.eject_candidates(input);
        plan
    }

    /// Whether the record must be written: entries that only expired need no update.
    pub const fn needs_write(&self) -> bool {
        !self.ejected.is_empty() || !self.reinstated.is_empty()
    }

    fn end_ejections(&mut self, input: &PlanInput<'_>) {
        let ended = self
            .record
            .ejected
            .iter()
            .filter(|(_, ejection)| ejection.until <= input.now);
        let ended: Vec<_> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.reinstate(id, input.now);
        }
    }

    /// Reinstates the upstreams with the lowest scores while the capacity in service is
    /// below the floor.
    fn reinstate_for_floor(&mut self, input: &PlanInput<'_>) {
        let mut candidates: Vec<_> = self.record.ejected.keys().cloned().collect();
        candidates.sort_by(|a, b| (input.score)(b).total_cmp(&(input.score)(a)));
        while self.slots_in_service(input) < input.service.floor {
            let Some(id) = candidates.pop() else {
                return;
            };
            self.reinstate(id, input.now);
        }
    }

    /// Slots that are neither ejected nor leaving; ramping upstreams serve requests, so
    /// they count here.
    fn slots_in_service(&self, input: &PlanInput<'_>) -> sizes::SlotCount {
        let record = &self.record;
        let serving = input.service.upstreams.iter().filter(|up| {
            up.state == config::UpstreamState::Active
                && !record.ejected.contains_key(&up.id)
                && !record.leaving.contains_key(&up.id)
        });
        sizes::SlotCount::new(serving.map(|up| up.slots.get()).sum())
    }

    fn eject_candidates(&mut self, input: &PlanInput<'_>) {
        let mut candidates: Vec<_> = input.candidates.to_vec();
        candidates
            .retain(|id| !self.record.ejected.contains_key(id) && !self.reinstated.contains(id));
        candidates.sort_by(|a, b| (input.score)(b).total_cmp(&(input.score)(a)));
        for id in candidates {
            match self
                .record
                .eject(input.service, &id, input.now, input.recently_healthy)
            {
                Ok(()) => self.ejected.push(id),
                Err(_) => self.refused.push(id),
            }
        }
    }

    fn reinstate(&mut self, id: ids::UpstreamId, now: clock::UnixMillis) {
        self.record.reinstate(&id, now);
        self.reinstated.push(id);
    }
}
