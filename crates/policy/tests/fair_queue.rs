//! The order of the queue for capacity that is not enough for all, and what it drops.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::limit::{
    DepartureRate, FairQueue, FlowKey, FlowTable, RequestClass, ServiceRate, WaiterRank,
};
use model::sizes::RequestCount;
use tokio::time::{self, Instant};

fn flow(workspace: &str) -> FlowKey {
    FlowKey::Workspace(workspace.parse().unwrap())
}

fn rank(workspace: &str, priority: u32, millis: u64) -> WaiterRank {
    WaiterRank {
        class: Arc::new(RequestClass {
            flow: flow(workspace),
            priority,
        }),
        is_retry: false,
        deadline: Instant::now() + Duration::from_millis(millis),
    }
}

fn queue(capacity: u32) -> FairQueue<&'static str> {
    FairQueue::new(RequestCount::new(capacity))
}

/// Removes every waiter; each goes into service.
fn drain(mut queue: FairQueue<&'static str>, flows: &mut FlowTable) -> Vec<&'static str> {
    let mut order = Vec::new();
    while let Some((rank, waiter)) = queue.pop(flows, |_| true) {
        flows.enter(Instant::now(), &rank.class.flow);
        order.push(waiter);
    }
    order
}

/// Priority goes first, then the flow with the fewest requests in service, then the deadline.
#[tokio::test(start_paused = true)]
async fn the_order_is_priority_then_use_then_deadline() {
    let mut flows = FlowTable::new(Instant::now());
    flows.enter(Instant::now(), &flow("busy"));
    let mut queue = queue(8);
    queue.push(rank("busy", 1, 100), "busy", &flows);
    queue.push(rank("late", 1, 900), "late", &flows);
    queue.push(rank("soon", 1, 500), "soon", &flows);
    queue.push(rank("busy", 0, 950), "urgent", &flows);
    let order = drain(queue, &mut flows);
    assert_eq!(order, ["urgent", "soon", "late", "busy"]);
}

/// A flow with many waiters must not be served more often than one with few.
#[tokio::test(start_paused = true)]
async fn flows_take_turns() {
    let mut flows = FlowTable::new(Instant::now());
    let mut queue = queue(8);
    for (millis, waiter) in [(100, "a1"), (101, "a2"), (102, "a3")] {
        queue.push(rank("a", 0, millis), waiter, &flows);
    }
    queue.push(rank("b", 0, 500), "b1", &flows);
    queue.push(rank("b", 0, 501), "b2", &flows);
    let new = rank("c", 0, 900);
    assert_eq!(queue.count_ahead(&new, &flows, |_| true), 2);
    let again = rank("b", 0, 900);
    assert_eq!(queue.count_ahead(&again, &flows, |_| true), 5);
    let order = drain(queue, &mut flows);
    assert_eq!(order, ["a1", "b1", "a2", "b2", "a3"]);
}

/// A rejection has to be cheap, also with many waiters: whether a flow counts is asked once for
/// each of them.
#[tokio::test(start_paused = true)]
async fn each_waiter_is_looked_at_once_to_count_those_ahead() {
    let flows = FlowTable::new(Instant::now());
    let mut queue = queue(64);
    for number in 0..64 {
        queue.push(rank(&format!("w{}", number % 8), 0, 100), "waiter", &flows);
    }
    let asked = Cell::new(0);
    let ahead = queue.count_ahead(&rank("new", 0, 900), &flows, |_| {
        asked.set(asked.get() + 1);
        true
    });
    // The first of each other flow.
    assert_eq!(ahead, 8);
    assert_eq!(asked.get(), 64);
}

/// A retry goes behind the first attempt of a flow that uses as much.
#[tokio::test(start_paused = true)]
async fn a_retry_goes_behind_first_attempts() {
    let mut flows = FlowTable::new(Instant::now());
    let mut queue = queue(8);
    let retry = WaiterRank {
        is_retry: true,
        ..rank("a", 0, 100)
    };
    queue.push(retry, "retry", &flows);
    queue.push(rank("b", 0, 500), "first", &flows);
    assert_eq!(drain(queue, &mut flows), ["first", "retry"]);
}

/// A full queue drops from the flow that uses the most, but no request of a higher priority
/// while one of a lower priority waits.
#[tokio::test(start_paused = true)]
async fn a_full_queue_drops_from_the_flow_that_uses_the_most() {
    let flows = FlowTable::new(Instant::now());
    let mut queue = queue(3);
    queue.push(rank("a", 0, 100), "a1", &flows);
    queue.push(rank("a", 0, 200), "a2", &flows);
    queue.push(rank("b", 0, 300), "b1", &flows);
    let dropped = queue.push(rank("c", 0, 400), "c1", &flows).unwrap();
    assert_eq!(dropped.1, "a2");
    let dropped = queue.push(rank("d", 1, 400), "d1", &flows).unwrap();
    assert_eq!(dropped.1, "d1");
    assert_eq!(queue.len(), 3);
}

/// A flow is beyond its share once it asks for much more than it usually gets, and not on chance
/// or shortly after the start.
#[tokio::test(start_paused = true)]
async fn a_hot_flow_is_found_and_forgotten() {
    let mut flows = FlowTable::new(Instant::now());
    let steady = flow("steady");
    let hot = flow("hot");
    let send = async |flows: &mut FlowTable, rate: u32| {
        for _ in 0..rate {
            time::advance(Duration::from_secs(1) / rate).await;
            let now = Instant::now();
            flows.arrive(now, &hot);
            flows.enter(now, &hot);
            flows.leave(&hot);
        }
        let now = Instant::now();
        flows.arrive(now, &steady);
        flows.enter(now, &steady);
        flows.leave(&steady);
        (
            flows.is_excessive(now, &hot),
            flows.is_excessive(now, &steady),
        )
    };
    for _ in 0..30 {
        assert_eq!(send(&mut flows, 2).await, (false, false));
    }
    send(&mut flows, 10).await;
    assert_eq!(send(&mut flows, 10).await, (true, false));
    for _ in 0..6 {
        send(&mut flows, 2).await;
    }
    assert_eq!(send(&mut flows, 2).await, (false, false));
}

/// The expected wait follows from the time in service, and grows while nothing leaves.
#[tokio::test(start_paused = true)]
async fn the_wait_follows_from_what_ends() {
    let mut rate = ServiceRate::default();
    assert_eq!(rate.time_to_end(1, 1), None);
    rate.observe(Duration::from_millis(400));
    assert_eq!(rate.time_to_end(3, 2), Some(Duration::from_millis(600)));
    let mut departures = DepartureRate::default();
    departures.restart(Instant::now());
    time::advance(Duration::from_millis(100)).await;
    departures.record(Instant::now());
    let expected = departures.time_to_leave(Instant::now(), 1);
    assert_eq!(expected, Some(Duration::from_millis(200)));
    time::advance(Duration::from_secs(1)).await;
    let expected = departures.time_to_leave(Instant::now(), 1);
    assert_eq!(expected, Some(Duration::from_secs(2)));
}
