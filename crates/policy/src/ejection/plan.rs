//! What a collector proposes for the record of a service.

use model::{clock, config, ids, sizes};

use super::record::EjectionRecord;

/// Everything that a proposal rests on.
pub struct PlanInput<'a> {
    /// The service as configured.
    pub service: &'a config::Service,
    /// The configuration's generation.
    pub generation: sizes::Generation,
    /// The present time.
    pub now: clock::UnixMillis,
    /// Upstreams whose ejection the detector proposes.
    pub candidates: &'a [ids::UpstreamId],
    /// Whether an upstream answered of late.
    pub proven: &'a dyn Fn(&ids::UpstreamId) -> bool,
    /// How bad an upstream looks.
    pub score: &'a dyn Fn(&ids::UpstreamId) -> f64,
}

/// A new record and what differs from the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionPlan {
    /// The record to write.
    pub record: EjectionRecord,
    /// Upstreams that it ejects.
    pub ejects: Vec<ids::UpstreamId>,
    /// Upstreams that it brings back.
    pub reinstates: Vec<ids::UpstreamId>,
    /// Upstreams that stay because of the floor.
    pub refused: Vec<ids::UpstreamId>,
}

impl EjectionPlan {
    /// Works out the next record from the one in force.
    pub fn draw(current: &EjectionRecord, input: &PlanInput<'_>) -> Self {
        let mut plan = Self {
            record: current.clone(),
            ejects: Vec::new(),
            reinstates: Vec::new(),
            refused: Vec::new(),
        };
        if input.generation < current.seen {
            return plan;
        }
        plan.record.tidy(input.service, input.generation, input.now);
        plan.end_ejections(input);
        plan.restore_floor(input);
        plan.eject_candidates(input);
        plan
    }

    /// Whether the record differs in more than what lapsed by itself.
    pub const fn is_needed(&self) -> bool {
        !self.ejects.is_empty() || !self.reinstates.is_empty()
    }

    fn end_ejections(&mut self, input: &PlanInput<'_>) {
        let ended = self
            .record
            .ejected
            .iter()
            .filter(|(_, ejection)| ejection.until <= input.now);
        let ended: Vec<_> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.bring_back(id, input.now);
        }
    }

    /// Brings the least bad upstreams back while what is in service lies under the floor.
    fn restore_floor(&mut self, input: &PlanInput<'_>) {
        let mut candidates: Vec<_> = self.record.ejected.keys().cloned().collect();
        candidates.sort_by(|a, b| (input.score)(b).total_cmp(&(input.score)(a)));
        while self.in_service(input) < input.service.floor {
            let Some(id) = candidates.pop() else {
                return;
            };
            self.bring_back(id, input.now);
        }
    }

    /// Slots not ejected or leaving; a ramping upstream serves, so it counts here.
    fn in_service(&self, input: &PlanInput<'_>) -> sizes::SlotCount {
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
            .retain(|id| !self.record.ejected.contains_key(id) && !self.reinstates.contains(id));
        candidates.sort_by(|a, b| (input.score)(b).total_cmp(&(input.score)(a)));
        for id in candidates {
            match self
                .record
                .eject(input.service, &id, input.now, input.proven)
            {
                Ok(()) => self.ejects.push(id),
                Err(_) => self.refused.push(id),
            }
        }
    }

    fn bring_back(&mut self, id: ids::UpstreamId, now: clock::UnixMillis) {
        self.record.reinstate(&id, now);
        self.reinstates.push(id);
    }
}
