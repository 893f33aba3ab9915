//! Which nodes collect for which service, computed once for each view of the members.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{config, ids};
use policy::membership::{Member, MemberTable};
use policy::rendezvous;
use tokio::time::Instant;

/// Maximum age of an assignment while neither members nor configuration change.
const ASSIGNMENT_AGE_MAX: Duration = Duration::from_secs(10);

/// The collectors of every service.
#[derive(Debug)]
pub(super) struct CollectorAssignment {
    table: Arc<MemberTable>,
    computed_at: Instant,
    generation: u64,
    by_service: BTreeMap<ids::ServiceId, ServiceCollectors>,
}

/// The collectors of one service.
#[derive(Debug, Default, Clone)]
pub(super) struct ServiceCollectors {
    /// The collector of this node's data centre.
    pub(super) local: Option<Arc<Member>>,
    /// The collectors of the other data centres.
    pub(super) remote: Vec<Arc<Member>>,
    /// The position of this data centre in the order in which ejections are proposed.
    pub(super) rank: u32,
}

impl CollectorAssignment {
    pub(super) fn compute(
        now: Instant,
        table: Arc<MemberTable>,
        fleet: &config::FleetConfig,
    ) -> Self {
        let mut available = MembersByCentre::new();
        for member in table.available(now) {
            available
                .entry(member.data_centre.clone())
                .or_default()
                .push(member);
        }
        let by_service = fleet.services.keys().map(|service| {
            (
                service.clone(),
                ServiceCollectors::compute(&table, &available, service),
            )
        });
        let by_service = by_service.collect();
        Self {
            table,
            computed_at: now,
            generation: fleet.generation.get(),
            by_service,
        }
    }

    /// Whether the assignment must be computed again.
    pub(super) fn is_stale(
        &self,
        now: Instant,
        table: &Arc<MemberTable>,
        fleet: &config::FleetConfig,
    ) -> bool {
        !Arc::ptr_eq(&self.table, table)
            || self.generation != fleet.generation.get()
            || now.duration_since(self.computed_at) >= ASSIGNMENT_AGE_MAX
    }

    pub(super) fn of(&self, service: &ids::ServiceId) -> ServiceCollectors {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// The services for which this node collects.
    pub(super) fn own_services(&self) -> impl Iterator<Item = &ids::ServiceId> {
        let node = &self.table.own().node;
        let own = self.by_service.iter().filter(move |(_, assignment)| {
            assignment
                .local
                .as_ref()
                .is_some_and(|member| member.node == *node)
        });
        own.map(|(service, _)| service)
    }
}

/// Available members by data centre.
type MembersByCentre = BTreeMap<ids::DataCentreId, Vec<Arc<Member>>>;

impl ServiceCollectors {
    /// Computes the collectors of one service. The collectors of the other data centres are
    /// needed, and computed, only when this node is the collector of its own.
    fn compute(table: &MemberTable, available: &MembersByCentre, service: &ids::ServiceId) -> Self {
        let own = table.own();
        let collector = |members: &Vec<Arc<Member>>| MemberTable::collector_among(service, members);
        let local = available.get(&own.data_centre).and_then(collector);
        if local.as_ref().is_some_and(|member| member.node != own.node) {
            return Self {
                local,
                ..Self::default()
            };
        }
        let centres: Vec<_> = available.keys().collect();
        let ranked = rendezvous::rank(&format!("eject/{service}"), &centres, |centre| {
            centre.as_str()
        });
        let rank = ranked
            .iter()
            .position(|centre| ***centre == own.data_centre)
            .unwrap_or(0);
        let other_centres = available
            .iter()
            .filter(|(centre, _)| **centre != own.data_centre);
        let remote = other_centres
            .filter_map(|(_, members)| collector(members))
            .collect();
        Self {
            local,
            remote,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
        }
    }
}
