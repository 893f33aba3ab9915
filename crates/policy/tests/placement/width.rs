//! The width of a node's subset.

use std::time::Duration;

use gooseberrydyke_policy::service::{NodeDemand, SubsetShape, SubsetWidth};
use model::sizes::Rate;
use tokio::time::{self, Instant};

const SHAPE: SubsetShape = SubsetShape {
    nodes: 30,
    upstreams: 41,
    slots: 164,
};

fn demand(rate: f64) -> NodeDemand {
    NodeDemand {
        rate: Some(Rate::per_second(rate)),
        latency: Some(Duration::from_millis(320)),
    }
}

// With 100 upstreams for 5 requests a second nearly every request opened a connection, and with
// 2 or 3 local ones requests went to other data centres.
#[tokio::test(start_paused = true)]
async fn a_node_of_the_large_deployment_gets_a_narrow_subset() {
    let mut width = SubsetWidth::default();
    assert!(width.update(Instant::now(), &demand(5.2), SHAPE));
    assert_eq!(width.get(), 6);
    assert!(width.update(Instant::now(), &demand(40.0), SHAPE));
    assert_eq!(width.get(), 45);
}

// A subset that follows waves of demand of 17 s opens the same connections again and again.
#[tokio::test(start_paused = true)]
async fn waves_of_demand_do_not_narrow_a_subset() {
    let mut width = SubsetWidth::default();
    let mut changes = 0;
    for second in 0..170_u32 {
        let phase = f64::from(second) / 17.0 * std::f64::consts::TAU;
        let rate = 10.0 * (1.0 + 0.55 * phase.sin());
        changes += u32::from(width.update(Instant::now(), &demand(rate), SHAPE));
        time::advance(Duration::from_secs(1)).await;
    }
    assert!(changes <= 3, "{changes} changes");
    let peak = width.get();
    for _ in 0..40 {
        width.update(Instant::now(), &demand(1.0), SHAPE);
        time::advance(Duration::from_secs(1)).await;
    }
    assert!(width.get() < peak, "a lower demand has no effect");
}

// While the rate is not known, the subset has to carry what the fleet can take.
#[tokio::test(start_paused = true)]
async fn the_first_width_comes_from_the_slots_of_the_fleet() {
    let mut width = SubsetWidth::default();
    let unknown = NodeDemand {
        rate: None,
        latency: None,
    };
    width.update(Instant::now(), &unknown, SHAPE);
    assert_eq!(width.get(), 13);
}
