//! Comparison of the rules by which a node selects an upstream of its subset.

use std::time::Duration;

use gooseberrydyke_policy::service::Placement;

use super::chooser::{Chooser, Knowledge, LoadRule, RuleContext, UpstreamKnowledge};
use super::fleet::{Fleet, FleetOutcome, FleetPlan};

const REUSE_TIME: Duration = Duration::from_secs(1);

/// The load of the data centre as the balancer knows it: the last total, with this node's part of
/// it replaced by its requests now.
fn known(upstream: &UpstreamKnowledge) -> f64 {
    f64::from(upstream.total.saturating_sub(upstream.reported) + upstream.own)
}

/// The last total alone.
fn total_only(upstream: &UpstreamKnowledge, _: &RuleContext) -> f64 {
    f64::from(upstream.total)
}

fn with_own(upstream: &UpstreamKnowledge, _: &RuleContext) -> f64 {
    known(upstream)
}

/// As before, with this node's part at the time of the total.
fn with_own_at_total(upstream: &UpstreamKnowledge, _: &RuleContext) -> f64 {
    let others = upstream.total.saturating_sub(upstream.own_in_total);
    f64::from(others + upstream.own)
}

/// Each node has a share of an upstream's room: its own requests first, then those of all.
fn own_share(upstream: &UpstreamKnowledge, _: &RuleContext) -> f64 {
    f64::from(upstream.own) * 100.0 + known(upstream)
}

/// The load first, then the place in the order of the node.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn own_order(upstream: &UpstreamKnowledge, context: &RuleContext) -> f64 {
    known(upstream) + context.place as f64 / 1_000.0
}

/// The first in the order of the node that has a free slot, else the least loaded.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn first_free(upstream: &UpstreamKnowledge, context: &RuleContext) -> f64 {
    let load = known(upstream);
    if load < f64::from(context.slots) {
        context.place as f64 / 1_000.0
    } else {
        load
    }
}

/// The requests of the last total that ended since are replaced by the mean of the others; own
/// requests have a weight, and an upstream with an idle connection is preferred.
fn blended(upstream: &UpstreamKnowledge, context: &RuleContext, own_weight: f64, warm: f64) -> f64 {
    let age = context.now.saturating_sub(upstream.total_at) + context.delay;
    let kept = (-age.as_secs_f64() / context.work.as_secs_f64()).exp();
    let others = f64::from(upstream.total.saturating_sub(upstream.own_in_total));
    let is_warm = upstream.own == 0
        && upstream
            .answered_at
            .is_some_and(|at| context.now.saturating_sub(at) < REUSE_TIME);
    others * kept + context.mean * (1.0 - kept) + own_weight * f64::from(upstream.own)
        - if is_warm { warm } else { 0.0 }
}
const RULES: [(&str, LoadRule, bool); 9] = [
    ("two random", with_own, true),
    ("all, totals only", total_only, false),
    ("all, own added", with_own, false),
    ("all, own at total", with_own_at_total, false),
    ("own share first", own_share, false),
    ("own order", own_order, false),
    ("first free in order", first_free, false),
    ("discount by age", |u, c| blended(u, c, 1.0, 0.0), false),
    (
        "and own twice, connection",
        |u, c| blended(u, c, 2.0, 1.0),
        false,
    ),
];

const PODCAST: FleetPlan = FleetPlan {
    nodes: 30,
    upstreams: 40,
    slots: 4,
    queue: 16,
    work: Duration::from_millis(320),
    utilisation: 0.31,
    delay: Duration::from_millis(125),
    clump: 1,
    swing: 0.0,
    width: 0,
    centres: 1,
    seed: 1,
};

const PAYROLL: FleetPlan = FleetPlan {
    nodes: 68,
    upstreams: 80,
    slots: 6,
    queue: 24,
    work: Duration::from_millis(510),
    utilisation: 0.24,
    delay: Duration::from_millis(250),
    clump: 1,
    swing: 0.55,
    width: 0,
    centres: 1,
    seed: 1,
};

fn print(name: &str, outcome: &FleetOutcome) {
    println!(
        "  {name:22} busiest/mean {:.2}, at a moment {:.2}, wait {:5.1} ms, p99 {:4.0} ms, shed {:.4}, opened {:.3}, remote {:.3}",
        outcome.busiest,
        outcome.peak,
        outcome.wait.as_secs_f64() * 1e3,
        outcome.wait_99.as_secs_f64() * 1e3,
        outcome.shed,
        outcome.opened,
        outcome.remote,
    );
}

/// Plays every rule, and the product's balancer last, with so many seeds.
fn compare(plan: FleetPlan, seeds: u64) -> Vec<(&'static str, FleetOutcome)> {
    let mut outcomes = Vec::new();
    for (name, load, compares_two) in RULES {
        let rule = |knowledge: &Knowledge| Chooser::rule(knowledge, load, compares_two);
        outcomes.push((name, mean_of(plan, seeds, rule)));
    }
    for (name, placement) in [
        ("product, hashed", Placement::Hashed),
        ("product, assigned", Placement::Assigned),
    ] {
        let product = |knowledge: &Knowledge| Chooser::product(knowledge, placement);
        outcomes.push((name, mean_of(plan, seeds, product)));
    }
    for (name, outcome) in &outcomes {
        print(name, outcome);
    }
    outcomes
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn mean_of(plan: FleetPlan, seeds: u64, chooser: impl Fn(&Knowledge) -> Chooser) -> FleetOutcome {
    let mut mean = FleetOutcome::default();
    let share = (seeds as f64).recip();
    for seed in 1..=seeds {
        let outcome = Fleet::play(FleetPlan { seed, ..plan }, &chooser);
        mean.busiest += outcome.busiest * share;
        mean.peak += outcome.peak * share;
        mean.wait += outcome.wait.mul_f64(share);
        mean.wait_99 += outcome.wait_99.mul_f64(share);
        mean.shed += outcome.shed * share;
        mean.remote += outcome.remote * share;
        mean.opened += outcome.opened * share;
    }
    mean
}

fn describe(plan: &FleetPlan) {
    let FleetPlan {
        nodes,
        upstreams,
        utilisation,
        clump,
        delay,
        width,
        ..
    } = plan;
    println!(
        "{nodes} nodes, {upstreams} upstreams, width {width}, utilisation {utilisation}, \
         clumps of {clump}, totals every {delay:?}"
    );
}

// A rule that compares old totals as they are makes all nodes select the same upstream: its queue
// grows while others idle. The rule in use must not do worse than any that was weighed.
#[test]
fn the_rule_in_use_is_as_good_as_the_best() {
    for plan in [
        PODCAST,
        FleetPlan {
            utilisation: 0.6,
            delay: Duration::from_millis(50),
            ..PODCAST
        },
        FleetPlan {
            clump: 4,
            delay: Duration::from_millis(500),
            ..PODCAST
        },
        PAYROLL,
    ] {
        describe(&plan);
        let outcomes = compare(plan, 1);
        let (_, used) = outcomes.last().unwrap();
        let others = || outcomes.iter().rev().skip(1).map(|(_, outcome)| outcome);
        let least =
            |figure: fn(&FleetOutcome) -> f64| others().map(figure).fold(f64::MAX, f64::min);
        let wait = |outcome: &FleetOutcome| outcome.wait.as_secs_f64() * 1e3;
        assert!(wait(used) <= least(wait) * 1.3 + 3.0, "waits");
        assert!(used.shed <= least(|outcome| outcome.shed) + 0.002, "sheds");
        assert!(
            used.opened <= least(|outcome| outcome.opened) * 1.2 + 0.04,
            "connections"
        );
        assert!(
            used.busiest <= least(|outcome| outcome.busiest) + 0.2,
            "busiest"
        );
    }
}

// The figures of the design page; run with `--release`.
#[test]
#[ignore = "takes two minutes"]
fn compare_rules_at_length() {
    for plan in [PODCAST, PAYROLL] {
        for (utilisation, clump, delay, width) in [
            (plan.utilisation, 1, plan.delay, 6),
            (plan.utilisation, 1, plan.delay, 0),
            (0.6, 1, plan.delay, 0),
            (0.6, 4, plan.delay, 0),
            (0.6, 1, Duration::from_millis(50), 0),
            (0.6, 1, Duration::from_millis(250), 0),
            (0.6, 1, Duration::from_millis(500), 0),
            (0.8, 1, plan.delay, 0),
        ] {
            let plan = FleetPlan {
                utilisation,
                delay,
                clump,
                width,
                ..plan
            };
            describe(&plan);
            compare(plan, 3);
        }
    }
}

// With uneven upstreams and waves that do not coincide, requests queued at local upstreams while
// those of other data centres were idle. Too much relief costs bytes between data centres.
#[test]
fn full_data_centres_are_relieved_by_others() {
    for (utilisation, remote_max) in [(0.31, 0.01), (0.5, 0.1), (0.7, 0.16)] {
        let plan = FleetPlan {
            nodes: 90,
            upstreams: 117,
            centres: 3,
            swing: 0.55,
            utilisation,
            ..PODCAST
        };
        describe(&plan);
        let [hashed, assigned] = [Placement::Hashed, Placement::Assigned].map(|placement| {
            let outcome = mean_of(plan, 1, |knowledge| Chooser::product(knowledge, placement));
            print(placement.as_str(), &outcome);
            outcome
        });
        assert!(assigned.wait < hashed.wait.mul_f64(0.65), "waits");
        assert!(assigned.shed <= hashed.shed, "sheds");
        assert!(assigned.remote < remote_max, "remote requests");
    }
}
