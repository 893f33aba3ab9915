//! Planned restarts of the nodes, one after the other.

use std::time::Duration;

use crate::fleet::{QuotaFleet, Usage};
use crate::{CENTRES, NODES, RATE, run_case};

/// Time for which a node that leaves still serves its callers.
const LEAVING_TIME: Duration = Duration::from_millis(300);
/// Time after which a stopped node is back.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Time until the next node leaves, so that one leaves every 2 s.
const PAUSE: Duration = Duration::from_millis(200);

/// Restarts nodes in this order; each one announces that it leaves. Callers of a stopped node are
/// sent to the next one.
fn roll(
    fleet: &mut QuotaFleet,
    load: f64,
    order: impl Iterator<Item = usize>,
) -> (Usage, Duration) {
    let weights = fleet.weights.clone();
    let (mut usage, mut span) = (Usage::default(), Duration::ZERO);
    let mut measure = |fleet: &mut QuotaFleet, time| {
        let next = fleet.measure(load, time);
        usage.offered += next.offered;
        usage.granted += next.granted;
        usage.draws += next.draws;
        span += time;
    };
    for number in order {
        fleet.leave(number);
        fleet.weights[(number + CENTRES) % NODES] += fleet.weights[number];
        fleet.weights[number] = 0.0;
        measure(fleet, LEAVING_TIME);
        fleet.kill(number);
        measure(fleet, RESTART_TIME);
        fleet.restart(number);
        fleet.weights.clone_from(&weights);
        measure(fleet, PAUSE);
    }
    (usage, span)
}

/// Guards against a rate that stays low while always some node is away.
#[test]
fn a_rolling_restart_uses_its_quota() {
    let result = run_case("rolling restart", RATE, 0, |fleet, load| {
        roll(fleet, load, 0..NODES)
    });
    assert!(result.sum[0] >= 0.9, "usual load: {}", result.sum[0]);
}

/// Guards against a rate that stays low in a data centre where always some node is away.
#[test]
fn a_rolling_restart_by_data_centre_uses_its_quota() {
    let result = run_case("rolling restart by data centre", RATE, 0, |fleet, load| {
        let order = (0..CENTRES).flat_map(|centre| (centre..NODES).step_by(CENTRES));
        roll(fleet, load, order)
    });
    assert!(result.sum[0] >= 0.9, "usual load: {}", result.sum[0]);
}
