//! Repeats that the nodes of a data centre share.

use std::time::Duration;

use gooseberrydyke_policy::retry::{RepeatDeposit, RepeatPool, RetryBudget};
use model::config::RetryAllowance;
use model::ids::ServiceId;
use quickcheck::quickcheck;
use tokio::time::{self, Instant};

/// 0.95 of 0.2 repeats for a request and of 64 for the fleet.
const ALLOWANCE: RetryAllowance = RetryAllowance {
    permille: 190,
    start_millis: 0,
    most_millis: 0,
    fleet_most_millis: 60_800,
};
const CENTRES: usize = 3;

fn service() -> ServiceId {
    "stocklist".parse().unwrap()
}

fn deposit(millis: u32) -> RepeatDeposit {
    RepeatDeposit {
        service: service(),
        millis,
        fleet_most_millis: ALLOWANCE.fleet_most_millis,
    }
}

fn draw_all(pool: &mut RepeatPool) -> u32 {
    let mut drawn = 0;
    while pool.draw(&service()) {
        drawn += 1;
    }
    drawn
}

#[tokio::test(start_paused = true)]
async fn the_fleet_makes_no_more_repeats_than_allowed() {
    let share = 1.0 / 3.0;
    let mut pools: Vec<_> = (0..CENTRES)
        .map(|_| RepeatPool::new(Instant::now(), true))
        .collect();
    // As much is saved up as can be, then all of it is spent in one window.
    for pool in &mut pools {
        for _ in 0..1_000 {
            pool.deposit(Instant::now(), &deposit(190), share);
        }
    }
    let mut spent = 0;
    for pool in &mut pools {
        spent += draw_all(pool);
        for _ in 0..16 * 30 {
            pool.deposit(Instant::now(), &deposit(190), share);
            spent += draw_all(pool);
        }
    }
    assert!(f64::from(spent) <= 0.2 * 48.0 * 30.0 + 64.0, "{spent}");
    assert!(f64::from(spent) >= 0.18 * 48.0 * 30.0 + 57.0, "{spent}");
}

#[tokio::test(start_paused = true)]
async fn one_node_may_use_what_its_neighbours_saved() {
    let mut pool = RepeatPool::new(Instant::now(), false);
    for _ in 0..40 {
        pool.deposit(Instant::now(), &deposit(190), 1.0);
    }
    let mut budget = RetryBudget::new(ALLOWANCE);
    for _ in 0..7 {
        assert!(!budget.spend(), "a node holds nothing of its own");
        budget.record_token_draw(Instant::now(), pool.draw(&service()));
        assert!(budget.spend());
    }
    budget.record_token_draw(Instant::now(), pool.draw(&service()));
    assert!(!budget.spend() && !budget.can_spend(Instant::now()));
    time::advance(Duration::from_secs(1)).await;
    assert!(budget.can_spend(Instant::now()), "it is worth asking again");
}

#[tokio::test(start_paused = true)]
async fn a_new_relay_starts_with_nothing_but_at_the_fleets_first_start() {
    let mut again = RepeatPool::new(Instant::now(), false);
    again.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_all(&mut again), 0);
    let mut first = RepeatPool::new(Instant::now(), true);
    let mut late = RepeatPool::new(Instant::now(), true);
    time::advance(Duration::from_secs(8)).await;
    first.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_all(&mut first), 30, "half of what may be saved up");
    time::advance(Duration::from_secs(5)).await;
    late.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_all(&mut late), 0);
}

#[test]
fn a_request_pays_in_once() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    assert!(!budget.has_unreported());
    budget.deposit();
    budget.deposit();
    assert!(budget.has_unreported());
    assert_eq!(budget.take_unreported(), Some((380, 60_800)));
    assert_eq!(budget.take_unreported(), None);
}

quickcheck! {
    fn draws_never_exceed_deposits(steps: Vec<(bool, u16)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        let _guard = runtime.enter();
        let mut pool = RepeatPool::new(Instant::now(), false);
        let (mut paid, mut drawn) = (0_u64, 0_u64);
        for (draws, millis) in steps {
            if draws {
                drawn += u64::from(pool.draw(&service())) * 1_000;
            } else {
                paid += u64::from(millis);
                pool.deposit(Instant::now(), &deposit(u32::from(millis)), 1.0);
            }
        }
        drawn <= paid
    }
}
