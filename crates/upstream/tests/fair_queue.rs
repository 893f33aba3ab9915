//! The order in which the task of a service serves requests that wait, with and without an
//! access table.

use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_upstream::service::{
    self, AdmissionError, AttemptLease, PermitSource, ServiceHandle, ServiceSettings,
};
use model::config::{DetectionProfile, Service, Upstream, UpstreamState};
use model::error::ErrorKind;
use model::ids;
use model::sizes::{RequestCount, SlotCount};
use policy::limit::{FlowKey, RequestClass};
use policy::retry::{AttemptEnd, RetryCharge};
use policy::service::{AttemptPurpose, AttemptRequest, Placement};
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

const LONG: Duration = Duration::from_secs(20);

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a valid identifier"))
}

/// Starts the task of a service with one upstream of one slot.
fn start(queue: u32) -> ServiceHandle {
    let mut config = Service::new(name("episodes"), SlotCount::new(1));
    config.profile = DetectionProfile::Episodes;
    config.queue = RequestCount::new(queue);
    config.upstreams = vec![Upstream {
        id: name("up-0"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: name("ikeja"),
        slots: SlotCount::new(1),
        state: UpstreamState::Active,
        instance: None,
    }];
    let settings = ServiceSettings {
        placement: Placement::Hashed,
        node: name("node-1"),
        data_centre: name("ikeja"),
        seed: 5,
        evidence: Arc::new(|_| {}),
        drains: Arc::new(|_, _| {}),
        signals: Arc::new(|_| {}),
        loads: Arc::new(|_| {}),
        retry_tokens: None,
        limits: Arc::new(|_| {}),
        permits: PermitSource::new(|_| Box::pin(async { None })),
        headers: Arc::default(),
    };
    service::start(settings, Arc::new(config))
}

fn class(workspace: &str, priority: u32) -> RequestClass {
    RequestClass {
        flow: FlowKey::Workspace(name(workspace)),
        priority,
    }
}

type Waiting = JoinHandle<Result<AttemptLease, AdmissionError>>;

/// Sends a request and lets the task handle it.
async fn send(
    handle: &ServiceHandle,
    id: &str,
    class: Option<RequestClass>,
    timeout: Duration,
) -> Waiting {
    let request = AttemptRequest {
        request_id: name::<ids::RequestId>(id),
        repeatable: false,
        exclude: Vec::new(),
        purpose: AttemptPurpose::First,
        charge: RetryCharge::Budget,
        target_latency: None,
        class: class.map(Arc::new),
    };
    let handle = handle.clone();
    let deadline = Instant::now() + timeout;
    let waiting = tokio::spawn(async move { handle.admit(request, deadline).await });
    settle().await;
    waiting
}

/// Lets every task run that can, without letting time pass.
async fn settle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// Ends an attempt without raising the limit of the upstream, as a success would.
async fn end(lease: AttemptLease) {
    lease.end(AttemptEnd::Cancelled);
    settle().await;
}

fn finished(waiting: &[(&str, Waiting)]) -> Vec<String> {
    let ended = waiting.iter().filter(|(_, waiting)| waiting.is_finished());
    ended.map(|(id, _)| (*id).to_owned()).collect()
}

/// Runs three requests that wait, one after another; returns the order in which they ran.
async fn order_of(classes: [Option<RequestClass>; 3]) -> Vec<String> {
    let handle = start(8);
    let first = send(&handle, "first", classes[0].clone(), LONG).await;
    let mut lease = first.await.unwrap().unwrap();
    let mut waiting = Vec::new();
    for (id, class) in ["one", "two", "three"].into_iter().zip(classes) {
        waiting.push((id, send(&handle, id, class, LONG).await));
    }
    let mut order = Vec::new();
    while !waiting.is_empty() {
        end(lease).await;
        let granted = finished(&waiting);
        assert_eq!(granted.len(), 1, "one slot serves one request: {granted:?}");
        let index = waiting.iter().position(|(id, _)| *id == granted[0]);
        let (id, granted) = waiting.remove(index.unwrap());
        lease = granted.await.unwrap().unwrap();
        order.push(id.to_owned());
    }
    order
}

/// With an access table, a request of a higher priority must not wait for those of a lower one
/// that came before it.
#[tokio::test(start_paused = true)]
async fn a_request_of_high_priority_overtakes() {
    let classes = [class("a", 2), class("b", 1), class("c", 0)].map(Some);
    assert_eq!(order_of(classes).await, ["three", "two", "one"]);
}

/// Within a priority, a workspace with requests in service must not get the next slot before one
/// without.
#[tokio::test(start_paused = true)]
async fn workspaces_take_turns() {
    let handle = start(8);
    let first = send(&handle, "first", Some(class("a", 0)), LONG).await;
    let lease = first.await.unwrap().unwrap();
    // A success at the limit raises it, so that two requests are in service after it.
    lease.end(AttemptEnd::Answered);
    settle().await;
    let mut leases = Vec::new();
    for id in ["second", "third"] {
        let granted = send(&handle, id, Some(class("a", 0)), LONG).await;
        leases.push(granted.await.unwrap().unwrap());
    }
    let own = send(&handle, "own", Some(class("a", 0)), LONG).await;
    let other = send(&handle, "other", Some(class("b", 0)), LONG).await;
    end(leases.remove(0)).await;
    assert!(other.is_finished() && !own.is_finished());
}

/// Without an access table, requests must run in the order in which they came.
#[tokio::test(start_paused = true)]
async fn without_classes_the_order_stays() {
    let order = order_of([None, None, None]).await;
    assert_eq!(order, ["one", "two", "three"]);
}

/// Without an access table, a request that cannot run in time must wait as before, and a full
/// queue must drop the one with the earliest deadline, without a time to return.
#[tokio::test(start_paused = true)]
async fn without_classes_the_rejections_stay() {
    let handle = start(1);
    let lease = send(&handle, "first", None, LONG).await;
    let lease = lease.await.unwrap().unwrap();
    time::advance(Duration::from_secs(1)).await;
    end(lease).await;
    let _lease = send(&handle, "second", None, LONG).await;
    let short = send(&handle, "short", None, Duration::from_millis(500)).await;
    assert!(!short.is_finished());
    let long = send(&handle, "long", None, LONG).await;
    assert!(!long.is_finished());
    let error = short.await.unwrap().unwrap_err();
    assert_eq!(error, ErrorKind::Overload.into());
}

/// A request whose expected wait exceeds the time that it has must be rejected on arrival, with
/// the time at which there is room, and not be held until its deadline.
#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_run_in_time_is_rejected_on_arrival() {
    let handle = start(8);
    let first = send(&handle, "first", Some(class("a", 0)), LONG).await;
    let lease = first.await.unwrap().unwrap();
    time::advance(Duration::from_secs(1)).await;
    end(lease).await;
    let _lease = send(&handle, "second", Some(class("a", 0)), LONG).await;
    let long = send(&handle, "long", Some(class("a", 0)), LONG).await;
    let asked_at = Instant::now();
    let short = Duration::from_millis(800);
    let rejected = send(&handle, "short", Some(class("a", 0)), short).await;
    let error = rejected.await.unwrap().unwrap_err();
    assert_eq!(asked_at.elapsed(), Duration::ZERO);
    assert_eq!(error.kind, ErrorKind::ExpectedWait);
    let outlook = error.outlook.unwrap();
    assert_eq!(outlook.left, short);
    assert!(outlook.expected >= short);
    assert!(error.retry_after.unwrap() >= outlook.expected);
    assert!(!long.is_finished());
}

/// A caller that has left must not take the turn of one that waits.
#[tokio::test(start_paused = true)]
async fn a_caller_that_left_is_passed_over() {
    let handle = start(8);
    let first = send(&handle, "first", Some(class("a", 0)), LONG).await;
    let lease = first.await.unwrap().unwrap();
    let gone = send(&handle, "gone", Some(class("b", 0)), LONG).await;
    let stays = send(&handle, "stays", Some(class("c", 1)), LONG).await;
    gone.abort();
    settle().await;
    end(lease).await;
    assert!(stays.is_finished());
}
