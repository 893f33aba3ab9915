//! What an owner grants and believes: order of responses, restarts, announcements.

use std::time::Duration;

use gooseberrydyke_policy::permit::{
    LimitReport, LimitSignal, LimitState, LimitVersion, PermitCandidate, PermitLedger, PermitReply,
    PermitRequest,
};
use model::sizes::{RateLimit, Share};
use quickcheck::quickcheck;
use tokio::time::{self, Instant};

use super::common::name;

fn named(rate: f64) -> LimitSignal {
    LimitSignal::Named(RateLimit::per_second(rate))
}

fn report(signal: LimitSignal, permit: Option<u64>) -> LimitReport {
    LimitReport {
        service: name("stocklist"),
        data_centre: name("ikeja"),
        upstream: name("up-0"),
        signal,
        permit: permit.map(LimitVersion::new),
        known: LimitVersion::default(),
    }
}

fn state(rate: Option<f64>, version: u64) -> LimitState {
    LimitState {
        rate: rate.map(RateLimit::per_second),
        version: LimitVersion::new(version),
    }
}

fn draw_at_share(ledger: &mut PermitLedger, known: LimitState, share: Share) -> PermitReply {
    let request = PermitRequest {
        service: name("stocklist"),
        data_centre: name("ikeja"),
        candidates: vec![PermitCandidate {
            upstream: name("up-0"),
            state: known,
        }],
    };
    ledger.draw(Instant::now(), &request, share)
}

fn draw(ledger: &mut PermitLedger, known: LimitState) -> PermitReply {
    draw_at_share(ledger, known, Share::new(1.0))
}

/// A ledger with one limit, as of version 1.
fn ledger(rate: f64) -> PermitLedger {
    let mut ledger = PermitLedger::default();
    let state = ledger.report(Instant::now(), &report(named(rate), None));
    assert_eq!(state, Some(self::state(Some(rate), 1)));
    ledger
}

#[tokio::test(start_paused = true)]
async fn a_lower_limit_applies_at_once_and_a_higher_one_only_from_a_current_response() {
    let mut ledger = ledger(4.0);
    let now = Instant::now();
    assert_eq!(
        ledger.report(now, &report(named(2.0), None)),
        Some(state(Some(2.0), 2))
    );
    for stale in [None, Some(1)] {
        assert_eq!(ledger.report(now, &report(named(8.0), stale)), None);
        assert_eq!(
            ledger.report(now, &report(LimitSignal::Absent, stale)),
            None
        );
    }
    assert_eq!(
        ledger.report(now, &report(named(8.0), Some(2))),
        Some(state(Some(8.0), 3))
    );
    assert_eq!(
        ledger.report(now, &report(LimitSignal::Absent, Some(3))),
        Some(state(None, 4))
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_response_with_a_limit_does_not_lose_the_upstream() {
    let mut ledger = ledger(4.0);
    let now = Instant::now();
    ledger.report(now, &report(LimitSignal::Absent, Some(1)));
    let limited = ledger.report(now, &report(named(0.0), Some(1))).unwrap();
    time::advance(Duration::from_secs(5)).await;
    let permit = draw(&mut ledger, limited).permit.unwrap();
    let ended = ledger.report(
        Instant::now(),
        &report(LimitSignal::Absent, Some(permit.version.get())),
    );
    assert_eq!(ended.unwrap().rate, None);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_limit_changes_nothing() {
    let mut ledger = ledger(4.0);
    let unknown = report(LimitSignal::Unknown, Some(1));
    assert_eq!(ledger.report(Instant::now(), &unknown), None);
    time::advance(Duration::from_secs(1)).await;
    assert!(draw(&mut ledger, state(Some(4.0), 1)).permit.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_takes_nothing_still_gets_a_request_now_and_then() {
    let mut ledger = ledger(0.0);
    let mut granted = 0;
    for _ in 0..30 {
        time::advance(Duration::from_secs(1)).await;
        granted += u32::from(draw(&mut ledger, state(Some(0.0), 1)).permit.is_some());
    }
    assert_eq!(granted, 6);
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_starts_without_permits_and_with_what_the_sender_knows() {
    let mut ledger = PermitLedger::default();
    let reply = draw(&mut ledger, state(Some(2.0), 7));
    assert_eq!(reply.permit, None);
    assert_eq!(reply.outlooks[0].state, state(Some(2.0), 7));
    assert!((450..=501).contains(&reply.outlooks[0].wait_millis));
    time::advance(Duration::from_millis(510)).await;
    let permit = draw(&mut ledger, state(Some(2.0), 7)).permit.unwrap();
    assert_eq!(permit.version, LimitVersion::new(7));
}

#[tokio::test(start_paused = true)]
async fn two_owners_of_a_separated_data_centre_together_keep_a_limit() {
    let mut owners = [ledger(4.0), ledger(4.0)];
    let mut granted = 0;
    for _ in 0..800 {
        time::advance(Duration::from_millis(10)).await;
        for owner in &mut owners {
            let reply = draw_at_share(owner, state(Some(4.0), 1), Share::new(0.5));
            granted += u32::from(reply.permit.is_some());
        }
    }
    assert!(
        (30..=32).contains(&granted),
        "{granted} permits in 8 s at 4 a second"
    );
}

/// Nodes ignore an announcement whose version is not higher than the one that they know.
#[tokio::test(start_paused = true)]
async fn an_owner_that_forgot_an_ended_limit_does_not_start_its_versions_anew() {
    let mut ledger = PermitLedger::default();
    let report = LimitReport {
        known: LimitVersion::new(9),
        ..report(named(2.0), None)
    };
    let limited = ledger.report(Instant::now(), &report).unwrap();
    assert_eq!(limited, state(Some(2.0), 10));
}

#[tokio::test(start_paused = true)]
async fn a_sender_that_missed_the_end_of_a_limit_learns_of_it_from_a_draw() {
    let mut ledger = ledger(2.0);
    ledger.report(Instant::now(), &report(LimitSignal::Absent, Some(1)));
    let reply = draw(&mut ledger, state(Some(2.0), 1));
    assert_eq!(reply.permit, None);
    assert_eq!(reply.outlooks[0].state, state(None, 2));
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_comes_and_goes_is_announced_once_a_second() {
    let mut ledger = PermitLedger::default();
    let mut announced = 0;
    for _ in 0..100 {
        let now = Instant::now();
        ledger.report(now, &report(named(3.0), None));
        announced += ledger.take_announcements(now).len();
        let version = ledger.records()[0].state.version.get();
        ledger.report(now, &report(LimitSignal::Absent, Some(version)));
        announced += ledger.take_announcements(now).len();
        time::advance(Duration::from_millis(100)).await;
    }
    assert!(announced <= 22, "{announced} announcements in 10 s");
}

#[tokio::test(start_paused = true)]
async fn an_announcement_is_repeated_once() {
    let mut ledger = ledger(3.0);
    let mut announced = 0;
    while let Some(at) = ledger.next_announcement_at(Instant::now()) {
        time::sleep_until(at).await;
        announced += ledger.take_announcements(Instant::now()).len();
    }
    assert_eq!(announced, 2);
}

quickcheck! {
    /// Whatever is reported, in whatever order, the owner neither panics nor stops granting.
    fn no_order_of_reports_loses_an_upstream(reports: Vec<(u8, f64, u8)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut ledger = PermitLedger::default();
            for (kind, rate, permit) in reports {
                let signal = match kind % 3 {
                    0 => LimitSignal::Absent,
                    1 => named(rate.abs().min(1e6)),
                    _ => LimitSignal::Unknown,
                };
                let permit = Some(u64::from(permit)).filter(|_| permit % 4 != 0);
                ledger.report(Instant::now(), &report(signal, permit));
                time::advance(Duration::from_millis(10)).await;
            }
            let known = ledger.records().first().map(|record| record.state);
            let Some(known) = known else { return true };
            draw(&mut ledger, known);
            time::advance(Duration::from_secs(6)).await;
            draw(&mut ledger, known).permit.is_some()
        })
    }
}
