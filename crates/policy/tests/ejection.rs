//! Ejections keep the floor, whoever races.

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

fn draw(
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

fn in_service(record: &EjectionRecord, service: &Service) -> u32 {
    let left = service.upstreams.iter().filter(|up| {
        up.state == UpstreamState::Active
            && !record.ejected.contains_key(&up.id)
            && !record.leaving.contains_key(&up.id)
    });
    left.map(|up| up.slots.get()).sum()
}

#[test]
fn no_sequence_of_ejections_and_departures_crosses_the_floor() {
    // Each step: an upstream, what happens to it, and how much time passes.
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut service = service(8, 4, 20);
        let mut record = EjectionRecord::empty(service.id.clone());
        let (mut now, mut generation) = (1_000, 1);
        for (which, what, pause) in steps {
            now += u64::from(pause);
            let id: UpstreamId = name(&format!("up-{}", which % 8));
            match what % 3 {
                0 => record = draw(&record, &service, &[id], now, generation).record,
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
                _ => record = draw(&record, &service, &[], now, generation).record,
            }
            if in_service(&record, &service) < 20 {
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

#[test]
fn an_ejection_under_the_floor_is_refused_with_the_figures() {
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

#[test]
fn what_is_not_proven_sound_counts_as_missing() {
    let service = service(3, 4, 4);
    let mut record = EjectionRecord::empty(service.id.clone());
    let cold: BTreeSet<UpstreamId> = [name("up-1"), name("up-2")].into();
    let result = record.eject(&service, &name("up-0"), UnixMillis::new(1), |id| {
        !cold.contains(id)
    });
    assert_eq!(result.unwrap_err().kind(), ErrorKind::UnderFloor);
}

#[test]
fn a_writer_with_an_older_configuration_changes_nothing() {
    let service = service(6, 4, 4);
    let mut record = EjectionRecord::empty(service.id.clone());
    record.remove_expired(&service, Generation::new(7), UnixMillis::new(1));
    let plan = draw(&record, &service, &[name("up-0")], 2, 6);
    assert!(!plan.needs_write());
    assert_eq!(plan.record, record);
}

#[test]
fn the_least_bad_comes_back_when_capacity_leaves_for_other_reasons() {
    let mut service = service(6, 4, 16);
    let mut record = EjectionRecord::empty(service.id.clone());
    let candidates = [name("up-0"), name("up-1")];
    record = draw(&record, &service, &candidates, 1_000, 1).record;
    assert_eq!(record.ejected.len(), 2);
    let ups = &mut Arc::make_mut(&mut service).upstreams;
    ups[5].state = UpstreamState::Draining;
    let plan = draw(&record, &service, &[], 2_000, 2);
    assert_eq!(plan.reinstated, [name::<UpstreamId>("up-0")]);
    assert!(plan.record.ramping.contains_key(&name("up-0")));
}

#[test]
fn an_ejection_ends_by_itself_and_the_next_one_lasts_longer() {
    let service = service(6, 4, 4);
    let id: UpstreamId = name("up-3");
    let mut record = EjectionRecord::empty(service.id.clone());
    let mut now = 1_000;
    let mut spans = Vec::new();
    for _ in 0..3 {
        record = draw(&record, &service, std::slice::from_ref(&id), now, 1).record;
        let until = record.ejected[&id].until.get();
        spans.push(until - now);
        now = until;
        let plan = draw(&record, &service, &[], now, 1);
        assert_eq!(plan.reinstated, std::slice::from_ref(&id));
        record = plan.record;
        now += 1_000;
    }
    assert!(spans[0] < spans[1] && spans[1] < spans[2], "{spans:?}");
}
