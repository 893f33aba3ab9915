//! Five loads that exceed the capacity of a service: what each group of callers gets with the
//! present queue, and with admission by priority and fair share.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod node;
mod outcome;
mod plan;

use std::time::Duration;

use common::name;
use fleet::Fleet;
use gooseberrydyke_policy::limit::FlowKey;
use node::QueueKind;
use outcome::GroupCount;
use plan::{CallerHabit, FleetPlan, FlowPlan};

const NODES: usize = 30;
const UPSTREAMS: usize = 25;
const SLOTS: u32 = 4;
/// Usual requests per second: 0.7 of what the slots serve at 320 ms each.
const USUAL_RATE: f64 = 219.0;
const LARGE_WORKSPACES: usize = 3;
const LARGE_SHARE: f64 = 0.15;
const WORKSPACES: usize = 20;
const SEEDS: [u64; 3] = [3, 4, 5];
const TIMEOUT: Duration = Duration::from_secs(4);
const WANTED: Duration = Duration::from_millis(1_500);

fn workspaces() -> Vec<FlowPlan> {
    let small = WORKSPACES - LARGE_WORKSPACES;
    let small = (1.0 - LARGE_SHARE * count(LARGE_WORKSPACES)) / count(small);
    let flows = (0..WORKSPACES).map(|number| {
        let is_large = number < LARGE_WORKSPACES;
        let share = if is_large { LARGE_SHARE } else { small };
        FlowPlan {
            flow: FlowKey::Workspace(name(&format!("workspace-{number}"))),
            group: usize::from(!is_large),
            priority: 0,
            rate: USUAL_RATE * share,
            factor: 1.0,
            callers: if is_large { 60 } else { 12 },
            habit: CallerHabit::Follows,
        }
    });
    flows.collect()
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

/// Plays a load of 8 s with both queues; returns what the groups got, summed over the seeds.
async fn play(load: &str, flows: &[FlowPlan], groups: &[&str]) -> [Vec<GroupCount>; 2] {
    let mut results = [const { Vec::new() }; 2];
    for (kind, result) in [QueueKind::Present, QueueKind::Fair]
        .into_iter()
        .zip(&mut results)
    {
        *result = vec![GroupCount::default(); groups.len()];
        for seed in SEEDS {
            let mut fleet = Fleet::start(FleetPlan {
                nodes: NODES,
                upstreams: UPSTREAMS,
                slots: SLOTS,
                flows: flows.to_vec(),
                groups: groups.len(),
                timeout: TIMEOUT,
                wanted: WANTED,
                queue: kind,
                seed,
            });
            fleet.run(Duration::from_secs(20), false, false).await;
            fleet.run(Duration::from_secs(8), true, true).await;
            fleet.run(TIMEOUT, false, false).await;
            for (sum, count) in result.iter_mut().zip(&fleet.counts) {
                sum.add(count);
            }
        }
        for (group, count) in groups.iter().zip(result.iter()) {
            println!("{load}, {kind:?}, {group}: {count}");
        }
    }
    results
}

/// Fails unless a group is served in time with the new queue for at least this share, and for at
/// least `gain` more than with the present one.
fn check_gain(present: &GroupCount, fair: &GroupCount, share_min: f64, gain: f64) {
    let (before, after) = (present.in_time_share(), fair.in_time_share());
    assert!(
        after >= share_min && after >= before + gain,
        "{after:.3} were served in time, and {before:.3} before; at least {share_min} and {gain} \
         more are required"
    );
}

/// A usual day must be served as before: next to no rejection, and no longer wait.
#[tokio::test(start_paused = true)]
async fn usual_traffic() {
    let [present, fair] = play("usual traffic", &workspaces(), &["large", "small"]).await;
    for (present, fair) in present.iter().zip(&fair) {
        check_gain(present, fair, 0.95, -0.015);
        assert!(f64::from(fair.rejected) <= 0.005 * f64::from(fair.sent));
    }
}

/// Requests without a workspace share by route: a burst on one must not take the room of others.
#[tokio::test(start_paused = true)]
async fn burst_on_one_route() {
    let mut flows: Vec<FlowPlan> = Vec::new();
    for (number, share) in [0.3, 0.4, 0.2, 0.1].into_iter().enumerate() {
        flows.push(FlowPlan {
            flow: FlowKey::Route(name(&format!("route-{number}"))),
            group: usize::from(number != 0),
            priority: 0,
            rate: USUAL_RATE * share,
            factor: if number == 0 { 2.6 } else { 1.0 },
            callers: 100,
            habit: CallerHabit::Follows,
        });
    }
    let [present, fair] = play("burst on one route", &flows, &["burst", "others"]).await;
    check_gain(&present[1], &fair[1], 0.85, 0.15);
    check_gain(&present[0], &fair[0], 0.4, -0.3);
}

/// A workspace at five times its usual traffic must take no room from the others, and still get
/// what they leave.
#[tokio::test(start_paused = true)]
async fn one_hot_workspace() {
    let mut flows = workspaces();
    for flow in &mut flows {
        flow.group += 1;
    }
    flows[0].group = 0;
    flows[0].factor = 5.0;
    let groups = ["hot", "large", "small"];
    let [present, fair] = play("one hot workspace", &flows, &groups).await;
    for group in [1, 2] {
        check_gain(&present[group], &fair[group], 0.88, 0.2);
    }
    // Its usual traffic is a fifth of what it sends.
    assert!(f64::from(fair[0].served()) >= 0.2 * f64::from(fair[0].sent));
}

/// Three hot workspaces, of which two are small and come over few nodes, must not take room
/// either.
#[tokio::test(start_paused = true)]
async fn three_hot_workspaces() {
    let mut flows = workspaces();
    for flow in &mut flows {
        flow.group += 1;
    }
    for number in [0, 5, 9] {
        flows[number].group = 0;
        flows[number].factor = 6.0;
    }
    let groups = ["hot", "large", "small"];
    let [present, fair] = play("three hot workspaces", &flows, &groups).await;
    for group in [1, 2] {
        check_gain(&present[group], &fair[group], 0.85, 0.25);
    }
    assert!(f64::from(fair[0].served()) >= f64::from(fair[0].sent) / 6.0);
}

/// Callers that retry at once must not be served better than those that follow `Retry-After`.
#[tokio::test(start_paused = true)]
async fn callers_that_retry_at_once() {
    let mut flows = workspaces();
    for (number, flow) in flows.iter_mut().enumerate() {
        flow.factor = 1.8;
        flow.group = usize::from(number % 2 == 0);
        if number % 2 == 1 {
            flow.habit = CallerHabit::RetriesAtOnce;
        }
    }
    let [present, fair] = play("retry at once", &flows, &["at once", "follow"]).await;
    check_gain(&present[1], &fair[1], 0.55, 0.1);
    assert!(fair[0].in_time_share() <= fair[1].in_time_share());
}

/// Callers that leave must not hold the places of those that stay, and nobody may be held until
/// the deadline.
#[tokio::test(start_paused = true)]
async fn callers_that_leave() {
    let mut flows = workspaces();
    for (number, flow) in flows.iter_mut().enumerate() {
        flow.factor = 1.8;
        flow.group = usize::from(number % 2 == 0);
        if number % 2 == 1 {
            flow.habit = CallerHabit::Leaves(Duration::from_millis(800));
        }
    }
    let [present, fair] = play("callers leave", &flows, &["leave", "stay"]).await;
    check_gain(&present[1], &fair[1], 0.6, -0.08);
    for count in &fair {
        assert!(f64::from(count.timed_out) <= 0.01 * f64::from(count.sent));
    }
}
