//! The dispatcher: routes a request, makes its attempts and returns its response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderValue, Method, header};
use model::call::{BodyError, Call, CallHead, CallResponse, CallerCredential, CallerKey};
use model::error::{ErrorKind, FleetError, Outcome};
use model::fingerprint::RequestFingerprint;
use model::{clock, config, digest, ids};
use policy::access::CallerAccess;
use policy::claim::{ClaimAttempt, ClaimKey, ClaimState, ClaimToken};
use policy::invariant::{self, Invariant};
use policy::limit::RequestClass;
use policy::retry::{self, AttemptEnd, RetryCharge, RetryContext};
use policy::service::{AttemptPurpose, AttemptRequest};
use policy::stop::StopSchedule;
use telemetry::metrics::NodeMetrics;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::body::{self, RequestBody};
use super::claim::{self, ClaimCallbacks, ClaimGuard};
use super::quota::{self, QuotaCallbacks};
use super::trace::{self, CallTrace};
use super::{access, admission, memory_error, race, resume, target};
use crate::attempt::{self, AttemptContext, AttemptFailure, BodyFault};
use crate::crash::{CrashCallbacks, CrashWatch};
use crate::memory::MemoryBudget;
use crate::service::{ServiceDirectory, ServiceHandle};

/// Grace period after the deadline of a claimed request. A claim that is still unsettled
/// at its end reads as unknown.
const SETTLE_GRACE: Duration = Duration::from_secs(2);

/// Time after its start in which a node lets requests wait for its first configuration. It
/// usually arrives within a second, and callers that are rejected may not come back.
const START_WAIT: Duration = Duration::from_secs(2);
/// Limit on that wait for one request, also as a share of the time that its caller waits.
const CONFIG_WAIT_MAX: Duration = Duration::from_secs(1);
const CONFIG_WAIT_DIVISOR: u32 = 3;

/// What the dispatcher calls for state that the whole fleet shares.
#[derive(Clone)]
pub struct DispatchCallbacks {
    /// Claims of idempotency keys.
    pub claims: ClaimCallbacks,
    /// Crashes of upstreams.
    pub crashes: CrashCallbacks,
    /// Quotas of workspaces; `None` if none are kept.
    pub quotas: Option<QuotaCallbacks>,
}

/// Serves requests by the current service directory.
#[derive(Clone)]
pub struct Dispatcher {
    directory: watch::Receiver<Arc<ServiceDirectory>>,
    callbacks: DispatchCallbacks,
    /// The schedule of the node's stop, once one has begun.
    stop: watch::Receiver<Option<StopSchedule>>,
    memory: MemoryBudget,
    metrics: Arc<NodeMetrics>,
    /// Prefix of the request ids that this node assigns. It contains a random number,
    /// so that the ids stay unique when the process restarts.
    id_prefix: Arc<str>,
    started: Instant,
    clock: clock::WallClock,
    next_id: Arc<AtomicU64>,
}

/// The route and service that a request was matched to.
struct CallTarget {
    handle: ServiceHandle,
    request: ids::RequestId,
    route: Arc<config::Route>,
    service: Arc<config::Service>,
    /// For whom the request is sent; `None` if callers need no keys.
    access: Option<CallerAccess>,
}

/// The state of one request across its attempts.
pub(super) struct CallState {
    pub(super) handle: ServiceHandle,
    pub(super) service: Arc<config::Service>,
    pub(super) context: AttemptContext,
    pub(super) tried: Vec<ids::UpstreamId>,
    pub(super) attempts: usize,
    /// The target latency of the route.
    pub(super) target_latency: Option<Duration>,
    pub(super) attempts_max: usize,
    /// The flow and priority of the request; `None` if callers need no keys.
    pub(super) class: Option<Arc<RequestClass>>,
    /// Whether the request may have run in an earlier attempt.
    pub(super) may_have_run: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that uses the latest directory of a watch channel.
    pub fn new(
        node: &ids::NodeId,
        directory: watch::Receiver<Arc<ServiceDirectory>>,
        callbacks: DispatchCallbacks,
        stop: watch::Receiver<Option<StopSchedule>>,
        memory: MemoryBudget,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let clock = clock::WallClock::start();
        let id_prefix = format!("{node}-{:016x}", rand::random::<u64>()).into();
        Self {
            directory,
            callbacks,
            stop,
            memory,
            metrics,
            id_prefix,
            started: Instant::now(),
            clock,
            next_id: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Serves one request.
    ///
    /// # Errors
    /// The error kind states whether the request may have run.
    pub async fn serve(&self, call: Call) -> Result<CallResponse, FleetError> {
        let started = Instant::now();
        let directory = self.first_directory(started, &call.head).await;
        let caller_id = call.head.request_id.as_ref();
        let caller_id = caller_id.map(|id| ids::RequestId::of_bytes(id.as_bytes()));
        let mut trace = CallTrace {
            started,
            request: caller_id.unwrap_or_else(|| self.next_request_id()),
            generation: directory.config.generation.get(),
            host: Arc::clone(&call.head.host),
            route: None,
            service: None,
            workspace: None,
        };
        let result = self.route_and_serve(&directory, &mut trace, call).await;
        if let Some(service) = &trace.service {
            let status = result.as_ref().map_or_else(
                |error| error.kind().response().status,
                |response| response.status.as_u16(),
            );
            self.metrics
                .record_request(service, status, trace.started.elapsed());
        }
        if let Err(error) = &result {
            self.metrics.record_refusal(error.kind());
        }
        if let Some(workspace) = &trace.workspace {
            let outcome = trace::outcome(&result);
            self.metrics.record_workspace_request(workspace, outcome);
        }
        trace.log_end(&result);
        result
    }

    /// The current directory. Shortly after the start, waits for the first one.
    async fn first_directory(&self, now: Instant, head: &CallHead) -> Arc<ServiceDirectory> {
        let current = Arc::clone(&self.directory.borrow());
        if target::is_configured(&current) {
            return current;
        }
        let patience = head.timeout.map_or(CONFIG_WAIT_MAX, |timeout| {
            CONFIG_WAIT_MAX.min(timeout / CONFIG_WAIT_DIVISOR)
        });
        let wait_until = (self.started + START_WAIT).min(now + patience);
        let mut directories = self.directory.clone();
        let configured = directories.wait_for(|directory| target::is_configured(directory));
        match time::timeout_at(wait_until, configured).await {
            Ok(Ok(directory)) => Arc::clone(&directory),
            _ => current,
        }
    }

    async fn route_and_serve(
        &self,
        directory: &ServiceDirectory,
        trace: &mut CallTrace,
        mut call: Call,
    ) -> Result<CallResponse, FleetError> {
        let matched = target::match_route(directory, &call.head)?;
        trace.route = Some(matched.route.id.clone());
        let fleet = &directory.config;
        let access = match access::authenticate(fleet, &matched.route.id, &mut call.head) {
            Ok(access) => access,
            Err(error) => {
                body::discard_rejected(call.body);
                return Err(error);
            }
        };
        trace.workspace = match &access {
            Some(access) => access.workspace.clone(),
            None => target::configured_workspace(fleet, &call.head),
        };
        let service = target::choose_service(matched, rand::random())?;
        trace.service = Some(service.id.clone());
        let handle = target::find_handle(directory, service)?;
        let limited = match access {
            Some(_) => None,
            None => target::find_workspace(fleet, &call.head)?,
        };
        let _permit = match limited {
            Some(workspace) => Some(handle.enter_workspace(workspace).await?),
            None => None,
        };
        let target = CallTarget {
            handle: handle.clone(),
            request: trace.request.clone(),
            route: Arc::clone(&matched.route),
            service: Arc::clone(service),
            access,
        };
        self.serve_at(trace.started, target, call).await
    }

    async fn serve_at(
        &self,
        started: Instant,
        target: CallTarget,
        call: Call,
    ) -> Result<CallResponse, FleetError> {
        let options = &target.route.options;
        let timeout_max = options.timeout.unwrap_or(target.service.deadline).get();
        let timeout = call.head.timeout.unwrap_or(Duration::MAX).min(timeout_max);
        let deadline = started + timeout;
        self.check_stop(&target.handle, deadline)?;
        if !self.memory.level().admits_requests() {
            body::discard_rejected(call.body);
            return Err(memory_error());
        }
        let admitted = quota::admit(self.callbacks.quotas.as_ref(), target.access.as_ref()).await;
        let token = match admitted {
            Ok(token) => token,
            Err(error) => {
                body::discard_rejected(call.body);
                return Err(error);
            }
        };
        let result = self.serve_within_quota(target, call, deadline).await;
        if let Some(token) = token {
            token.settle(&result);
        }
        result
    }

    async fn serve_within_quota(
        &self,
        target: CallTarget,
        call: Call,
        deadline: Instant,
    ) -> Result<CallResponse, FleetError> {
        let options = &target.route.options;
        let body_fault = BodyFault::default();
        let mut body = RequestBody::prepare(call.body, deadline, &body_fault, &self.memory).await?;
        // A stop may have begun while the body arrived.
        self.check_stop(&target.handle, deadline)?;
        let crash = CrashWatch::new(
            fingerprint(&call.head, &body),
            self.callbacks.crashes.clone(),
        );
        crash.admit().await?;
        let request_hash = request_hash(&call.head, &body);
        let guard = self
            .claim(&call.head, &target, request_hash, deadline)
            .await?;
        let access = target.access.as_ref();
        let class = access.map(|access| Arc::new(admission::classify(access, &target.route)));
        let context = AttemptContext {
            repeatable: target.route.retry_rule.allows(&call.head.method),
            sent_id: sent_id(&call.head, &target.request)?,
            request: target.request,
            head: call.head,
            access: target.access,
            head_deadline: deadline,
            deadline,
            body_fault,
            crash,
            memory: self.memory.clone(),
            metrics: Arc::clone(&self.metrics),
        };
        let attempts_max = options
            .max_attempts
            .map_or(retry::ATTEMPTS_MAX, |attempts| {
                usize::try_from(attempts)
                    .unwrap_or(usize::MAX)
                    .min(retry::ATTEMPTS_MAX)
            });
        let mut state = CallState {
            handle: target.handle,
            service: target.service,
            attempts_max,
            class,
            target_latency: options.target_latency.map(model::span::TimeSpan::get),
            context,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
        };
        let ended = tokio::select! {
            result = state.run(&mut body) => Some(result),
            () = wait_for_answer_time(self.stop.clone()) => None,
        };
        let result = ended.unwrap_or_else(|| state.abandon());
        if let Some(guard) = guard {
            guard.settle(claim_state(&result));
        }
        let response = result?;
        Ok(resume::wrap(state, response))
    }

    /// Rejects a request that could outlast the stop of this node.
    fn check_stop(&self, handle: &ServiceHandle, deadline: Instant) -> Result<(), FleetError> {
        let Some(schedule) = *self.stop.borrow() else {
            return Ok(());
        };
        if schedule.admits(Instant::now(), deadline, handle.slow_latency()) {
            return Ok(());
        }
        Err(stopping_error())
    }

    fn next_request_id(&self) -> ids::RequestId {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{number}", self.id_prefix);
        text.parse()
            .unwrap_or_else(|_| unreachable!("a node id followed by numbers is a valid request id"))
    }

    async fn claim(
        &self,
        head: &CallHead,
        target: &CallTarget,
        request_hash: u64,
        deadline: Instant,
    ) -> Result<Option<ClaimGuard>, FleetError> {
        let once_only = target.route.retry_rule == config::RetryRule::OnceOnly;
        let Some(key) = head.idempotency_key.as_deref().filter(|_| once_only) else {
            return Ok(None);
        };
        let key = ClaimKey::of(&target.service.id, head.workspace.as_ref(), key);
        let token: ClaimToken = self
            .next_request_id()
            .as_str()
            .parse()
            .map_err(|error| invalid(&error))?;
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt = ClaimAttempt {
            key: key.clone(),
            token: token.clone(),
            request: request_hash,
            expires: self
                .clock
                .now()
                .saturating_add(target.service.key_retention.get()),
            settled_by: self.clock.now().saturating_add(left + SETTLE_GRACE),
        };
        let claiming = tokio::time::timeout_at(deadline, (self.callbacks.claims.claim)(attempt));
        let verdict = claiming.await.unwrap_or_else(|_| {
            Err(FleetError::new(
                ErrorKind::ClaimUnavailable,
                "the idempotency key could not be claimed before the deadline",
            ))
        });
        match verdict {
            Ok(verdict) => {
                if let Some(error) = claim::refusal(verdict) {
                    return Err(error);
                }
                Ok(Some(ClaimGuard::new(
                    self.callbacks.claims.clone(),
                    key,
                    token,
                )))
            }
            Err(error) => {
                ClaimGuard::new(self.callbacks.claims.clone(), key, token)
                    .settle(ClaimState::NotRun);
                Err(FleetError::new(ErrorKind::ClaimUnavailable, error.detail()))
            }
        }
    }
}

impl CallState {
    /// Makes attempts until one returns a usable response or no further attempt is
    /// allowed.
    async fn run(&mut self, body: &mut RequestBody) -> Result<CallResponse, FleetError> {
        let mut last: Option<AttemptFailure> = None;
        loop {
            let purpose = if self.attempts == 0 {
                AttemptPurpose::First
            } else {
                AttemptPurpose::Retry
            };
            let asked_at = Instant::now();
            let admitted = self
                .handle
                .admit(self.attempt_request(purpose), self.context.deadline)
                .await;
            let wait = asked_at.elapsed();
            self.context.metrics.record_wait(&self.service.id, wait);
            let lease = match admitted {
                Ok(lease) => lease,
                Err(error) => {
                    let ended = self.give_up(last, error.kind);
                    return ended.map_err(|failure| admission::explain(failure, &error));
                }
            };
            let may_send = self.context.repeatable || !self.may_have_run;
            invariant::check(Invariant::AtMostOnce, may_send, || {
                format!(
                    "request {} may have run and would be sent again",
                    self.context.request
                )
            });
            self.attempts += 1;
            self.tried.push(lease.upstream().id.clone());
            let charge = lease.charge();
            let result = race::run(self, lease, body).await;
            let failure = match result {
                Ok(response) => {
                    self.count_attempt(AttemptEnd::Answered);
                    self.check_request_id(&response);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            self.count_attempt(failure.end);
            let not_run = failure.end.is_not_run(self.service.shed_is_not_run);
            self.may_have_run |= !not_run;
            let may_be_crash = matches!(
                failure.end,
                AttemptEnd::Broken | AttemptEnd::Unresponsive | AttemptEnd::Truncated
            );
            if may_be_crash && self.context.crash.is_suspect() {
                // Another attempt may crash another upstream.
                let kind = self.error_kind(failure.end);
                return self.give_up(Some(failure), kind);
            }
            let retry_context = self.retry_context(failure.end, charge, body);
            let decision = self.handle.decide_retry(retry_context).await;
            if let Err(reason) = decision {
                log::debug!(target: "dispatch", "Not retrying request {}: {reason}.", self.context.request);
                let kind = self.error_kind(failure.end);
                return self.give_up(Some(failure), kind);
            }
            last = Some(failure);
        }
    }

    /// Ends the request because the node has to stop before its deadline.
    fn abandon(&self) -> Result<CallResponse, FleetError> {
        if self.attempts == 0 {
            return Err(stopping_error());
        }
        let detail = "the node stopped while an upstream may have been running the request";
        Err(FleetError::new(ErrorKind::DeadlineAfterSend, detail))
    }

    pub(super) fn attempt_request(&self, purpose: AttemptPurpose) -> AttemptRequest {
        AttemptRequest {
            request_id: self.context.request.clone(),
            repeatable: self.context.repeatable,
            exclude: self.tried.clone(),
            purpose,
            charge: RetryCharge::Budget,
            target_latency: self.target_latency,
            class: self.class.clone(),
        }
    }

    pub(super) fn count_attempt(&self, end: AttemptEnd) {
        let metrics = &self.context.metrics;
        metrics.record_attempt(&self.service.id, end.as_str());
    }

    fn retry_context(
        &self,
        end: AttemptEnd,
        charge: RetryCharge,
        body: &RequestBody,
    ) -> RetryContext {
        RetryContext {
            end,
            repeatable: self.context.repeatable,
            shed_is_not_run: self.service.shed_is_not_run,
            charge,
            body_retained: body.is_available(),
            attempts: self.attempts,
            attempts_max: self.attempts_max,
            time_left: self
                .context
                .deadline
                .saturating_duration_since(Instant::now()),
        }
    }

    /// Checks the invariant that the response carries no request id other than that of
    /// this request.
    fn check_request_id(&self, response: &CallResponse) {
        let echoed = response.headers.get(&self.handle.headers().request_id);
        let own = &self.context.sent_id;
        invariant::check(
            Invariant::OwnResponse,
            echoed.is_none_or(|id| id == own),
            || format!("request {own:?} would receive the response to request {echoed:?}"),
        );
    }

    /// The error kind for the end of an attempt. An error in the caller's own body
    /// takes precedence.
    fn error_kind(&self, end: AttemptEnd) -> ErrorKind {
        match (end, self.context.body_fault.get()) {
            (AttemptEnd::Cancelled, Some(BodyError::Malformed)) => ErrorKind::BodyMalformed,
            (AttemptEnd::Cancelled, Some(BodyError::TooLarge)) => ErrorKind::BodyOverrun,
            (AttemptEnd::Cancelled, Some(BodyError::Deadline)) => ErrorKind::DeadlineAfterSend,
            _ => end.error_kind(self.service.shed_is_not_run),
        }
    }

    /// Ends the request: with the server error response of the upstream when there is
    /// one, otherwise with an error.
    fn give_up(
        &self,
        last: Option<AttemptFailure>,
        kind: ErrorKind,
    ) -> Result<CallResponse, FleetError> {
        let server_error = last.filter(|failure| failure.end == AttemptEnd::ServerError);
        if let Some(response) = server_error.and_then(|failure| failure.response) {
            return Ok(response);
        }
        let kind = self.correct_outcome(kind);
        let not_run = kind.response().outcome == Outcome::NotRun;
        invariant::check(
            Invariant::TruthfulNotRun,
            !(not_run && self.may_have_run),
            || {
                format!(
                    "request {} is reported as not run but may have run",
                    self.context.request
                )
            },
        );
        let detail = format!(
            "no usable response from {} after {} attempts",
            self.service.id, self.attempts
        );
        Err(FleetError::new(kind, detail))
    }

    /// Replaces an error kind that promises "not run" when an earlier attempt may
    /// have run.
    fn correct_outcome(&self, kind: ErrorKind) -> ErrorKind {
        let promises_not_run = kind.response().outcome == Outcome::NotRun;
        if !(promises_not_run && self.may_have_run) {
            return kind;
        }
        if self.context.deadline <= Instant::now() {
            ErrorKind::DeadlineAfterSend
        } else {
            ErrorKind::ResponseLost
        }
    }
}

/// Waits until a stop of the node has begun and its requests have to be answered.
async fn wait_for_answer_time(mut stop: watch::Receiver<Option<StopSchedule>>) {
    let begun = stop.wait_for(Option::is_some).await.map(|begun| *begun);
    match begun {
        Ok(Some(schedule)) => time::sleep_until(schedule.answer_by).await,
        // Without a sender no stop can begin.
        _ => std::future::pending().await,
    }
}

/// The id that upstreams receive: the caller's, or the one that this node assigned.
fn sent_id(head: &CallHead, assigned: &ids::RequestId) -> Result<HeaderValue, FleetError> {
    if let Some(id) = &head.request_id {
        return Ok(id.clone());
    }
    HeaderValue::from_str(assigned.as_str())
        .map_err(|error| FleetError::new(ErrorKind::Invalid, error.to_string()))
}

fn stopping_error() -> FleetError {
    let detail = "this node is stopping; another one can serve the request";
    FleetError::new(ErrorKind::Stopping, detail).with_retry_after(Some(Duration::ZERO))
}

/// A stable hash of the request. Under the same idempotency key, an equal hash means
/// a retry and another hash a key that is used for a different request.
fn request_hash(head: &CallHead, body: &RequestBody) -> u64 {
    let bytes: &[u8] = match body {
        RequestBody::Buffered(bytes) => bytes,
        RequestBody::Streaming(_) => b"streamed",
    };
    let method: &Method = &head.method;
    digest::stable_hash(&[
        method.as_str().as_bytes(),
        head.target.as_str().as_bytes(),
        bytes,
    ])
}

/// What makes this request the same one as an earlier attempt of its caller.
fn fingerprint(head: &CallHead, body: &RequestBody) -> RequestFingerprint {
    // The header is gone where the key counts, and the digest tells callers apart as well.
    let credentials = match head.headers.get(header::AUTHORIZATION) {
        Some(header) => header.as_bytes(),
        None => match &head.credential {
            Some(CallerCredential {
                key: CallerKey::Digest(digest),
                ..
            }) => digest.as_bytes(),
            _ => b"",
        },
    };
    RequestFingerprint::of(&[
        head.host.as_bytes(),
        head.workspace
            .as_ref()
            .map_or("", ids::WorkspaceId::as_str)
            .as_bytes(),
        credentials,
        &request_hash(head, body).to_le_bytes(),
    ])
}

fn claim_state(result: &Result<CallResponse, FleetError>) -> ClaimState {
    match result {
        Ok(response) => ClaimState::Ran(response.status.as_u16()),
        Err(error) if error.kind().response().outcome == Outcome::NotRun => ClaimState::NotRun,
        Err(_) => ClaimState::Unknown,
    }
}

fn invalid(error: &model::error::ValueError) -> FleetError {
    FleetError::new(ErrorKind::Invalid, error.to_string())
}

pub(super) use attempt::run as run_attempt;
