//! Retry tokens that the nodes of a data centre share.

use std::time::Duration;

use gooseberrydyke_policy::office::{HolderTerm, OfficeGrant, OfficeTerm};
use gooseberrydyke_policy::retry::{RetryBudget, RetryDeposit, RetryPool};
use model::config::RetryAllowance;
use model::ids::ServiceId;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::{self, Instant};

/// 95 % of 0.2 retries per request and of a balance of 64 retries for the fleet.
const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio_permille: 190,
    initial_millitokens: 0,
    max_millitokens: 0,
    fleet_max_millitokens: 60_800,
};
const DATA_CENTRE_COUNT: usize = 3;

fn service() -> ServiceId {
    "stocklist".parse().unwrap()
}

fn deposit(millitokens: u32) -> RetryDeposit {
    RetryDeposit {
        service: service(),
        millitokens,
        fleet_max_millitokens: ALLOWANCE.fleet_max_millitokens,
    }
}

/// A draw of a node from the pool of a relay.
fn draw_from(pool: &mut RetryPool, relay: &str) -> Option<OfficeGrant> {
    let asked_at = Instant::now();
    let given_by = HolderTerm {
        holder: relay.parse().unwrap(),
        term: OfficeTerm::new(1),
    };
    let is_granted = pool.draw(asked_at, &service());
    is_granted.then(|| OfficeGrant::new(asked_at, given_by))
}

fn draw_until_empty(pool: &mut RetryPool) -> u32 {
    let mut drawn = 0;
    while pool.draw(Instant::now(), &service()) {
        drawn += 1;
    }
    drawn
}

/// Even if all pools are full at the start of a time window, the fleet must not exceed
/// the platform's limit on retries in it. It must also come close to that limit.
#[tokio::test(start_paused = true)]
async fn the_fleet_makes_no_more_retries_than_allowed() {
    let share = 1.0 / 3.0;
    let mut pools: Vec<_> = (0..DATA_CENTRE_COUNT)
        .map(|_| RetryPool::new(Instant::now(), true))
        .collect();
    // The pools are filled up to their limit; then everything is drawn in one window.
    for pool in &mut pools {
        for _ in 0..1_000 {
            pool.deposit(Instant::now(), &deposit(190), share);
        }
    }
    let mut drawn = 0;
    for pool in &mut pools {
        drawn += draw_until_empty(pool);
        for _ in 0..16 * 30 {
            pool.deposit(Instant::now(), &deposit(190), share);
            drawn += draw_until_empty(pool);
        }
    }
    assert!(f64::from(drawn) <= 0.2 * 48.0 * 30.0 + 64.0, "{drawn}");
    assert!(f64::from(drawn) >= 0.18 * 48.0 * 30.0 + 57.0, "{drawn}");
}

/// A node may need more retries than its own requests deposit, so it must be able to draw
/// what other nodes deposited.
#[tokio::test(start_paused = true)]
async fn one_node_may_use_the_deposits_of_the_other_nodes() {
    let mut pool = RetryPool::new(Instant::now(), false);
    for _ in 0..40 {
        pool.deposit(Instant::now(), &deposit(190), 1.0);
    }
    let mut budget = RetryBudget::new(ALLOWANCE);
    for _ in 0..7 {
        assert!(
            !budget.spend(Instant::now()),
            "a node has no tokens of its own"
        );
        budget.record_token_draw(Instant::now(), draw_from(&mut pool, "relay-1"));
        assert!(budget.spend(Instant::now()));
    }
    budget.record_token_draw(Instant::now(), draw_from(&mut pool, "relay-1"));
    assert!(!budget.spend(Instant::now()) && !budget.can_spend(Instant::now()));
    time::advance(Duration::from_secs(1)).await;
    assert!(
        budget.can_spend(Instant::now()),
        "a denial expires, so the node asks the pool again"
    );
}

fn full_pool() -> RetryPool {
    let mut pool = RetryPool::new(Instant::now(), false);
    for _ in 0..400 {
        pool.deposit(Instant::now(), &deposit(190), 1.0);
    }
    pool
}

/// A node that draws tokens and is frozen or idle then does not spend them later, when another
/// relay has granted the whole budget again.
#[tokio::test(start_paused = true)]
async fn drawn_tokens_end_by_the_clock_of_their_node() {
    let mut pool = full_pool();
    let mut budget = RetryBudget::new(ALLOWANCE);
    for _ in 0..5 {
        budget.record_token_draw(Instant::now(), draw_from(&mut pool, "relay-1"));
    }
    time::advance(Duration::from_millis(400)).await;
    assert!(budget.spend(Instant::now()));
    time::advance(Duration::from_secs(2)).await;
    assert!(!budget.covers_retry(Instant::now()));
    assert!(!budget.spend(Instant::now()));
}

/// What a former relay granted and is not spent is lost when the relay changes.
#[tokio::test(start_paused = true)]
async fn drawn_tokens_of_a_former_relay_are_lost() {
    let [mut former, mut new] = [full_pool(), full_pool()];
    let mut budget = RetryBudget::new(ALLOWANCE);
    for _ in 0..5 {
        budget.record_token_draw(Instant::now(), draw_from(&mut former, "relay-1"));
    }
    budget.record_token_draw(Instant::now(), draw_from(&mut new, "relay-2"));
    assert!(budget.spend(Instant::now()));
    assert!(!budget.spend(Instant::now()));
}

/// What the nodes of the seeded fleet do for some time.
#[derive(Clone, Copy, PartialEq)]
enum Demand {
    /// They draw tokens and stand still before they use them.
    Interrupted,
    /// They retry as often as they can.
    Storm,
}

/// The retries of a fleet in any ten seconds stay within the limit and the deposits, whatever
/// order of draws, pauses of nodes and changes of the relay there is.
#[tokio::test(start_paused = true)]
async fn no_order_of_pauses_and_relays_exceeds_the_budget() {
    const NODES: usize = 8;
    const STEP: Duration = Duration::from_millis(250);
    const STEPS_IN_WINDOW: usize = 40;
    // A full balance, and the deposits of a window and of the time that a token lives.
    let allowed = (60_800 + NODES * (STEPS_IN_WINDOW + 2) * 190) / 1_000;
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budgets = vec![RetryBudget::new(ALLOWANCE); NODES];
        let mut pool = full_pool();
        let (mut relay, mut demand) = (0, Demand::Interrupted);
        let mut retries = Vec::new();
        for step in 0..160 {
            if rng.random_bool(0.02) {
                relay += 1;
                pool = RetryPool::new(Instant::now(), false);
            }
            let has_new_demand = rng.random_bool(0.05);
            if has_new_demand {
                demand = match demand {
                    Demand::Interrupted => Demand::Storm,
                    Demand::Storm => Demand::Interrupted,
                };
            }
            let relay_name = format!("relay-{relay}");
            let mut spent = 0;
            for budget in &mut budgets {
                pool.deposit(Instant::now(), &deposit(190), 1.0);
                let mut draw = |budget: &mut RetryBudget| {
                    let drawn = draw_from(&mut pool, &relay_name);
                    let is_granted = drawn.is_some();
                    budget.record_token_draw(Instant::now(), drawn);
                    is_granted
                };
                if demand == Demand::Storm {
                    while budget.spend(Instant::now())
                        || (draw(budget) && budget.spend(Instant::now()))
                    {
                        spent += 1;
                    }
                } else if has_new_demand || step == 0 {
                    for _ in 0..10 {
                        draw(budget);
                    }
                }
            }
            retries.push(spent);
            let window = retries.iter().rev().take(STEPS_IN_WINDOW).sum::<usize>();
            assert!(
                window <= allowed,
                "seed {seed}, step {step}: {window} retries, {allowed} allowed"
            );
            time::advance(STEP).await;
        }
    }
}

/// A pool that restarts must start empty, or each restart would allow more retries.
#[tokio::test(start_paused = true)]
async fn a_new_pool_is_empty_except_at_the_first_start_of_the_fleet() {
    let mut restarted_pool = RetryPool::new(Instant::now(), false);
    restarted_pool.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_until_empty(&mut restarted_pool), 0);
    let mut early_pool = RetryPool::new(Instant::now(), true);
    let mut late_pool = RetryPool::new(Instant::now(), true);
    time::advance(Duration::from_secs(8)).await;
    early_pool.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_until_empty(&mut early_pool), 30, "half of the limit");
    time::advance(Duration::from_secs(5)).await;
    late_pool.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(draw_until_empty(&mut late_pool), 0);
}

/// A deposit that is reported twice would allow too many retries.
#[test]
fn a_deposit_is_reported_once() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    assert!(!budget.has_unreported());
    budget.deposit();
    budget.deposit();
    assert!(budget.has_unreported());
    assert_eq!(budget.take_unreported(), Some((380, 60_800)));
    assert_eq!(budget.take_unreported(), None);
}

quickcheck! {
    /// A pool must not grant tokens that were not deposited.
    fn draws_never_exceed_deposits(steps: Vec<(bool, u16)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        let _guard = runtime.enter();
        let mut pool = RetryPool::new(Instant::now(), false);
        let (mut deposited, mut drawn) = (0_u64, 0_u64);
        for (draws, millitokens) in steps {
            if draws {
                drawn += u64::from(pool.draw(Instant::now(), &service())) * 1_000;
            } else {
                deposited += u64::from(millitokens);
                pool.deposit(Instant::now(), &deposit(u32::from(millitokens)), 1.0);
            }
        }
        drawn <= deposited
    }
}

/// A node draws a token as soon as its first request fails, and its deposit may arrive later.
/// The token must be granted then, and must count like any other.
#[tokio::test(start_paused = true)]
async fn the_first_token_of_a_filled_pool_may_be_drawn_before_the_first_deposit() {
    let mut pool = RetryPool::new(Instant::now(), true);
    assert!(pool.draw(Instant::now(), &service()));
    assert!(!pool.draw(Instant::now(), &service()));
    pool.deposit(Instant::now(), &deposit(190), 1.0);
    assert_eq!(1 + draw_until_empty(&mut pool), 30);

    let mut later = RetryPool::new(Instant::now(), false);
    assert!(!later.draw(Instant::now(), &service()));
}
