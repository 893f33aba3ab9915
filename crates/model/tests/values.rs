//! Values keep their text form, and refuse what is not allowed.

use gooseberrydyke_model::error::{ErrorKind, Outcome};
use gooseberrydyke_model::ids::{ServiceId, UpstreamId};
use gooseberrydyke_model::setting;
use gooseberrydyke_model::sizes::{Rate, RequestCount, Share, SlotCount};
use gooseberrydyke_model::span::TimeSpan;
use quickcheck::{Gen, QuickCheck};

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(64, 11))
}

#[test]
fn spans_survive_their_text_form() {
    fn holds(millis: u32) -> bool {
        let span = TimeSpan::from_millis(u64::from(millis));
        span.to_string().parse() == Ok(span)
    }
    check().quickcheck(holds as fn(u32) -> bool);
}

#[test]
fn spans_refuse_other_texts() {
    for text in ["", "5", "5 s", "-1s", "1.5s", "s", "9999999h", "1d"] {
        assert!(text.parse::<TimeSpan>().is_err(), "{text:?} was taken");
    }
}

#[test]
fn identifiers_refuse_what_a_name_may_not_hold() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its values over"
    )]
    fn holds(text: String) -> bool {
        let taken = text.parse::<ServiceId>().is_ok();
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        taken == (!text.is_empty() && text.len() <= 128 && text.bytes().all(allowed))
    }
    check().quickcheck(holds as fn(String) -> bool);
    assert!("a/b".parse::<UpstreamId>().is_err());
}

#[test]
fn counts_and_shares_keep_their_bounds() {
    assert!("0".parse::<RequestCount>().is_err());
    assert!("100001".parse::<SlotCount>().is_err());
    assert_eq!("25%".parse::<Share>().unwrap(), Share::new(0.25));
    assert!("101%".parse::<Share>().is_err());
    assert_eq!("70/s".parse::<Rate>().unwrap(), Rate::per_second(70.0));
    assert!("0/s".parse::<Rate>().is_err());
}

#[test]
fn a_faulty_setting_names_flag_variable_value_and_what_is_allowed() {
    let setting = setting!("queue", "GOOSEBERRYDYKE_TEST_QUEUE");
    let error = setting
        .read::<RequestCount>(Some("none".to_owned()))
        .unwrap_err()
        .to_string();
    for part in [
        "--queue",
        "GOOSEBERRYDYKE_TEST_QUEUE",
        "none",
        "1 to 1000000",
    ] {
        assert!(error.contains(part), "{error:?} lacks {part:?}");
    }
    assert!(setting.read::<RequestCount>(None).is_err());
    assert_eq!(
        setting.read_or::<RequestCount>(None, "7").unwrap(),
        RequestCount::new(7)
    );
}

#[test]
fn every_kind_has_an_answer_and_only_certain_ones_say_not_run() {
    let may_have_run = [
        ErrorKind::BodyMalformed,
        ErrorKind::BodyOverrun,
        ErrorKind::DeadlineAfterSend,
        ErrorKind::ResponseLost,
        ErrorKind::CallerDisconnected,
        ErrorKind::KeyInProgress,
        ErrorKind::KeyUnknown,
        ErrorKind::KeyRan,
        ErrorKind::WriteUnknown,
    ];
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        assert!((400..600).contains(&answer.status), "{kind}");
        let certain = !may_have_run.contains(kind);
        assert_eq!(answer.outcome == Outcome::NotRun, certain, "{kind}");
        assert_eq!(kind.as_str().parse::<ErrorKind>().unwrap(), *kind);
    }
}
