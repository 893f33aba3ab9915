//! Who collects for which service, worked out once for each view of the members.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{config, ids};
use policy::membership::{Member, MemberTable};
use policy::rendezvous;
use tokio::time::Instant;

/// How long the assignment holds when the members do not change.
const ASSIGNMENT_SPAN: Duration = Duration::from_secs(10);

/// The collectors of every service.
#[derive(Debug)]
pub(super) struct CollectorAssignment {
    table: Arc<MemberTable>,
    drawn: Instant,
    generation: u64,
    by_service: BTreeMap<ids::ServiceId, ServiceCollectors>,
}

/// The collectors of one service.
#[derive(Debug, Default, Clone)]
pub(super) struct ServiceCollectors {
    /// The collector of this node's data centre.
    pub(super) near: Option<Arc<Member>>,
    /// The collectors of the other data centres.
    pub(super) far: Vec<Arc<Member>>,
    /// The place of this data centre in the order in which ejections are proposed.
    pub(super) rank: u32,
}

impl CollectorAssignment {
    pub(super) fn draw(now: Instant, table: Arc<MemberTable>, fleet: &config::FleetConfig) -> Self {
        let mut able = AbleByCentre::new();
        for member in table.available(now) {
            able.entry(member.data_centre.clone())
                .or_default()
                .push(member);
        }
        let by_service = fleet.services.keys().map(|service| {
            (
                service.clone(),
                ServiceCollectors::draw(&table, &able, service),
            )
        });
        let by_service = by_service.collect();
        Self {
            table,
            drawn: now,
            generation: fleet.generation.get(),
            by_service,
        }
    }

    /// Whether the assignment must be drawn again.
    pub(super) fn is_stale(
        &self,
        now: Instant,
        table: &Arc<MemberTable>,
        fleet: &config::FleetConfig,
    ) -> bool {
        !Arc::ptr_eq(&self.table, table)
            || self.generation != fleet.generation.get()
            || now.duration_since(self.drawn) >= ASSIGNMENT_SPAN
    }

    pub(super) fn of(&self, service: &ids::ServiceId) -> ServiceCollectors {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Services for which this node collects.
    pub(super) fn own(&self) -> impl Iterator<Item = &ids::ServiceId> {
        let node = &self.table.own().node;
        let own = self.by_service.iter().filter(move |(_, assignment)| {
            assignment
                .near
                .as_ref()
                .is_some_and(|member| member.node == *node)
        });
        own.map(|(service, _)| service)
    }
}

/// Members that can do jobs, by data centre.
type AbleByCentre = BTreeMap<ids::DataCentreId, Vec<Arc<Member>>>;

impl ServiceCollectors {
    /// Draws the assignment of one service. Only its own collector needs to know the
    /// collectors of the other data centres.
    fn draw(table: &MemberTable, able: &AbleByCentre, service: &ids::ServiceId) -> Self {
        let own = table.own();
        let collector = |near: &Vec<Arc<Member>>| MemberTable::collector_among(service, near);
        let near = able.get(&own.data_centre).and_then(collector);
        if near.as_ref().is_some_and(|member| member.node != own.node) {
            return Self {
                near,
                ..Self::default()
            };
        }
        let centres: Vec<_> = able.keys().collect();
        let ranked = rendezvous::rank(&format!("eject/{service}"), &centres, |centre| {
            centre.as_str()
        });
        let rank = ranked
            .iter()
            .position(|centre| ***centre == own.data_centre)
            .unwrap_or(0);
        let far = able
            .iter()
            .filter(|(centre, _)| **centre != own.data_centre);
        let far = far.filter_map(|(_, members)| collector(members)).collect();
        Self {
            near,
            far,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
        }
    }
}
