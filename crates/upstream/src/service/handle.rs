//! Handles to the task of a service, and the messages that they send.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use model::error::{ErrorKind, FleetError};
use model::pause::PauseTime;
use model::sizes::ExchangeCount;
use model::{config, ids};
use policy::detection::{ServiceLatency, Verdict};
use policy::ejection::EjectionRecord;
use policy::office::OfficeGrant;
use policy::permit::{LimitSignal, LimitState, PermitDraw, PermitRequest};
use policy::retry::{AttemptEnd, RetryCharge, RetryContext, RetryRefusal};
use policy::service::{
    AttemptGrant, AttemptPurpose, AttemptRequest, RequestPreview, UpstreamLoad, UpstreamView,
    WaitOutlook, WaitRefusal,
};
use policy::suspicion::SuspicionSignal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::permit_source::PermitSource;
use super::retry_tokens::RetryTokenSource;
use crate::pool::{ConnectionPool, ConnectionUse};
use crate::wire::UpstreamHeaders;

/// Permits that are drawn for one attempt: one for each data centre with upstreams of the
/// service, in most deployments.
const PERMIT_DRAWS_MAX: usize = 3;

/// Why no lease is granted; the request has not been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionError {
    /// The kind.
    pub kind: ErrorKind,
    /// Time after which the request should be sent again, if it is known.
    pub retry_after: Option<Duration>,
    /// The wait that led to the rejection, if it did.
    pub outlook: Option<WaitOutlook>,
}

impl From<ErrorKind> for AdmissionError {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
            outlook: None,
        }
    }
}

impl From<WaitRefusal> for AdmissionError {
    fn from(refusal: WaitRefusal) -> Self {
        Self {
            kind: refusal.kind,
            retry_after: refusal.retry_after,
            outlook: refusal.outlook,
        }
    }
}

/// Why the task grants no lease.
#[derive(Debug)]
pub(super) enum LeaseRefusal {
    /// A permit is to be drawn first.
    PermitNeeded(PermitRequest),
    Refused(AdmissionError),
}

impl From<ErrorKind> for LeaseRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

/// The nodes that send requests to the same upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetShape {
    /// Number of nodes of the whole fleet.
    pub nodes: usize,
    /// Nodes of this node's own data centre, sorted.
    pub local: Arc<[ids::NodeId]>,
}

/// A message to the task. The channel is bounded: senders wait while it is full.
#[derive(Debug)]
pub(super) enum ServiceCommand {
    Admit {
        request: AttemptRequest,
        /// The draw of a permit for this request, if one was made.
        draw: Option<PermitDraw>,
        deadline: Instant,
        reply: oneshot::Sender<Result<AttemptLease, LeaseRefusal>>,
    },
    EnterWorkspace {
        workspace: config::Workspace,
        reply: oneshot::Sender<bool>,
    },
    DecideRetry {
        context: RetryContext,
        reply: oneshot::Sender<Result<(), RetryRefusal>>,
    },
    Verdict {
        upstream: ids::UpstreamId,
        verdict: Verdict,
    },
    Estimate(ServiceLatency),
    Record(Arc<EjectionRecord>),
    ReportDrain(ids::UpstreamId),
    /// Another node noticed that the upstream drains.
    Drained(ids::UpstreamId),
    ReportMisdirected(ids::UpstreamId),
    ReportPause {
        upstream: ids::UpstreamId,
        pause: PauseTime,
    },
    ReportLoad {
        upstream: ids::UpstreamId,
        load: f64,
    },
    ReportProbe {
        upstream: ids::UpstreamId,
        reachable: bool,
    },
    Configure(Arc<config::Service>),
    SetFleetShape(FleetShape),
    Signal(SuspicionSignal),
    DataCentreLoad(UpstreamLoad),
    Limit {
        upstream: ids::UpstreamId,
        state: LimitState,
    },
    RetryTokenDrawn(Option<OfficeGrant>),
    Views(oneshot::Sender<BTreeMap<ids::UpstreamId, UpstreamView>>),
    Preview(AttemptRequest, oneshot::Sender<RequestPreview>),
}

/// A message about a request in flight. The channel for these is unbounded, but
/// each request sends a fixed number of them, so the number of requests in flight
/// bounds the queue.
#[derive(Debug)]
pub(super) enum RequestEvent {
    PossiblyStale(policy::service::AttemptKey),
    HeadReceived(policy::service::AttemptKey),
    LimitStated(policy::service::AttemptKey, LimitSignal),
    AttemptEnded(policy::service::AttemptKey, AttemptEnd),
    LeaveWorkspace(ids::WorkspaceId),
}

/// A handle to the task of a service; the task ends with the last one.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    pub(super) commands: mpsc::Sender<ServiceCommand>,
    pub(super) events: mpsc::UnboundedSender<RequestEvent>,
    pub(super) headers: Arc<UpstreamHeaders>,
    pub(super) retry_tokens: Option<RetryTokenSource>,
    pub(super) permits: PermitSource,
    pub(super) slow_latency: watch::Receiver<Option<Duration>>,
    pub(super) queue_length: watch::Receiver<usize>,
}

impl ServiceHandle {
    /// The names of the headers that the service and its upstreams exchange.
    pub fn headers(&self) -> &UpstreamHeaders {
        &self.headers
    }

    /// Time within which nearly all requests of the service end; `None` while it is not known.
    pub fn slow_latency(&self) -> Option<Duration> {
        *self.slow_latency.borrow()
    }

    /// Number of requests of this node that wait for an upstream of the service.
    pub fn queue_length(&self) -> usize {
        *self.queue_length.borrow()
    }

    /// Requests a lease on an upstream; waits in the queue of the service while all
    /// upstreams are at their limit.
    ///
    /// When the retry budget of this node does not cover a hedge, a token is drawn
    /// from the pool of the data centre. When the upstream has a rate limit, a permit is
    /// drawn from the owner of the limit.
    ///
    /// # Errors
    /// Why no lease is granted; the request has not been sent.
    pub async fn admit(
        &self,
        request: AttemptRequest,
        deadline: Instant,
    ) -> Result<AttemptLease, AdmissionError> {
        let mut may_draw_token = request.purpose == AttemptPurpose::Hedge;
        let mut draws_left = PERMIT_DRAWS_MAX;
        let mut draw = None;
        loop {
            let refusal = match self
                .request_lease(request.clone(), draw.take(), deadline)
                .await
            {
                Ok(lease) => return Ok(lease),
                Err(refusal) => refusal,
            };
            match refusal {
                LeaseRefusal::PermitNeeded(permit) => {
                    draws_left = draws_left.saturating_sub(1);
                    let (reply, grant) = self.permits.draw(permit.clone()).await.unzip();
                    draw = Some(PermitDraw {
                        request: permit,
                        reply,
                        grant,
                        is_last: draws_left == 0,
                    });
                }
                LeaseRefusal::Refused(error) => {
                    let is_over_budget = may_draw_token && error.kind == ErrorKind::Overload;
                    if !(is_over_budget && self.draw_retry_token().await) {
                        return Err(error);
                    }
                    may_draw_token = false;
                }
            }
        }
    }

    /// Draws a retry token from the pool of the data centre; returns whether the
    /// pool granted one.
    async fn draw_retry_token(&self) -> bool {
        let Some(source) = &self.retry_tokens else {
            return false;
        };
        let drawn = source.draw().await;
        let is_granted = drawn.is_some();
        self.send(ServiceCommand::RetryTokenDrawn(drawn)).await;
        is_granted
    }

    async fn request_lease(
        &self,
        request: AttemptRequest,
        draw: Option<PermitDraw>,
        deadline: Instant,
    ) -> Result<AttemptLease, LeaseRefusal> {
        let (reply, receiver) = oneshot::channel();
        let command = ServiceCommand::Admit {
            request,
            draw,
            deadline,
            reply,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| ErrorKind::NoUpstream)?;
        tokio::time::timeout_at(deadline, receiver)
            .await
            .map_err(|_| ErrorKind::DeadlineBeforeSend)?
            .unwrap_or_else(|_| Err(ErrorKind::NoUpstream.into()))
    }

    /// Counts a request of a workspace as in flight until the permit is dropped.
    ///
    /// # Errors
    /// `WorkspaceLimit` when the workspace has too many requests in flight.
    pub async fn enter_workspace(
        &self,
        workspace: config::Workspace,
    ) -> Result<WorkspacePermit, FleetError> {
        let id = workspace.id.clone();
        let (reply, receiver) = oneshot::channel();
        let command = ServiceCommand::EnterWorkspace { workspace, reply };
        let sent = self.commands.send(command).await.is_ok();
        let entered = sent && receiver.await.unwrap_or(false);
        if !entered {
            let detail = format!("workspace {id} has reached its limit of requests in flight");
            return Err(FleetError::new(ErrorKind::WorkspaceLimit, detail));
        }
        Ok(WorkspacePermit {
            workspace: id,
            events: self.events.clone(),
        })
    }

    /// Decides whether to make another attempt. When the retry budget of this node
    /// does not cover it, a token is drawn from the pool of the data centre.
    ///
    /// # Errors
    /// Why no further attempt is made.
    pub async fn decide_retry(&self, context: RetryContext) -> Result<(), RetryRefusal> {
        let decision = self.request_retry(context).await;
        if decision == Err(RetryRefusal::Budget) && self.draw_retry_token().await {
            return self.request_retry(context).await;
        }
        decision
    }

    async fn request_retry(&self, context: RetryContext) -> Result<(), RetryRefusal> {
        let (reply, receiver) = oneshot::channel();
        let sent = self
            .commands
            .send(ServiceCommand::DecideRetry { context, reply })
            .await;
        if sent.is_err() {
            return Err(RetryRefusal::Budget);
        }
        receiver.await.unwrap_or(Err(RetryRefusal::Budget))
    }

    /// Sends the verdict of the service's collector on one upstream.
    pub async fn send_verdict(&self, upstream: ids::UpstreamId, verdict: Verdict) {
        self.send(ServiceCommand::Verdict { upstream, verdict })
            .await;
    }

    /// Sends the latency estimate that the service's collector publishes.
    pub async fn send_estimate(&self, estimate: ServiceLatency) {
        self.send(ServiceCommand::Estimate(estimate)).await;
    }

    /// Sends the stored ejection record of the service.
    pub async fn send_record(&self, record: Arc<EjectionRecord>) {
        self.send(ServiceCommand::Record(record)).await;
    }

    /// Reports that an upstream announced a drain in a response to this node.
    pub async fn report_drain(&self, upstream: ids::UpstreamId) {
        self.send(ServiceCommand::ReportDrain(upstream)).await;
    }

    /// Sends the news of another node that an upstream drains.
    pub async fn send_drain(&self, upstream: ids::UpstreamId) {
        self.send(ServiceCommand::Drained(upstream)).await;
    }

    /// Reports that another instance has the address of an upstream.
    pub async fn report_misdirected(&self, upstream: ids::UpstreamId) {
        self.send(ServiceCommand::ReportMisdirected(upstream)).await;
    }

    /// Reports that an upstream asks this node for a pause.
    pub async fn report_pause(&self, upstream: ids::UpstreamId, pause: PauseTime) {
        self.send(ServiceCommand::ReportPause { upstream, pause })
            .await;
    }

    /// Reports the load, from 0 to 1, that an upstream states in its responses.
    pub async fn report_load(&self, upstream: ids::UpstreamId, load: f64) {
        self.send(ServiceCommand::ReportLoad { upstream, load })
            .await;
    }

    /// Reports whether a probe could open a connection to an upstream.
    pub async fn report_probe(&self, upstream: ids::UpstreamId, reachable: bool) {
        self.send(ServiceCommand::ReportProbe {
            upstream,
            reachable,
        })
        .await;
    }

    /// Sends a changed configuration of the service.
    pub async fn configure(&self, service: Arc<config::Service>) {
        self.send(ServiceCommand::Configure(service)).await;
    }

    /// Sends the current nodes.
    pub async fn set_fleet_shape(&self, shape: FleetShape) {
        self.send(ServiceCommand::SetFleetShape(shape)).await;
    }

    /// Reports how many requests the data centre has in flight at an upstream.
    pub async fn report_data_centre_load(&self, load: UpstreamLoad) {
        self.send(ServiceCommand::DataCentreLoad(load)).await;
    }

    /// Sends the limit of an upstream that its owner announced.
    pub async fn send_limit(&self, upstream: ids::UpstreamId, state: LimitState) {
        self.send(ServiceCommand::Limit { upstream, state }).await;
    }

    /// Sends a suspicion signal of another node.
    pub async fn send_signal(&self, signal: SuspicionSignal) {
        self.send(ServiceCommand::Signal(signal)).await;
    }

    /// Queries the status of each upstream as this node sees it.
    pub async fn views(&self) -> BTreeMap<ids::UpstreamId, UpstreamView> {
        let (reply, receiver) = oneshot::channel();
        self.send(ServiceCommand::Views(reply)).await;
        receiver.await.unwrap_or_default()
    }

    /// Queries what the balancer would decide on a request now; `None` if the task has ended.
    pub async fn preview(&self, request: AttemptRequest) -> Option<RequestPreview> {
        let (reply, receiver) = oneshot::channel();
        self.send(ServiceCommand::Preview(request, reply)).await;
        receiver.await.ok()
    }

    async fn send(&self, command: ServiceCommand) {
        let _ = self.commands.send(command).await;
    }
}

/// Counts one request against the limit of its workspace until it is dropped.
#[derive(Debug)]
pub struct WorkspacePermit {
    workspace: ids::WorkspaceId,
    events: mpsc::UnboundedSender<RequestEvent>,
}

impl Drop for WorkspacePermit {
    fn drop(&mut self) {
        let _ = self
            .events
            .send(RequestEvent::LeaveWorkspace(self.workspace.clone()));
    }
}

/// Permission to make one attempt at one upstream. A lease that is dropped before
/// [`AttemptLease::end`] ends the attempt as cancelled, or as outpaced when a hedge
/// responded first.
#[derive(Debug)]
pub struct AttemptLease {
    pub(super) grant: AttemptGrant,
    pub(super) service: Arc<config::Service>,
    pub(super) pool: ConnectionPool,
    pub(super) hedge_delay: Option<Duration>,
    pub(super) events: mpsc::UnboundedSender<RequestEvent>,
    pub(super) ended: bool,
    pub(super) outpaced: OutpacedFlag,
    pub(super) request: ids::RequestId,
    pub(super) purpose: AttemptPurpose,
    pub(super) granted: Instant,
    /// The connection that the attempt uses, once it has one.
    pub(super) connection: Option<ConnectionUse>,
}

/// Converts to whole milliseconds for log lines.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Set when a hedge responded first; the slower attempt then ends as outpaced.
pub type OutpacedFlag = Arc<AtomicBool>;

impl AttemptLease {
    /// The upstream to send to.
    pub fn upstream(&self) -> &config::Upstream {
        &self.grant.upstream
    }

    /// The configuration of the service at the time of the grant.
    pub fn service(&self) -> &config::Service {
        &self.service
    }

    /// The pool of connections to the upstream.
    pub const fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// How long to wait for a response before a hedge starts; none while the delay cannot
    /// be derived because the usual latency of the service is not known yet.
    pub const fn hedge_delay(&self) -> Option<Duration> {
        self.hedge_delay
    }

    /// What another attempt after this one is charged to.
    pub const fn charge(&self) -> RetryCharge {
        if self.grant.trial {
            RetryCharge::Trial
        } else {
            RetryCharge::Budget
        }
    }

    /// The flag to set when a hedge responds first.
    pub fn outpaced(&self) -> OutpacedFlag {
        OutpacedFlag::clone(&self.outpaced)
    }

    /// Records which connection the attempt uses.
    pub fn record_connection(&mut self, connection: ConnectionUse) {
        self.connection = Some(connection);
    }

    /// Whether the connection that the attempt uses carries no earlier exchange.
    pub fn is_first_exchange(&self) -> bool {
        let used = self.connection.map(|connection| connection.exchanges);
        used == Some(ExchangeCount::default())
    }

    /// Records that the attempt uses a connection that may be stale, so a missing
    /// response is no evidence against the upstream.
    pub fn mark_possibly_stale(&self) {
        let _ = self
            .events
            .send(RequestEvent::PossiblyStale(self.grant.attempt));
    }

    /// Records that the head of the response arrived.
    pub fn record_head(&self) {
        let _ = self
            .events
            .send(RequestEvent::HeadReceived(self.grant.attempt));
    }

    /// Records what the head of the response states about the limit of the upstream.
    pub fn record_limit(&self, signal: LimitSignal) {
        let may_be_news = self.grant.permit.is_some() || signal != LimitSignal::Absent;
        if may_be_news {
            let event = RequestEvent::LimitStated(self.grant.attempt, signal);
            let _ = self.events.send(event);
        }
    }

    /// Ends the attempt and releases its place at the upstream.
    pub fn end(mut self, end: AttemptEnd) {
        self.send_end(end);
    }

    fn send_end(&mut self, end: AttemptEnd) {
        self.ended = true;
        let AttemptGrant {
            upstream, trial, ..
        } = &self.grant;
        let used = self.connection.unwrap_or_default();
        log::info!(
            target: "attempt",
            request:% = self.request,
            upstream:% = upstream.id,
            service:% = self.service.id,
            purpose:% = self.purpose,
            trial = *trial,
            connection = used.local_port.get(),
            exchanges_before = used.exchanges.get(),
            age_ms = millis(self.granted.elapsed());
            "An attempt ended: {end}."
        );
        let _ = self
            .events
            .send(RequestEvent::AttemptEnded(self.grant.attempt, end));
    }
}

impl Drop for AttemptLease {
    fn drop(&mut self) {
        if !self.ended {
            let outpaced = self.outpaced.load(Ordering::Relaxed);
            let end = if outpaced {
                AttemptEnd::Outpaced
            } else {
                AttemptEnd::Cancelled
            };
            self.send_end(end);
        }
    }
}
