//! The rate limit that a response names, as read from its headers.

use gooseberrydyke_upstream::wire::{RATE_LIMIT, UpstreamHeaders};
use http::{HeaderMap, HeaderValue, StatusCode};
use model::sizes::RateLimit;
use policy::permit::LimitSignal;

fn read(status: StatusCode, values: &[&str]) -> LimitSignal {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(
            RATE_LIMIT,
            HeaderValue::from_bytes(value.as_bytes()).unwrap(),
        );
    }
    UpstreamHeaders::default()
        .read_signals(status, &headers)
        .limit
}

fn named(requests: f64) -> LimitSignal {
    LimitSignal::Named(RateLimit::per_second(requests))
}

#[test]
fn a_limit_is_read_from_every_status() {
    for status in [200, 404, 421, 429, 500, 503, 504] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(read(status, &["1.5"]), named(1.5));
        assert_eq!(read(status, &[]), LimitSignal::Absent);
    }
}

#[test]
fn a_limit_of_zero_is_a_limit() {
    assert_eq!(read(StatusCode::OK, &["0"]), named(0.0));
    assert_eq!(read(StatusCode::OK, &["-0.0"]), named(0.0));
}

#[test]
fn an_unreadable_limit_says_nothing() {
    let page = "9".repeat(4096);
    let texts = [
        "",
        " ",
        "NaN",
        "inf",
        "1e309",
        "-1",
        "none",
        "1.5 a second",
        "0x10",
        &page,
        "\u{e9}",
    ];
    for text in texts {
        assert_eq!(
            read(StatusCode::OK, &[text]),
            LimitSignal::Unknown,
            "{text:?}"
        );
    }
}

#[test]
fn of_several_limits_in_one_response_the_lowest_counts() {
    assert_eq!(read(StatusCode::OK, &["5", "2"]), named(2.0));
    assert_eq!(read(StatusCode::OK, &["2, 5"]), named(2.0));
    assert_eq!(read(StatusCode::OK, &["NaN", "3"]), named(3.0));
    assert_eq!(read(StatusCode::OK, &["3", "-1"]), named(3.0));
    assert_eq!(read(StatusCode::OK, &["x", ""]), LimitSignal::Unknown);
}
