//! The fault model: the latency and the end of each simulated request and probe.

use std::time::Duration;

use policy::retry::AttemptEnd;
use rand::Rng;
use rand::rngs::SmallRng;

/// Median service time of a healthy upstream, without the network time.
const SERVICE_TIME_MEDIAN: Duration = Duration::from_millis(20);
/// Standard deviation of the natural logarithm of the service time.
const SERVICE_TIME_LOG_DEVIATION: f64 = 0.4;
/// Share of requests that fail with a server error at every upstream, also without a fault.
const BASE_FAILURE_SHARE: f64 = 0.001;
/// Factor on the service time of a slow upstream.
const SLOW_FACTOR: f64 = 5.0;
/// Share of requests to which a hanging upstream does not respond.
const HANG_SHARE: f64 = 0.5;
/// Length of each failing and each healthy phase of a flapping upstream.
const FLAP_PHASE: Duration = Duration::from_secs(5);
/// Timeout of an attempt without a response.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

model::text_enum! {
    /// The injected fault.
    pub(super) enum FaultMode {
        /// No upstream is faulty.
        NoFault = "no-fault",
        /// Every request fails with a server error, while health checks pass.
        Errors = "errors",
        /// Five times the normal service time.
        Slow = "slow-5x",
        /// Half of the requests get no response.
        HalfHang = "half-hang",
        /// Server errors in alternate phases of five seconds.
        Flapping = "flapping",
        /// Every response breaks off before its end.
        Truncate = "truncated",
        /// Responses from every upstream of one data centre to the nodes of another are lost.
        Partition = "one-way-partition",
        /// Every upstream of the service fails.
        AllFail = "all-fail",
        /// The health endpoint of an upstream fails, while its requests succeed.
        FailingProbe = "health-wrong",
    }
}

/// The latency and the end of one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestOutcome {
    pub(super) latency: Duration,
    pub(super) end: AttemptEnd,
}

/// The conditions under which a node sends a request or a probe to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestContext {
    pub(super) mode: FaultMode,
    /// Time since the onset of the fault; `None` before it.
    pub(super) fault_age: Option<Duration>,
    /// Whether the upstream is the faulty one.
    pub(super) is_faulty: bool,
    /// Whether the response crosses the link that a partition cuts.
    pub(super) crosses_cut: bool,
    /// Network time of the request and its response together.
    pub(super) network_time: Duration,
}

/// Draws the outcome of one request.
pub(super) fn draw_outcome(context: RequestContext, rng: &mut SmallRng) -> RequestOutcome {
    let service_time =
        SERVICE_TIME_MEDIAN.mul_f64((standard_normal(rng) * SERVICE_TIME_LOG_DEVIATION).exp());
    let healthy = RequestOutcome {
        latency: service_time + context.network_time,
        end: AttemptEnd::Answered,
    };
    let failed = RequestOutcome {
        end: AttemptEnd::ServerError,
        ..healthy
    };
    let unanswered = RequestOutcome {
        latency: ATTEMPT_TIMEOUT,
        end: AttemptEnd::TimedOut,
    };
    if rng.random_bool(BASE_FAILURE_SHARE) {
        return failed;
    }
    let Some(fault_age) = context.fault_age else {
        return healthy;
    };
    match context.mode {
        FaultMode::Partition if context.crosses_cut => unanswered,
        FaultMode::AllFail => failed,
        _ if !context.is_faulty => healthy,
        FaultMode::Errors => failed,
        FaultMode::Slow => RequestOutcome {
            latency: service_time.mul_f64(SLOW_FACTOR) + context.network_time,
            ..healthy
        },
        FaultMode::HalfHang if rng.random_bool(HANG_SHARE) => unanswered,
        FaultMode::Flapping if in_failing_phase(fault_age) => failed,
        FaultMode::Truncate => RequestOutcome {
            end: AttemptEnd::Truncated,
            ..healthy
        },
        _ => healthy,
    }
}

/// Whether a probe of the upstream passes.
pub(super) fn probe_passes(context: RequestContext) -> bool {
    let endpoint_fails =
        context.mode == FaultMode::FailingProbe && context.is_faulty && context.fault_age.is_some();
    let probe_lost =
        context.mode == FaultMode::Partition && context.crosses_cut && context.fault_age.is_some();
    !endpoint_fails && !probe_lost
}

fn in_failing_phase(fault_age: Duration) -> bool {
    (fault_age.as_millis() / FLAP_PHASE.as_millis()).is_multiple_of(2)
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
