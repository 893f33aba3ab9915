//! Quotas over a fleet whose nodes are cut off, restart, and do not know of each other.
//!
//! Each case checks the bound in every window and prints the usable part of the quota: what ran
//! of what was sent and allowed, beside what equal shares for all nodes would have let run.

mod fleet;
mod message;
mod node;
mod restarts;
mod traffic;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{BOUND, FleetPlan, QuotaFleet, Usage, quota};
use gooseberrydyke_policy::quota::QuotaBudget;
use tokio::time::Instant;

const NODES: usize = 121;
const CENTRES: usize = 4;
/// Message orders of each case; `QUOTA_SEEDS` sets another number for runs by hand.
const SEEDS_DEFAULT: u64 = 3;
/// Requests per second of the quota in most cases.
const RATE: f64 = 40.0;
/// Loads as parts of the quota: usual, all of it, and far over it.
const LOADS: [f64; 3] = [0.6, 1.0, 5.0];
const CALM: Duration = Duration::from_secs(8);

fn seeds() -> u64 {
    let given = std::env::var("QUOTA_SEEDS").ok();
    given.map_or(SEEDS_DEFAULT, |text| text.parse().unwrap())
}

fn plan(seed: u64, rate: f64, burst: u32) -> FleetPlan {
    FleetPlan {
        nodes: NODES,
        data_centres: CENTRES,
        seed,
        quota: quota(rate, burst),
    }
}

fn allowed(rate: f64, burst: u32) -> f64 {
    (rate * 5.0 + f64::from(burst)) * 1.1 + 20.0
}

/// The most requests that ran in any window, from a time on.
fn most_in_window(fleet: &QuotaFleet, from: Instant) -> usize {
    let spent: Vec<_> = fleet.spent.iter().filter(|at| **at >= from).collect();
    let mut most = 0;
    let mut end = 0;
    for (start, at) in spent.iter().enumerate() {
        while end < spent.len() && *spent[end] < **at + BOUND.window {
            end += 1;
        }
        most = most.max(end - start);
    }
    most
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn check_bound(case: &str, fleet: &QuotaFleet, from: Instant, rate: f64, burst: u32) -> f64 {
    let most = most_in_window(fleet, from);
    let allowed = allowed(rate, burst);
    assert!(
        most as f64 <= allowed,
        "{case}: {most} requests in a window, {allowed} are allowed"
    );
    most as f64 / allowed
}

/// What a bucket with an equal share at each node lets run of the same requests.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn equal_shares(fleet: &QuotaFleet, from: Instant, rate: f64, burst: u32) -> usize {
    let budget = QuotaBudget::new(&BOUND, &quota(rate, burst), 1);
    let nodes = fleet.nodes.len() as f64;
    let most = (budget.capacity / nodes).max(1.0);
    let mut buckets: BTreeMap<usize, (f64, Instant)> = BTreeMap::new();
    let mut granted = 0;
    for (at, node) in &fleet.arrivals {
        let (tokens, since) = buckets.entry(*node).or_insert((most, *at));
        *tokens = (*tokens + (*at - *since).as_secs_f64() * rate / nodes).min(most);
        *since = *at;
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            granted += usize::from(*at >= from);
        }
    }
    granted
}

/// The part of a quota that was used, of what was sent up to the quota.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn usable(granted: usize, offered: usize, rate: f64, span: Duration) -> f64 {
    granted as f64 / (offered as f64).min(rate * span.as_secs_f64())
}

struct CaseResult {
    sum: [f64; 3],
    equal: [f64; 3],
    draws: [f64; 3],
    /// The most that ran in a window, as a part of what the bound allows.
    most: [f64; 3],
}

/// Runs a case with all loads and seeds. `disturb` is called after a calm time and measures what
/// it is about.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn run_case(
    case: &str,
    rate: f64,
    burst: u32,
    disturb: impl Fn(&mut QuotaFleet, f64) -> (Usage, Duration),
) -> CaseResult {
    let mut result = CaseResult {
        sum: [0.0; 3],
        equal: [0.0; 3],
        draws: [0.0; 3],
        most: [0.0; 3],
    };
    for seed in 0..seeds() {
        for (number, load) in LOADS.into_iter().enumerate() {
            let mut fleet = QuotaFleet::start(plan(seed, rate, burst));
            fleet.measure(rate * load, CALM);
            let from = fleet.now;
            let (usage, span) = disturb(&mut fleet, rate * load);
            let equal = equal_shares(&fleet, from, rate, burst);
            fleet.measure(rate * load, CALM);
            let label = format!("{case}, seed {seed}, load {load}");
            let most = check_bound(&label, &fleet, fleet.started, rate, burst);
            result.most[number] = result.most[number].max(most);
            let seeds = seeds() as f64;
            result.sum[number] += usable(usage.granted, usage.offered, rate, span) / seeds;
            result.equal[number] += usable(equal, usage.offered, rate, span) / seeds;
            result.draws[number] += usage.draws as f64 / span.as_secs_f64() / seeds;
        }
    }
    for (number, load) in LOADS.into_iter().enumerate() {
        println!(
            "{case}: rate {rate}, burst {burst}, load {load}: usable {:.3}, equal shares {:.3}, {:.0} draws/s, {:.2} of the bound",
            result.sum[number], result.equal[number], result.draws[number], result.most[number]
        );
    }
    result
}

fn cut(fleet: &mut QuotaFleet, part: f64, relays: usize, is_together: bool) {
    let nodes = fleet.nodes.len();
    for number in 0..nodes {
        // The relays are the first node of each data centre.
        if (relays..CENTRES).contains(&number) {
            continue;
        }
        // Spread over all data centres; the relays, which come first, are among them.
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let is_cut = ((number / CENTRES) as f64 * 0.618_034).fract() < part;
        if is_cut {
            fleet.groups[number] = if is_together { 1 } else { number + 1 };
        }
    }
}

fn heal(fleet: &mut QuotaFleet) {
    fleet.groups.fill(0);
}

const CUT_TIME: Duration = Duration::from_secs(10);

#[test]
fn a_calm_fleet_uses_its_quota() {
    for (rate, burst) in [(RATE, 0), (RATE, 40), (5.0, 0), (200.0, 0)] {
        let result = run_case("calm", rate, burst, |fleet, load| {
            (fleet.measure(load, CUT_TIME), CUT_TIME)
        });
        assert!(result.sum[0] >= 0.98, "usual load: {}", result.sum[0]);
        assert!(result.sum[1] >= 0.95, "whole quota: {}", result.sum[1]);
    }
}

#[test]
fn a_cut_off_node_spends_no_more_than_what_is_withheld_for_it() {
    run_case("one node cut off", RATE, 0, |fleet, load| {
        let busy = (0..NODES).max_by(|a, b| fleet.weights[*a].total_cmp(&fleet.weights[*b]));
        fleet.groups[busy.unwrap()] = 1;
        let usage = fleet.measure(load, CUT_TIME);
        heal(fleet);
        (usage, CUT_TIME)
    });
}

#[test]
fn a_third_of_the_nodes_cut_off_with_the_relays_keep_the_bound() {
    for (relays, is_together) in [(1, false), (1, true), (CENTRES, false), (CENTRES, true)] {
        let kind = if is_together {
            "together"
        } else {
            "one by one"
        };
        let case = format!("35% {kind} with {relays} relays");
        let result = run_case(&case, RATE, 0, |fleet, load| {
            cut(fleet, 0.35, relays, is_together);
            let usage = fleet.measure(load, CUT_TIME);
            heal(fleet);
            (usage, CUT_TIME)
        });
        let part = result.sum[0];
        assert!(part >= 2.0 * result.equal[0], "{case}: {part}");
        let case = format!("8 s after {case}");
        run_case(&case, RATE, 0, |fleet, load| {
            cut(fleet, 0.35, relays, is_together);
            fleet.measure(load, CUT_TIME);
            heal(fleet);
            (fleet.measure(load, CALM), CALM)
        });
    }
}

#[test]
fn every_node_alone_keeps_the_bound() {
    run_case("all alone", RATE, 0, |fleet, load| {
        cut(fleet, 1.0, CENTRES, false);
        let usage = fleet.measure(load, CUT_TIME);
        heal(fleet);
        (usage, CUT_TIME)
    });
}

#[test]
fn a_fleet_that_restarts_at_once_keeps_the_bound() {
    let result = run_case("all killed", RATE, 0, |fleet, load| {
        for number in 0..NODES {
            fleet.kill(number);
        }
        let down = fleet.measure(load, Duration::from_secs(1));
        for number in 0..NODES {
            fleet.restart(number);
        }
        let mut usage = fleet.measure(load, CUT_TIME);
        usage.offered += down.offered;
        (usage, CUT_TIME + Duration::from_secs(1))
    });
    assert!(result.sum[0] >= result.equal[0], "worse than equal shares");
}

#[test]
fn relays_that_are_killed_again_and_again_keep_the_bound() {
    run_case("relays killed", RATE, 0, |fleet, load| {
        let mut usage = Usage::default();
        for _ in 0..4 {
            for centre in 0..CENTRES {
                let relay = fleet.relay(centre);
                fleet.kill(relay);
            }
            let first = fleet.measure(load, Duration::from_secs(1));
            for centre in 0..CENTRES {
                let relay = fleet.relay(centre);
                fleet.restart(relay);
            }
            let second = fleet.measure(load, Duration::from_secs(2));
            usage.offered += first.offered + second.offered;
            usage.granted += first.granted + second.granted;
            usage.draws += first.draws + second.draws;
        }
        (usage, Duration::from_secs(12))
    });
}

#[test]
fn nodes_that_join_do_not_add_to_the_quota() {
    run_case("nodes added", RATE, 0, |fleet, load| {
        let mut usage = Usage::default();
        for _ in 0..12 {
            fleet.add();
            let next = fleet.measure(load, Duration::from_millis(800));
            usage.offered += next.offered;
            usage.granted += next.granted;
            usage.draws += next.draws;
        }
        (usage, Duration::from_millis(9_600))
    });
}

#[test]
fn a_workspace_at_three_nodes_uses_its_quota() {
    let result = run_case("three nodes", RATE, 0, |fleet, load| {
        fleet.weights = fleet.random_weights(3);
        fleet.measure(load, Duration::from_secs(1));
        (fleet.measure(load, CUT_TIME), CUT_TIME)
    });
    assert!(result.sum[1] >= 0.95, "whole quota: {}", result.sum[1]);
    assert!(result.equal[1] < 0.5, "equal shares serve it badly");
}

#[test]
fn a_workspace_that_moves_to_another_data_centre_uses_its_quota() {
    let result = run_case("moves", RATE, 0, |fleet, load| {
        let mut usage = Usage::default();
        for centre in 0..CENTRES {
            for number in 0..NODES {
                fleet.weights[number] = f64::from(u8::from(number % CENTRES == centre));
            }
            let next = fleet.measure(load, Duration::from_secs(3));
            usage.offered += next.offered;
            usage.granted += next.granted;
            usage.draws += next.draws;
        }
        (usage, Duration::from_secs(12))
    });
    assert!(result.sum[1] >= 0.95, "whole quota: {}", result.sum[1]);
}

#[test]
fn a_slow_holder_does_not_hold_up_the_others() {
    let result = run_case("slow holder", RATE, 0, |fleet, load| {
        let relay = fleet.relay(0);
        fleet.slow.insert(relay, Duration::from_millis(180));
        let usage = fleet.measure(load, CUT_TIME);
        fleet.slow.clear();
        (usage, CUT_TIME)
    });
    assert!(result.sum[0] >= 0.9, "usual load: {}", result.sum[0]);
}

#[test]
fn a_lowered_quota_binds_at_once() {
    for seed in 0..seeds() {
        let mut fleet = QuotaFleet::start(plan(seed, 200.0, 200));
        fleet.measure(150.0, CALM);
        for number in 0..NODES {
            fleet.nodes[number].quota = quota(10.0, 0);
        }
        // The page allows one window after the change is known everywhere.
        let from = fleet.now + BOUND.window;
        let usage = fleet.measure(150.0, Duration::from_secs(12));
        check_bound(&format!("lowered, seed {seed}"), &fleet, from, 10.0, 0);
        println!(
            "lowered from 200 to 10: {} ran in 12 s, {} draws",
            usage.granted, usage.draws
        );
    }
}

#[test]
fn a_raised_quota_is_used_at_once() {
    for seed in 0..seeds() {
        let mut fleet = QuotaFleet::start(plan(seed, 10.0, 0));
        fleet.measure(100.0, CALM);
        check_bound(
            &format!("before, seed {seed}"),
            &fleet,
            fleet.started,
            10.0,
            0,
        );
        for number in 0..NODES {
            fleet.nodes[number].quota = quota(100.0, 0);
        }
        let usage = fleet.measure(100.0, CALM);
        check_bound(
            &format!("raised, seed {seed}"),
            &fleet,
            fleet.started,
            100.0,
            0,
        );
        let part = usable(usage.granted, usage.offered, 100.0, CALM);
        println!("raised from 10 to 100, seed {seed}: usable {part:.3}");
        assert!(part >= 0.93, "seed {seed}: {part}");
    }
}

/// A narrow bound must not let a holder for each data centre keep a token too many.
#[test]
fn a_bound_without_slack_or_burst_is_kept() {
    let narrow = model::config::QuotaBound {
        slack: model::sizes::BurstSize::new(0),
        ..BOUND
    };
    for rate in [0.5, 1.0, 4.0, 40.0] {
        let budget = QuotaBudget::new(&narrow, &quota(rate, 0), CENTRES);
        let most = budget.rate * 5.2 + budget.capacity + budget.initial;
        assert!(most <= rate * 5.5 + 1e-9, "rate {rate}: {most}");
    }
}

/// What the bound's parts add up to, for the design note.
#[test]
fn the_parts_of_the_budget_are_within_the_bound() {
    for (rate, burst) in [(1.0, 0), (20.0, 0), (20.0, 20), (200.0, 0), (200.0, 200)] {
        let budget = QuotaBudget::new(&BOUND, &quota(rate, burst), CENTRES);
        let most = budget.rate * 5.2 + budget.capacity + budget.initial;
        println!(
            "rate {rate}, burst {burst}: {budget:?}, sum {most:.1} of {:.1}",
            allowed(rate, burst)
        );
        assert!(most <= allowed(rate, burst));
        assert!(
            (budget.rate - rate).abs() < 1e-9,
            "the whole rate is minted"
        );
    }
}
