//! The dispatcher: takes a call, returns its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use model::call::{BodyError, Call, CallAnswer, CallHead};
use model::error::{ErrorKind, FleetError, Outcome};
use model::{clock, config, digest, ids};
use policy::claim::{ClaimAttempt, ClaimKey, ClaimState, ClaimToken};
use policy::invariant::{self, Invariant};
use policy::retry::{self, AttemptEnd, RetryCharge, RetryContext};
use policy::service::{AttemptPurpose, AttemptRequest};
use telemetry::metrics::NodeMetrics;
use tokio::sync::watch;
use tokio::time::Instant;

use super::body::PlanBody;
use super::claim_gate::{self, ClaimGate, ClaimGuard};
use super::{race, resume};
use crate::attempt::{self, AttemptCase, AttemptFailure, BodyFault};
use crate::service::{ServiceDirectory, ServiceHandle};

/// Time after a deadline at which a claimed request is settled for certain.
const SETTLE_SLACK: Duration = Duration::from_secs(2);

/// Serves calls by the directory in force.
#[derive(Clone)]
pub struct Dispatcher {
    directory: watch::Receiver<Arc<ServiceDirectory>>,
    gate: ClaimGate,
    metrics: Arc<NodeMetrics>,
    /// Drawn for this run, so that no two runs name two requests alike.
    run: Arc<str>,
    clock: clock::WallClock,
    count: Arc<AtomicU64>,
}

/// Where a request goes.
struct CallTarget {
    handle: ServiceHandle,
    request: ids::RequestId,
    route: Arc<config::Route>,
    service: Arc<config::Service>,
}

/// One request on its way through the attempts.
pub(super) struct CallPlan {
    pub(super) handle: ServiceHandle,
    pub(super) service: Arc<config::Service>,
    pub(super) case: AttemptCase,
    pub(super) tried: Vec<ids::UpstreamId>,
    pub(super) attempts: usize,
    /// The latency that the caller expects.
    pub(super) target: Option<Duration>,
    pub(super) attempts_max: usize,
    /// Whether some attempt may have run the request.
    pub(super) may_have_run: bool,
    pub(super) metrics: Arc<NodeMetrics>,
}

impl Dispatcher {
    /// A dispatcher that follows a directory.
    pub fn new(
        node: &ids::NodeId,
        directory: watch::Receiver<Arc<ServiceDirectory>>,
        gate: ClaimGate,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let clock = clock::WallClock::start();
        let run = format!("{node}-{:016x}", rand::random::<u64>()).into();
        Self {
            directory,
            gate,
            metrics,
            run,
            clock,
            count: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Serves a call.
    ///
    /// # Errors
    /// The kind says what the caller may conclude.
    pub async fn serve(&self, call: Call) -> Result<CallAnswer, FleetError> {
        let directory = Arc::clone(&self.directory.borrow());
        let given = call.head.request.clone();
        let mut trace = CallTrace {
            started: Instant::now(),
            request: given.unwrap_or_else(|| self.next_request()),
            generation: directory.config.generation.get(),
            host: Arc::clone(&call.head.host),
            route: None,
            service: None,
        };
        let result = self.route_and_serve(&directory, &mut trace, call).await;
        if let Some(service) = &trace.service {
            let status = result.as_ref().map_or_else(
                |error| error.kind().answer().status,
                |answer| answer.status.as_u16(),
            );
            self.metrics
                .request(service, status, trace.started.elapsed());
        }
        if let Err(error) = &result {
            self.metrics.refusal(error.kind());
        }
        trace.log_end(&result);
        result
    }

    async fn route_and_serve(
        &self,
        directory: &ServiceDirectory,
        trace: &mut CallTrace,
        call: Call,
    ) -> Result<CallAnswer, FleetError> {
        if trace.generation == 0 {
            return Err(FleetError::new(
                ErrorKind::NotReady,
                "no configuration is in force yet",
            ));
        }
        let Some(found) = directory.routes.find(&call.head) else {
            let detail = format!("no route for {} {}", call.head.method, call.head.path());
            return Err(FleetError::new(ErrorKind::NoRoute, detail));
        };
        trace.route = Some(found.route.id.clone());
        let drawn = found.service_for(rand::random());
        trace.service = Some(drawn.id.clone());
        let Some(handle) = directory.handles.get(&drawn.id) else {
            let detail = format!("service {} has no task", drawn.id);
            return Err(FleetError::new(ErrorKind::NoUpstream, detail));
        };
        let workspace = find_workspace(&directory.config, &call.head)?;
        let _permit = match workspace {
            Some(workspace) => Some(handle.enter(workspace).await?),
            None => None,
        };
        let target = CallTarget {
            handle: handle.clone(),
            request: trace.request.clone(),
            route: Arc::clone(&found.route),
            service: Arc::clone(drawn),
        };
        self.serve_at(trace.started, target, call).await
    }

    async fn serve_at(
        &self,
        started: Instant,
        target: CallTarget,
        call: Call,
    ) -> Result<CallAnswer, FleetError> {
        let terms = &target.route.terms;
        let bound = terms.timeout.unwrap_or(target.service.deadline).get();
        let timeout = call.head.timeout.unwrap_or(Duration::MAX).min(bound);
        let deadline = started + timeout;
        let body_fault = BodyFault::default();
        let mut body = PlanBody::prepare(call.body, deadline, &body_fault).await?;
        let request = request_hash(&call.head, &body);
        let guard = self.claim(&call.head, &target, request, deadline).await?;
        let case = AttemptCase {
            repeatable: target.route.repeat.allows(&call.head.method),
            request: target.request,
            head: call.head,
            head_deadline: deadline,
            deadline,
            body_fault,
        };
        let attempts_max = terms.attempts.map_or(retry::ATTEMPTS_MAX, |most| {
            usize::try_from(most)
                .unwrap_or(usize::MAX)
                .min(retry::ATTEMPTS_MAX)
        });
        let mut plan = CallPlan {
            handle: target.handle,
            service: target.service,
            attempts_max,
            target: terms.target.map(model::span::TimeSpan::get),
            case,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            metrics: Arc::clone(&self.metrics),
        };
        let result = plan.run(&mut body).await;
        if let Some(guard) = guard {
            guard.settle(outcome_of(&result));
        }
        let answer = result?;
        Ok(resume::wrap(plan, answer))
    }

    fn next_request(&self) -> ids::RequestId {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{number}", self.run);
        text.parse()
            .unwrap_or_else(|_| unreachable!("a node's name and a number are an identifier"))
    }

    async fn claim(
        &self,
        head: &CallHead,
        found: &CallTarget,
        request: u64,
        deadline: Instant,
    ) -> Result<Option<ClaimGuard>, FleetError> {
        let once_only = found.route.repeat == config::RepeatRule::OnceOnly;
        let Some(key) = head.key.as_deref().filter(|_| once_only) else {
            return Ok(None);
        };
        let key = ClaimKey::of(&found.service.id, head.workspace.as_ref(), key);
        let token: ClaimToken = self
            .next_request()
            .as_str()
            .parse()
            .map_err(|why| invalid(&why))?;
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt = ClaimAttempt {
            key: key.clone(),
            token: token.clone(),
            request,
            expires: self.clock.now().after(found.service.key_retention.get()),
            settled_by: self.clock.now().after(left + SETTLE_SLACK),
        };
        let claiming = tokio::time::timeout_at(deadline, (self.gate.claim)(attempt));
        let verdict = claiming.await.unwrap_or_else(|_| {
            Err(FleetError::new(
                ErrorKind::ClaimUnavailable,
                "the key was not claimed in time",
            ))
        });
        match verdict {
            Ok(verdict) => {
                if let Some(error) = claim_gate::refusal(verdict) {
                    return Err(error);
                }
                Ok(Some(ClaimGuard::new(self.gate.clone(), key, token)))
            }
            Err(error) => {
                ClaimGuard::new(self.gate.clone(), key, token).settle(ClaimState::NotRun);
                Err(FleetError::new(ErrorKind::ClaimUnavailable, error.detail()))
            }
        }
    }
}

impl CallPlan {
    /// Makes attempts until one brings an answer or no further one is allowed.
    async fn run(&mut self, body: &mut PlanBody) -> Result<CallAnswer, FleetError> {
        let mut last: Option<AttemptFailure> = None;
        loop {
            let purpose = if self.attempts == 0 {
                AttemptPurpose::First
            } else {
                AttemptPurpose::Retry
            };
            let lease = match self
                .handle
                .admit(self.attempt_request(purpose), self.case.deadline)
                .await
            {
                Ok(lease) => lease,
                Err(kind) => return self.give_up(last, kind),
            };
            let may_send = self.case.repeatable || !self.may_have_run;
            invariant::check(Invariant::AtMostOnce, may_send, || {
                format!("request {} would be sent again", self.case.request)
            });
            self.attempts += 1;
            self.tried.push(lease.upstream().id.clone());
            let charge = lease.charge();
            let result = race::run(self, lease, body).await;
            let failure = match result {
                Ok(answer) => {
                    self.count(AttemptEnd::Answered);
                    self.check_own(&answer);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            self.count(failure.end);
            let not_run = failure.end.is_not_run(self.service.shed_is_not_run);
            self.may_have_run |= !not_run;
            let context = self.retry_context(failure.end, charge, body);
            let decision = self.handle.decide_retry(context).await;
            if let Err(reason) = decision {
                log::debug!(target: "dispatch", "No further attempt: {reason}.");
                let kind = self.error_of(failure.end);
                return self.give_up(Some(failure), kind);
            }
            last = Some(failure);
        }
    }

    pub(super) fn attempt_request(&self, purpose: AttemptPurpose) -> AttemptRequest {
        AttemptRequest {
            request_id: self.case.request.clone(),
            repeatable: self.case.repeatable,
            exclude: self.tried.clone(),
            purpose,
            charge: RetryCharge::Budget,
            target_latency: self.target,
        }
    }

    pub(super) fn count(&self, end: AttemptEnd) {
        self.metrics.attempt(&self.service.id, end.as_str());
    }

    fn retry_context(&self, end: AttemptEnd, charge: RetryCharge, body: &PlanBody) -> RetryContext {
        RetryContext {
            end,
            repeatable: self.case.repeatable,
            shed_is_not_run: self.service.shed_is_not_run,
            charge,
            body_retained: body.is_at_hand(),
            attempts: self.attempts,
            attempts_max: self.attempts_max,
            time_left: self.case.deadline.saturating_duration_since(Instant::now()),
        }
    }

    /// Checks that an answer about to be passed on names no other request.
    fn check_own(&self, answer: &CallAnswer) {
        let name = self.handle.headers().request_id.as_str();
        let echoed = http1::header::text(&answer.headers, name);
        let own = self.case.request.as_str();
        invariant::check(
            Invariant::OwnResponse,
            echoed.is_none_or(|id| id == own),
            || format!("request {own} would get the answer to {echoed:?}"),
        );
    }

    /// The error that an end means, by the fault of the caller's body where there is one.
    fn error_of(&self, end: AttemptEnd) -> ErrorKind {
        match (end, self.case.body_fault.get()) {
            (AttemptEnd::Cancelled, Some(BodyError::Malformed)) => ErrorKind::BodyMalformed,
            (AttemptEnd::Cancelled, Some(BodyError::TooLarge)) => ErrorKind::BodyOverrun,
            _ => end.error_kind(self.service.shed_is_not_run),
        }
    }

    /// Ends the request with the upstream's own answer where there is one, or an error.
    fn give_up(
        &self,
        last: Option<AttemptFailure>,
        kind: ErrorKind,
    ) -> Result<CallAnswer, FleetError> {
        let own = last.filter(|failure| failure.end == AttemptEnd::ServerError);
        if let Some(answer) = own.and_then(|failure| failure.answer) {
            return Ok(answer);
        }
        let kind = self.honest(kind);
        let not_run = kind.answer().outcome == Outcome::NotRun;
        invariant::check(
            Invariant::TruthfulNotRun,
            !(not_run && self.may_have_run),
            || format!("request {} may have run", self.case.request),
        );
        let detail = format!(
            "{} attempts at {} brought no answer",
            self.attempts, self.service.id
        );
        Err(FleetError::new(kind, detail))
    }

    /// Replaces a kind that says "not run" when an earlier attempt may have run.
    fn honest(&self, kind: ErrorKind) -> ErrorKind {
        let claims_not_run = kind.answer().outcome == Outcome::NotRun;
        if !(claims_not_run && self.may_have_run) {
            return kind;
        }
        if self.case.deadline <= Instant::now() {
            ErrorKind::DeadlineSent
        } else {
            ErrorKind::AnswerLost
        }
    }
}

/// What the logs tell of a request besides how it ended.
struct CallTrace {
    started: Instant,
    request: ids::RequestId,
    /// The configuration by which it was routed.
    generation: u64,
    host: Arc<str>,
    route: Option<ids::RouteId>,
    service: Option<ids::ServiceId>,
}

impl CallTrace {
    /// Writes how the request ended; failed ones in a part of their own, so that
    /// good ones never crowd them out.
    fn log_end(&self, result: &Result<CallAnswer, FleetError>) {
        let Self {
            started,
            request,
            generation,
            host,
            route,
            service,
        } = self;
        let age_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let route = route.as_ref().map_or("none", ids::RouteId::as_str);
        let service = service.as_ref().map_or("none", ids::ServiceId::as_str);
        match result {
            Ok(answer) => log::info!(
                target: "answer",
                request:%, route, service, generation, age_ms,
                status = answer.status.as_u16();
                "A request is answered."
            ),
            Err(error) => log::info!(
                target: "failure",
                request:%, route, service, generation, age_ms,
                host = host.as_ref(),
                kind:% = error.kind(),
                outcome:% = error.kind().answer().outcome;
                "A request failed: {}.", error.detail()
            ),
        }
    }
}

fn find_workspace(
    fleet: &config::FleetConfig,
    head: &CallHead,
) -> Result<Option<config::Workspace>, FleetError> {
    let Some(id) = &head.workspace else {
        return Ok(None);
    };
    if let Some(workspace) = fleet.workspaces.get(id) {
        return Ok(Some(workspace.clone()));
    }
    if fleet.workspaces.is_empty() {
        return Ok(Some(config::Workspace {
            id: id.clone(),
            limit: None,
        }));
    }
    Err(FleetError::new(
        ErrorKind::UnknownWorkspace,
        format!("workspace {id} does not exist"),
    ))
}

/// A hash that tells a repeated request from another one under the same key.
fn request_hash(head: &CallHead, body: &PlanBody) -> u64 {
    let bytes: &[u8] = match body {
        PlanBody::Kept(bytes) => bytes,
        PlanBody::Passing(_) => b"streamed",
    };
    let method: &Method = &head.method;
    digest::stable_hash(&[method.as_str().as_bytes(), head.target.as_bytes(), bytes])
}

fn outcome_of(result: &Result<CallAnswer, FleetError>) -> ClaimState {
    match result {
        Ok(answer) => ClaimState::Ran(answer.status.as_u16()),
        Err(error) if error.kind().answer().outcome == Outcome::NotRun => ClaimState::NotRun,
        Err(_) => ClaimState::Unknown,
    }
}

fn invalid(why: &model::error::ValueError) -> FleetError {
    FleetError::new(ErrorKind::Invalid, why.to_string())
}

pub(super) use attempt::run as run_attempt;
