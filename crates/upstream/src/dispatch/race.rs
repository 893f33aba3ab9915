//! An attempt and, when it is slow and may be repeated, a second one beside it.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::call::CallAnswer;
use policy::retry::RetryCharge;
use policy::service::{AttemptPurpose, AttemptRequest};
use tokio::time;

use super::body::PlanBody;
use super::dispatcher::{CallPlan, run_attempt};
use crate::attempt::AttemptFailure;
use crate::service::{AttemptLease, Outpaced};

/// Pause before a hedge that was refused is asked for again.
const HEDGE_PAUSE: Duration = Duration::from_millis(100);

/// Makes an attempt; races it against a hedge when it is slow.
pub(super) async fn run(
    plan: &mut CallPlan,
    lease: AttemptLease,
    body: &mut PlanBody,
) -> Result<CallAnswer, AttemptFailure> {
    let mut taken = body.take();
    let hedgeable = plan.case.repeatable && body.is_kept() && plan.attempts < plan.attempts_max;
    let case = plan.case.clone();
    let charge = lease.charge();
    let outpaced = lease.outpaced();
    let delay = lease.hedge_delay().filter(|_| hedgeable);
    let handle = plan.handle.clone();
    let result = {
        let mut first = pin!(run_attempt(&handle, lease, &case, &mut taken));
        let early = match delay {
            None => Some(first.as_mut().await),
            Some(delay) => tokio::select! {
                result = &mut first => Some(result),
                () = time::sleep(delay) => None,
            },
        };
        match early {
            Some(result) => result,
            None => hedge(plan, first, body, charge, &outpaced).await,
        }
    };
    body.put_back(taken);
    result
}

/// Asks for a hedge until one is allowed.
async fn admit(plan: &CallPlan, request: AttemptRequest) -> AttemptLease {
    loop {
        let admitted = plan.handle.admit(request.clone(), plan.case.deadline).await;
        if let Ok(lease) = admitted {
            return lease;
        }
        time::sleep(HEDGE_PAUSE).await;
    }
}

/// Starts a second attempt and takes the first good answer of the two.
async fn hedge(
    plan: &mut CallPlan,
    mut first: std::pin::Pin<&mut impl Future<Output = Result<CallAnswer, AttemptFailure>>>,
    body: &mut PlanBody,
    charge: RetryCharge,
    outpaced: &Outpaced,
) -> Result<CallAnswer, AttemptFailure> {
    let request = AttemptRequest {
        charge,
        ..plan.attempt_request(AttemptPurpose::Hedge)
    };
    let lease = tokio::select! {
        result = &mut first => return result,
        lease = admit(plan, request) => lease,
    };
    plan.attempts += 1;
    plan.tried.push(lease.upstream().id.clone());
    plan.may_have_run = true;
    let handle = plan.handle.clone();
    let case = plan.case.clone();
    let mut taken = body.take();
    let mut second = pin!(run_attempt(&handle, lease, &case, &mut taken));
    tokio::select! {
        result = &mut first => match result {
            Ok(answer) => Ok(answer),
            Err(failure) => {
                plan.count(failure.end);
                second.await
            }
        },
        result = &mut second => match result {
            Ok(answer) => {
                outpaced.store(true, Ordering::Relaxed);
                Ok(answer)
            }
            Err(failure) => {
                plan.count(failure.end);
                first.await
            }
        },
    }
}
