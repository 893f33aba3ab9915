//! The scripted upstream: what happens to a request at a moment.

use std::time::Duration;

use policy::retry::AttemptEnd;
use rand::Rng;
use rand::rngs::SmallRng;

/// The middle of the latencies of a sound upstream.
const LATENCY_MIDDLE: Duration = Duration::from_millis(20);
/// How widely latencies spread on a logarithmic scale.
const LATENCY_SPREAD: f64 = 0.4;
/// Share of requests that fail at a sound upstream.
const SOUND_FAILURES: f64 = 0.001;
/// How much slower a slow upstream is.
const SLOW_FACTOR: f64 = 5.0;
/// Share of requests that a hanging upstream does not answer.
const HANG_SHARE: f64 = 0.5;
/// Length of a good or a bad spell of a flapping upstream.
const FLAP_SPELL: Duration = Duration::from_secs(5);
/// When an attempt without an answer is given up.
pub(super) const ATTEMPT_LIMIT: Duration = Duration::from_secs(2);

model::text_enum! {
    /// What is wrong.
    pub(super) enum Mode {
        /// Nothing.
        Sound = "no-fault",
        /// Server errors, while health checks pass.
        Errors = "errors",
        /// Five times the latency.
        Slow = "slow-5x",
        /// Half of the requests hang.
        Hang = "half-hang",
        /// Errors in spells of five seconds.
        Flap = "flapping",
        /// Answers that break off.
        Truncate = "truncated",
        /// Answers to one data centre are lost, from every upstream of another.
        Partition = "one-way-partition",
        /// Every upstream of the service fails.
        AllFail = "all-fail",
        /// The health endpoint of a sound upstream fails.
        HealthWrong = "health-wrong",
    }
}

/// How one request ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scripted {
    pub(super) latency: Duration,
    pub(super) end: AttemptEnd,
}

/// Where a request goes and when.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    pub(super) mode: Mode,
    /// Time since the fault began; none before.
    pub(super) since: Option<Duration>,
    /// Whether the upstream is the one at fault.
    pub(super) at_fault: bool,
    /// Whether the answer would cross the link at fault.
    pub(super) over_cut: bool,
    /// Time on the way, both ways.
    pub(super) travel: Duration,
}

/// Scripts the end of one request.
pub(super) fn outcome(contact: Contact, rng: &mut SmallRng) -> Scripted {
    let work = LATENCY_MIDDLE.mul_f64((normal(rng) * LATENCY_SPREAD).exp());
    let sound = Scripted {
        latency: work + contact.travel,
        end: AttemptEnd::Answered,
    };
    let failed = Scripted {
        end: AttemptEnd::ServerError,
        ..sound
    };
    let lost = Scripted {
        latency: ATTEMPT_LIMIT,
        end: AttemptEnd::TimedOut,
    };
    if rng.random_bool(SOUND_FAILURES) {
        return failed;
    }
    let Some(since) = contact.since else {
        return sound;
    };
    match contact.mode {
        Mode::Partition if contact.over_cut => lost,
        Mode::AllFail => failed,
        _ if !contact.at_fault => sound,
        Mode::Errors => failed,
        Mode::Slow => Scripted {
            latency: work.mul_f64(SLOW_FACTOR) + contact.travel,
            ..sound
        },
        Mode::Hang if rng.random_bool(HANG_SHARE) => lost,
        Mode::Flap if in_bad_spell(since) => failed,
        Mode::Truncate => Scripted {
            end: AttemptEnd::Truncated,
            ..sound
        },
        _ => sound,
    }
}

/// Whether the health endpoint of an upstream answers well.
pub(super) fn healthy_probe(contact: Contact) -> bool {
    let wrong = contact.mode == Mode::HealthWrong && contact.at_fault && contact.since.is_some();
    let cut = contact.mode == Mode::Partition && contact.over_cut && contact.since.is_some();
    !wrong && !cut
}

fn in_bad_spell(since: Duration) -> bool {
    (since.as_millis() / FLAP_SPELL.as_millis()).is_multiple_of(2)
}

fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
