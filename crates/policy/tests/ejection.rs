//! Ejections never take a service below its floor, in any order of concurrent changes.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::{name, service};
use gooseberrydyke_policy::ejection::{EjectionPlan, EjectionRecord, PlanInput};
use model::clock::UnixMillis;
use model::config::{Service, UpstreamState};
use model::error::ErrorKind;
use model::ids::UpstreamId;
use model::sizes::Generation;
use quickcheck::{Gen, QuickCheck};

/// Computes a plan in which every upstream is recently healthy and the score rises with the
/// upstream's number.
fn plan_for(
    record: &EjectionRecord,
    service: &Service,
    candidates: &[UpstreamId],
    now: u64,
    generation: u64,
) -> EjectionPlan {
    EjectionPlan::compute(
        record,
        &PlanInput {
            service,
            generation: Generation::new(generation),
            now: UnixMillis::new(now),
            candidates,
            recently_healthy: &|_| true,
            score: &|id| f64::from(id.as_str().bytes().last().unwrap_or(0)),
        },
    )
}

/// Slots of active upstreams that are neither ejected nor leaving.
fn slots_in_service(record: &EjectionRecord, service: &Service) -> u32 {
    let serving = service.upstreams.iter().filter(|up| {
        up.state == UpstreamState::Active
            && !record.ejected.contains_key(&up.id)
            && !record.leaving.contains_key(&up.id)
    });
    serving.map(|up| up.slots.get()).sum()
}

/// Ejections by collectors and removals by operators both take capacity away. If each
/// checked the floor on its own, they would cross it together.
#[test]
fn no_sequence_of_ejections_and_removals_crosses_the_floor() {
    // Each step: the upstream, the operation on it, and the milliseconds that pass before.
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut service = service(8, 4, 20);
        let mut record = EjectionRecord::empty(service.id.clone());
        let (mut now, mut generation) = (1_000, 1);
        for (upstream, operation, pause_ms) in steps {
            now += u64::from(pause_ms);
            let id: UpstreamId = name(&format!("up-{}", upstream % 8));
            match operation % 3 {
                0 => record = plan_for(&record, &service, &[id], now, generation).record,
                1 => {
                    let next = Generation::new(generation + 1);
                    if record
                        .reserve(&service, std::slice::from_ref(&id), next)
                        .is_ok()
                    {
                        let ups = &mut Arc::make_mut(&mut service).upstreams;
                        ups.iter_mut()
                            .filter(|up| up.id == id)
                            .for_each(|up| up.state = UpstreamState::Draining);
                        generation += 1;
                    }
                }
                _ => record = plan_for(&record, &service, &[], now, generation).record,
            }
            if slots_in_service(&record, &service) < 20 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(60, 23))
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// An ejection that would leave too few slots is refused, and the error must show an
/// operator why.
#[test]
fn an_ejection_below_the_floor_is_refused_with_the_slot_counts() {
    let service = service(2, 4, 8);
    let mut record = EjectionRecord::empty(service.id.clone());
    let error = record
        .eject(&service, &name("up-0"), UnixMillis::new(1), |_| true)
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::UnderFloor);
    assert!(
        error
            .detail()
            .contains("keep 4 healthy slots, its floor is 8"),
        "{error}"
    );
}

/// Upstreams without recent successes may be failing too, so the floor must not rely on
/// their slots.
#[test]
fn upstreams_that_are_not_recently_healthy_do_not_count_for_the_floor() {
    let service = service(3, 4, 4);
    let mut record = EjectionRecord::empty(service.id.clone());
    let unhealthy: BTreeSet<UpstreamId> = [name("up-1"), name("up-2")].into();
    let result = record.eject(&service, &name("up-0"), UnixMillis::new(1), |id| {
        !unhealthy.contains(id)
    });
    assert_eq!(result.unwrap_err().kind(), ErrorKind::UnderFloor);
}

/// A node that still has an older configuration does not know the current upstreams and
/// floor. It must not change a record that was written under a newer one.
#[test]
fn a_writer_with_an_older_configuration_changes_nothing() {
    let service = service(6, 4, 4);
    let mut record = EjectionRecord::empty(service.id.clone());
    record.remove_expired(&service, Generation::new(7), UnixMillis::new(1));
    let plan = plan_for(&record, &service, &[name("up-0")], 2, 6);
    assert!(!plan.needs_write());
    assert_eq!(plan.record, record);
}

/// Draining an upstream can leave a service below its floor while others are ejected. The
/// ejected upstream with the lowest score must then be reinstated.
#[test]
fn the_upstream_with_the_lowest_score_is_reinstated_when_capacity_drops() {
    let mut service = service(6, 4, 16);
    let mut record = EjectionRecord::empty(service.id.clone());
    let candidates = [name("up-0"), name("up-1")];
    record = plan_for(&record, &service, &candidates, 1_000, 1).record;
    assert_eq!(record.ejected.len(), 2);
    let ups = &mut Arc::make_mut(&mut service).upstreams;
    ups[5].state = UpstreamState::Draining;
    let plan = plan_for(&record, &service, &[], 2_000, 2);
    assert_eq!(plan.reinstated, [name::<UpstreamId>("up-0")]);
    assert!(plan.record.ramping.contains_key(&name("up-0")));
}

/// An ejection must not last forever, and an upstream that is ejected repeatedly must
/// stay out of service longer each time.
#[test]
fn an_ejection_expires_and_the_next_one_lasts_longer() {
    let service = service(6, 4, 4);
    let id: UpstreamId = name("up-3");
    let mut record = EjectionRecord::empty(service.id.clone());
    let mut now = 1_000;
    let mut durations = Vec::new();
    for _ in 0..3 {
        record = plan_for(&record, &service, std::slice::from_ref(&id), now, 1).record;
        let until = record.ejected[&id].until.get();
        durations.push(until - now);
        now = until;
        let plan = plan_for(&record, &service, &[], now, 1);
        assert_eq!(plan.reinstated, std::slice::from_ref(&id));
        record = plan.record;
        now += 1_000;
    }
    assert!(
        durations[0] < durations[1] && durations[1] < durations[2],
        "{durations:?}"
    );
}
