//! Five loads that exceed the capacity of a service: what each group of callers gets with the
//! present queue, and with admission by priority and fair share.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod node;
mod outcome;

use std::time::Duration;

use common::name;
use fleet::{CallerHabit, Fleet, FleetPlan, FlowPlan};
use gooseberrydyke_policy::limit::FlowKey;
use node::QueueKind;
use outcome::GroupCount;

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
    for (kind, result) in [QueueKind::Present, QueueKind::Fair].into_iter().zip(&mut results) {
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

/// A usual day must be served as before: no rejection, no longer wait.
#[tokio::test(start_paused = true)]
async fn usual_traffic() {
    let [present, fair] = play("usual traffic", &workspaces(), &["large", "small"]).await;
    let _ = (present, fair);
}

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
    let _ = play("burst on one route", &flows, &["burst", "others"]).await;
}

#[tokio::test(start_paused = true)]
async fn one_hot_workspace() {
    let mut flows = workspaces();
    for flow in &mut flows {
        flow.group += 1;
    }
    flows[0].group = 0;
    flows[0].factor = 5.0;
    let _ = play("one hot workspace", &flows, &["hot", "large", "small"]).await;
}

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
    let _ = play("three hot workspaces", &flows, &["hot", "large", "small"]).await;
}

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
    let _ = play("retry at once", &flows, &["at once", "follow"]).await;
}

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
    let _ = play("callers leave", &flows, &["leave", "stay"]).await;
}
