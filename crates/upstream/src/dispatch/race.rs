//! An attempt that is hedged with a second one when it is slow and the request may be
//! repeated.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::call::CallResponse;
use policy::retry::RetryCharge;
use policy::service::{AttemptPurpose, AttemptRequest};
use tokio::time;

use super::body::RequestBody;
use super::dispatcher::{CallState, run_attempt};
use crate::attempt::AttemptFailure;
use crate::service::{AttemptLease, OutpacedFlag};

/// How long to wait after a refused hedge before it is requested again.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Makes an attempt; races it against a hedge when it is slow.
pub(super) async fn run(
    state: &mut CallState,
    lease: AttemptLease,
    body: &mut RequestBody,
) -> Result<CallResponse, AttemptFailure> {
    let mut taken = body.take();
    let hedgeable = state.context.repeatable
        && body.is_buffered()
        && state.attempts < state.attempts_max
        && !state.context.crash.is_suspect();
    let context = state.context.clone();
    let charge = lease.charge();
    let outpaced = lease.outpaced();
    let delay = lease.hedge_delay().filter(|_| hedgeable);
    let handle = state.handle.clone();
    let result = {
        let mut first = pin!(run_attempt(&handle, lease, &context, &mut taken));
        let before_delay = match delay {
            None => Some(first.as_mut().await),
            Some(delay) => tokio::select! {
                result = &mut first => Some(result),
                () = time::sleep(delay) => None,
            },
        };
        match before_delay {
            Some(result) => result,
            None => run_with_hedge(state, first, body, charge, &outpaced).await,
        }
    };
    body.put_back(taken);
    result
}

/// Requests a lease for a hedge until one is granted.
async fn admit_hedge(state: &CallState, request: AttemptRequest) -> AttemptLease {
    loop {
        let admitted = state
            .handle
            .admit(request.clone(), state.context.deadline)
            .await;
        if let Ok(lease) = admitted {
            return lease;
        }
        time::sleep(HEDGE_RETRY_INTERVAL).await;
    }
}

/// Starts a second attempt and returns the first usable response of the two.
async fn run_with_hedge(
    state: &mut CallState,
    mut first: std::pin::Pin<&mut impl Future<Output = Result<CallResponse, AttemptFailure>>>,
    body: &mut RequestBody,
    charge: RetryCharge,
    outpaced: &OutpacedFlag,
) -> Result<CallResponse, AttemptFailure> {
    let request = AttemptRequest {
        charge,
        ..state.attempt_request(AttemptPurpose::Hedge)
    };
    let lease = tokio::select! {
        result = &mut first => return result,
        lease = admit_hedge(state, request) => lease,
    };
    state.attempts += 1;
    state.tried.push(lease.upstream().id.clone());
    state.may_have_run = true;
    let handle = state.handle.clone();
    let context = state.context.clone();
    let mut taken = body.take();
    let mut second = pin!(run_attempt(&handle, lease, &context, &mut taken));
    tokio::select! {
        result = &mut first => match result {
            Ok(response) => Ok(response),
            Err(failure) => {
                state.count_attempt(failure.end);
                second.await
            }
        },
        result = &mut second => match result {
            Ok(response) => {
                outpaced.store(true, Ordering::Relaxed);
                Ok(response)
            }
            Err(failure) => {
                state.count_attempt(failure.end);
                first.await
            }
        },
    }
}
