//! Pauses that upstreams ask for in their responses.

use std::time::{Duration, SystemTime};

use gooseberrydyke_upstream::wire::{PauseSignal, UpstreamHeaders, read_pause};
use http::{HeaderMap, HeaderValue, StatusCode, header};

/// 2021-03-07 12:00:00 UTC.
const NOON: Duration = Duration::from_hours(448_644);

fn read(status: StatusCode, values: &[&str]) -> PauseSignal {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        headers.append(header::RETRY_AFTER, value);
    }
    read_pause(status, &headers, SystemTime::UNIX_EPOCH + NOON)
}

fn read_refused(value: &str) -> PauseSignal {
    read(StatusCode::SERVICE_UNAVAILABLE, &[value])
}

fn asked(millis: u64) -> PauseSignal {
    let pause = model::pause::PauseTime::new(Duration::from_millis(millis));
    PauseSignal::Asked(pause)
}

#[test]
fn a_pause_is_read_in_seconds_with_fractions_and_as_a_date() {
    assert_eq!(read_refused("3"), asked(3_000));
    assert_eq!(read_refused("0.25"), asked(250));
    assert_eq!(read_refused("Sun, 07 Mar 2021 12:00:09 GMT"), asked(9_000));
    assert_eq!(read_refused("Sun, 07 Mar 2021 11:00:00 GMT"), asked(0));
}

#[test]
fn a_pause_is_bounded() {
    assert_eq!(read_refused("86400"), asked(300_000));
    assert_eq!(
        read_refused("Mon, 08 Mar 2021 12:00:00 GMT"),
        asked(300_000)
    );
}

#[test]
fn only_a_refusal_asks_for_a_pause() {
    assert_eq!(read(StatusCode::OK, &["3"]), PauseSignal::Absent);
    assert_eq!(
        read(StatusCode::SERVICE_UNAVAILABLE, &[]),
        PauseSignal::Absent
    );
}

#[test]
fn an_unreadable_pause_says_nothing() {
    let long = "9".repeat(5_000);
    for value in ["NaN", "-1", "1e309", "inf", "", "soon", "+3", long.as_str()] {
        assert_eq!(read_refused(value), PauseSignal::Unreadable, "{value:.20}");
    }
    let twice = read(StatusCode::SERVICE_UNAVAILABLE, &["3", "3"]);
    assert_eq!(twice, PauseSignal::Unreadable);
}

// A backend that leaves says so in whatever it returns.
#[test]
fn a_drain_is_read_from_every_status() {
    let names = UpstreamHeaders::default();
    for status in [200, 400, 404, 421, 429, 500, 503, 504] {
        let status = StatusCode::from_u16(status).unwrap();
        let mut headers = HeaderMap::new();
        assert!(!names.read_signals(status, &headers).draining);
        headers.append(&names.state, HeaderValue::from_static("active"));
        assert!(!names.read_signals(status, &headers).draining);
        headers.append(&names.state, names.draining.clone());
        assert!(names.read_signals(status, &headers).draining, "{status}");
    }
}

#[test]
fn spaces_around_a_pause_are_no_part_of_it() {
    assert_eq!(read_refused(" 2 "), asked(2_000));
    assert_eq!(read_refused(" "), PauseSignal::Unreadable);
    assert_eq!(read_refused("2, 3"), PauseSignal::Unreadable);
}
