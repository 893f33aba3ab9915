//! Suspicion: when an upstream is avoided, and when it is trusted again.

mod common;

use std::time::Duration;

use common::{name, service};
use gooseberrydyke_policy::retry::{AttemptEnd, RetryPayer};
use gooseberrydyke_policy::service::{
    Admission, Ask, Grant, LoadSum, Purpose, ServiceBalancer, UpstreamLoad,
};
use gooseberrydyke_policy::suspicion::{DoubtKind, LateShare, SuspicionScore};
use model::config::{DetectionProfile, Service};
use model::ids::UpstreamId;
use tokio::time::{self, Instant};

/// The share of requests that are overdue at sound upstreams on a calm day.
const CALM: f64 = 0.1;
const TARGET: Duration = Duration::from_millis(800);

fn balancer(upstreams: usize, nodes: u32) -> ServiceBalancer {
    let service = Service {
        profile: DetectionProfile::Spells,
        ..service(upstreams, 4, 4).as_ref().clone()
    };
    let mut balancer = ServiceBalancer::new(Instant::now(), service.into(), name("ikeja"), 5);
    balancer.set_fleet_size(nodes);
    balancer
}

fn ask(repeatable: bool) -> Ask {
    Ask {
        request: name("request-1"),
        repeatable,
        exclude: Vec::new(),
        purpose: Purpose::First,
        payer: RetryPayer::Budget,
        target: Some(TARGET),
    }
}

fn go(balancer: &mut ServiceBalancer) -> Grant {
    match balancer.admit(Instant::now(), &ask(false)) {
        Admission::Go(grant) => grant,
        other => panic!("no upstream: {other:?}"),
    }
}

fn doubt(balancer: &mut ServiceBalancer, upstream: &UpstreamId, kind: DoubtKind) {
    balancer.take_doubt(Instant::now(), upstream, kind);
}

#[tokio::test(start_paused = true)]
async fn one_overdue_request_is_enough_and_its_late_answer_takes_it_back() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    assert!(!score.is_suspect(now));
    score.update(now, DoubtKind::Overdue, CALM);
    assert!(score.is_suspect(now));
    score.update(now, DoubtKind::LateAnswer, CALM);
    assert!(!score.is_suspect(now));
}

#[tokio::test(start_paused = true)]
async fn one_answer_in_a_spell_does_not_end_the_suspicion_but_two_do() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    score.update(now, DoubtKind::Overdue, CALM);
    score.update(now, DoubtKind::Answered, CALM);
    assert!(score.is_suspect(now));
    score.update(now, DoubtKind::Answered, CALM);
    assert!(!score.is_suspect(now));
}

#[tokio::test(start_paused = true)]
async fn suspicion_fades_without_evidence() {
    let now = Instant::now();
    let mut score = SuspicionScore::new(now);
    for _ in 0..5 {
        score.update(now, DoubtKind::Overdue, CALM);
    }
    assert!(score.is_suspect(now + Duration::from_secs(9)));
    assert!(!score.is_suspect(now + Duration::from_secs(30)));
}

#[tokio::test(start_paused = true)]
async fn overdue_requests_say_little_when_the_whole_service_is_late() {
    let now = Instant::now();
    let mut late = LateShare::new(now);
    for _ in 0..10 {
        late.count_request(now, 48.0);
    }
    for _ in 0..400 {
        late.count_late(now);
    }
    let share = late.get(48.0);
    assert!(share > 0.5, "{share}");
    let mut score = SuspicionScore::new(now);
    score.update(now, DoubtKind::Overdue, share);
    let calm = SuspicionScore::new(now);
    assert!(score.probability(now) < calm.probability(now) + 0.1);
}

#[tokio::test(start_paused = true)]
async fn an_overdue_attempt_is_told_to_the_others_once_and_before_it_ends() {
    let mut balancer = balancer(3, 48);
    let grant = go(&mut balancer);
    assert_eq!(
        balancer.next_overdue(),
        Some(Instant::now() + grant.overdue_after)
    );
    time::advance(grant.overdue_after).await;
    let _ = balancer.tick(Instant::now());
    let doubts = balancer.take_doubts();
    assert_eq!(doubts.len(), 1);
    assert_eq!(
        (doubts[0].kind, &doubts[0].upstream),
        (DoubtKind::Overdue, &grant.upstream.id)
    );
    let _ = balancer.tick(Instant::now());
    balancer.finish(Instant::now(), grant.ticket, AttemptEnd::TimedOut);
    assert!(balancer.take_doubts().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_suspect_gets_trials_only_and_never_more_than_half_are_avoided() {
    let mut balancer = balancer(6, 1_000);
    for number in 0..5 {
        let id = name(&format!("up-{number}"));
        for _ in 0..=number {
            doubt(&mut balancer, &id, DoubtKind::Overdue);
        }
    }
    let mut used = std::collections::BTreeMap::new();
    for _ in 0..300 {
        let grant = go(&mut balancer);
        *used.entry(grant.upstream.id.to_string()).or_insert(0) += 1;
        balancer.finish(Instant::now(), grant.ticket, AttemptEnd::Withdrawn);
    }
    let sound: usize = ["up-0", "up-1", "up-5"]
        .iter()
        .filter_map(|id| used.get(*id))
        .sum();
    assert!(sound >= 295, "{used:?}");
}

#[tokio::test(start_paused = true)]
async fn a_suspect_that_answers_its_trials_comes_back() {
    let mut balancer = balancer(2, 1);
    let id: UpstreamId = name("up-0");
    doubt(&mut balancer, &id, DoubtKind::Overdue);
    let mut trials = 0;
    for _ in 0..200 {
        time::advance(Duration::from_millis(100)).await;
        let grant = go(&mut balancer);
        trials += usize::from(grant.trial);
        balancer.finish(Instant::now(), grant.ticket, AttemptEnd::Answered);
    }
    assert!((1..=6).contains(&trials), "{trials} trials");
    let answered = balancer.take_doubts();
    assert!(answered.iter().all(|doubt| doubt.upstream == id));
    let taken: std::collections::BTreeSet<_> = (0..50)
        .map(|_| {
            let grant = go(&mut balancer);
            balancer.finish(Instant::now(), grant.ticket, AttemptEnd::Answered);
            grant.upstream.id.clone()
        })
        .collect();
    assert!(taken.contains(&id));
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_cannot_be_opened_is_no_news_for_other_nodes() {
    let mut balancer = balancer(2, 48);
    let grant = go(&mut balancer);
    balancer.finish(Instant::now(), grant.ticket, AttemptEnd::ConnectFailed);
    assert!(balancer.take_doubts().is_empty());
    let next = go(&mut balancer);
    assert_ne!(next.upstream.id, grant.upstream.id);
}

#[tokio::test(start_paused = true)]
async fn requests_of_the_data_centre_count_and_fade() {
    // Both up-0 and up-3 stand in this data centre.
    let mut balancer = balancer(6, 48);
    let load = UpstreamLoad {
        service: name("service"),
        upstream: name("up-0"),
        in_flight: 3,
    };
    balancer.take_centre_load(Instant::now(), &load);
    let uses = |balancer: &mut ServiceBalancer| {
        let taken = (0..40).map(|_| {
            let grant = go(balancer);
            balancer.finish(Instant::now(), grant.ticket, AttemptEnd::Withdrawn);
            grant.upstream.id.clone()
        });
        taken.filter(|id| *id == name("up-0")).count()
    };
    assert_eq!(
        uses(&mut balancer),
        0,
        "three requests of neighbours fill it"
    );
    time::advance(Duration::from_secs(4)).await;
    assert!(uses(&mut balancer) > 5, "an old count no longer holds");
}

#[tokio::test(start_paused = true)]
async fn neighbours_are_told_of_changed_counts_only() {
    let mut balancer = balancer(2, 48);
    assert!(!balancer.has_untold_load());
    let grant = go(&mut balancer);
    assert!(balancer.has_untold_load());
    let told = balancer.take_loads();
    assert_eq!((told.loads.len(), told.loads[0].in_flight), (1, 1));
    assert!(!balancer.has_untold_load());
    assert!(balancer.take_loads().loads.is_empty());
    balancer.finish(Instant::now(), grant.ticket, AttemptEnd::Answered);
    assert_eq!(balancer.take_loads().loads[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn sums_are_told_once_they_change_and_forget_silent_nodes() {
    let load = |in_flight| UpstreamLoad {
        service: name("service"),
        upstream: name("up-0"),
        in_flight,
    };
    let mut sum = LoadSum::default();
    sum.take(Instant::now(), &name("node-1"), vec![load(2)]);
    sum.take(Instant::now(), &name("node-2"), vec![load(1)]);
    assert_eq!(sum.take_changed(Instant::now()), [load(3)]);
    assert!(!sum.has_changed());
    sum.take(Instant::now(), &name("node-1"), vec![load(0)]);
    assert_eq!(sum.take_changed(Instant::now()), [load(1)]);
    time::advance(Duration::from_secs(6)).await;
    sum.take(Instant::now(), &name("node-3"), vec![load(4)]);
    assert_eq!(sum.take_changed(Instant::now()), [load(4)]);
}
