//! Proposes ejections and reinstatements by a conditional update of a service's record.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::error::ErrorKind;
use model::{clock, config, ids, sizes};
use platform::{PlatformClient, records};
use policy::ejection::{EjectionPlan, PlanInput};

use crate::wire::VersionedRecord;

/// The input of one proposal, copied from the detector.
pub(super) struct EjectionProposal {
    pub(super) service: Arc<config::Service>,
    pub(super) generation: sizes::Generation,
    pub(super) now: clock::UnixMillis,
    pub(super) candidates: Vec<ids::UpstreamId>,
    pub(super) recently_healthy: BTreeMap<ids::UpstreamId, bool>,
    pub(super) scores: BTreeMap<ids::UpstreamId, f64>,
}

impl EjectionProposal {
    /// Reads the record, computes the next one and writes it on condition that the version
    /// is unchanged.
    ///
    /// Returns the record when it was written.
    pub(super) async fn submit(self, platform: PlatformClient) -> Option<VersionedRecord> {
        let stored = records::read_ejections(&platform, &self.service.id)
            .await
            .ok()?;
        let plan = self.plan(&stored.record);
        for id in &plan.refused {
            log::warn!(target: "eject", "Upstream {id} of service {} stays: the floor forbids its ejection.", self.service.id);
        }
        if !plan.needs_write() {
            return None;
        }
        let written = records::write_ejections(&platform, &plan.record, stored.condition).await;
        match written {
            Ok(version) => {
                for id in &plan.ejected {
                    log::warn!(target: "eject", "Ejected upstream {id} of service {}.", self.service.id);
                }
                for id in &plan.reinstated {
                    log::info!(target: "eject", "Reinstated upstream {id} of service {}.", self.service.id);
                }
                Some(VersionedRecord {
                    version,
                    record: plan.record,
                })
            }
            Err(error) => {
                if error.kind() != ErrorKind::Conflict {
                    log::warn!(
                        target: "eject",
                        "Cannot write the ejections of service {}: {error}.",
                        self.service.id
                    );
                }
                None
            }
        }
    }

    fn plan(&self, current: &policy::ejection::EjectionRecord) -> EjectionPlan {
        let recently_healthy =
            |id: &ids::UpstreamId| self.recently_healthy.get(id).copied().unwrap_or(false);
        let score = |id: &ids::UpstreamId| self.scores.get(id).copied().unwrap_or(0.0);
        let input = PlanInput {
            service: &self.service,
            generation: self.generation,
            now: self.now,
            candidates: &self.candidates,
            recently_healthy: &recently_healthy,
            score: &score,
        };
        EjectionPlan::compute(current, &input)
    }
}
