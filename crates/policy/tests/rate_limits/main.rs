//! Rate limits that upstreams name: the whole fleet keeps them, and uses them.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod ledger;

use std::time::Duration;

use fleet::{Fleet, FleetPlan};

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for a limit to be known everywhere, from its first response.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// Requests in a window: one and a half times the limit, and some more.
const LIMIT_FACTOR: f64 = 1.5;
const WINDOW_SLACK: f64 = 5.0;
/// Share of the limits that must be used while there are enough requests.
const USED_SHARE_MIN: f64 = 0.8;
const LIMITS: [f64; 12] = [
    0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 20.0, 35.0, 50.0,
];

const PLAN: FleetPlan = FleetPlan {
    nodes: 48,
    upstreams: 18,
    requests_per_second: 450.0,
    loss_share: 0.01,
    seed: 21,
};

/// Starts a fleet in which two thirds of the upstreams name a limit after a while.
async fn start_limited(plan: FleetPlan) -> Fleet {
    let mut fleet = Fleet::start(plan);
    fleet.run(Duration::from_secs(2)).await;
    for (number, limit) in LIMITS.into_iter().enumerate() {
        fleet.limits[number] = Some(limit);
    }
    fleet.run(NEWS_TIME).await;
    fleet
}

fn count_between(arrivals: &[Duration], from: Duration, until: Duration) -> usize {
    let within = arrivals.iter().filter(|at| (from..until).contains(at));
    within.count()
}

/// Fails if an upstream got more requests in some window than its limit allows.
fn check_windows(fleet: &Fleet, from: Duration) {
    for (number, limit) in LIMITS.into_iter().enumerate() {
        let arrivals = &fleet.arrivals[number];
        let allowed = limit * LIMIT_FACTOR * WINDOW.as_secs_f64() + WINDOW_SLACK;
        for start in arrivals.iter().filter(|at| **at >= from) {
            let count = count_between(arrivals, *start, *start + WINDOW);
            assert!(
                f64::from(u32::try_from(count).unwrap()) <= allowed,
                "{count} requests in 4 s at a limit of {limit} a second; {allowed} are allowed"
            );
        }
    }
}

/// The share of all limits that was used.
fn used_share(fleet: &Fleet, from: Duration) -> f64 {
    let span = fleet.now().saturating_sub(from).as_secs_f64();
    let mut used = 0.0;
    for (number, limit) in LIMITS.into_iter().enumerate() {
        let count = count_between(&fleet.arrivals[number], from, fleet.now());
        let rate = f64::from(u32::try_from(count).unwrap()) / span;
        used += rate.min(limit);
    }
    used / LIMITS.iter().sum::<f64>()
}

fn check_use(fleet: &Fleet, from: Duration) {
    let share = used_share(fleet, from);
    let Fleet {
        requests,
        draws,
        rejected,
        ..
    } = fleet;
    println!("used {share:.3}, {draws} draws for {requests} requests, {rejected} rejected");
    assert!(
        share >= USED_SHARE_MIN,
        "only {share:.3} of the limits is used"
    );
}

async fn check_fleet(plan: FleetPlan) {
    let mut fleet = start_limited(plan).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(16)).await;
    check_windows(&fleet, from);
    check_use(&fleet, from);
    assert_eq!(fleet.rejected, 0);
}

#[tokio::test(start_paused = true)]
async fn the_nodes_of_a_small_fleet_together_keep_a_limit() {
    check_fleet(FleetPlan { nodes: 8, ..PLAN }).await;
}

#[tokio::test(start_paused = true)]
async fn the_nodes_of_a_fleet_together_keep_a_limit() {
    check_fleet(PLAN).await;
}

#[tokio::test(start_paused = true)]
async fn the_nodes_of_a_large_fleet_together_keep_a_limit() {
    check_fleet(FleetPlan { nodes: 580, ..PLAN }).await;
}

#[tokio::test(start_paused = true)]
async fn lost_messages_between_nodes_do_not_exceed_a_limit() {
    let plan = FleetPlan {
        loss_share: 0.2,
        ..PLAN
    };
    let mut fleet = start_limited(plan).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(16)).await;
    check_windows(&fleet, from);
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_does_not_exceed_a_limit_and_uses_it() {
    let mut fleet = start_limited(PLAN).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(4)).await;
    let known = fleet.known_limits();
    fleet.stop_owners();
    fleet.run(Duration::from_secs(2)).await;
    fleet.replace_owners(&known);
    let replaced_at = fleet.now();
    fleet.run(Duration::from_secs(10)).await;
    check_windows(&fleet, from);
    check_use(&fleet, replaced_at);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_knows_no_limit_learns_it_from_the_next_draw() {
    let mut fleet = start_limited(PLAN).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(4)).await;
    fleet.replace_owners(&[]);
    fleet.run(Duration::from_secs(10)).await;
    check_windows(&fleet, from);
    check_use(&fleet, from);
}

#[tokio::test(start_paused = true)]
async fn restarted_nodes_do_not_exceed_a_limit() {
    let mut fleet = start_limited(PLAN).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(4)).await;
    fleet.restart_nodes(PLAN.nodes / 2);
    fleet.run(Duration::from_secs(8)).await;
    check_windows(&fleet, from);
}

#[tokio::test(start_paused = true)]
async fn requests_without_a_permit_go_to_upstreams_without_a_limit() {
    let mut fleet = start_limited(PLAN).await;
    fleet.stop_owners();
    let from = fleet.now();
    fleet.run(Duration::from_secs(8)).await;
    assert_eq!(fleet.rejected, 0);
    for number in LIMITS.len()..PLAN.upstreams {
        assert!(count_between(&fleet.arrivals[number], from, fleet.now()) > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn requests_that_no_limit_has_room_for_are_rejected_at_once() {
    let plan = FleetPlan {
        upstreams: LIMITS.len(),
        ..PLAN
    };
    let mut fleet = start_limited(plan).await;
    let (from, requests, rejected) = (fleet.now(), fleet.requests, fleet.rejected);
    fleet.run(Duration::from_secs(12)).await;
    check_windows(&fleet, from);
    check_use(&fleet, from);
    let served = (fleet.requests - requests) - (fleet.rejected - rejected);
    assert!(served > 0 && fleet.rejected > rejected);
}

#[tokio::test(start_paused = true)]
async fn an_ended_limit_is_noticed_by_the_whole_fleet() {
    let mut fleet = start_limited(PLAN).await;
    fleet.run(Duration::from_secs(4)).await;
    fleet.limits.fill(None);
    // The next response of the lowest limit comes within five seconds.
    fleet.run(Duration::from_secs(7)).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(4)).await;
    assert!(fleet.known_limits().is_empty());
    for arrivals in &fleet.arrivals[..LIMITS.len()] {
        let count = count_between(arrivals, from, fleet.now());
        assert!(count > 40, "only {count} requests in 4 s without a limit");
    }
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_changes_between_responses_is_followed() {
    let mut fleet = start_limited(PLAN).await;
    for (number, limit) in LIMITS.into_iter().enumerate() {
        fleet.limits[number] = Some(limit / 2.0);
    }
    fleet.run(Duration::from_secs(6)).await;
    for (number, limit) in LIMITS.into_iter().enumerate() {
        fleet.limits[number] = Some(limit);
    }
    fleet.run(Duration::from_secs(8)).await;
    let from = fleet.now();
    fleet.run(Duration::from_secs(8)).await;
    check_windows(&fleet, from);
    check_use(&fleet, from);
}
