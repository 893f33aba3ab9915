//! Messages to a service's task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use model::error::{ErrorKind, FleetError};
use model::{config, ids};
use policy::detection::{ServiceLatency, Verdict};
use policy::ejection::EjectionRecord;
use policy::retry::{AttemptEnd, RetryCharge, RetryContext, RetryRefusal};
use policy::service::{AttemptGrant, AttemptPurpose, AttemptRequest, UpstreamLoad, UpstreamView};
use policy::suspicion::SuspicionSignal;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::repeats::RepeatSource;
use crate::pool::ConnectionPool;
use crate::wire::UpstreamHeaders;

/// How many nodes share a service's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// All nodes.
    pub nodes: usize,
    /// Those in this node's data centre.
    pub near: usize,
}

/// A message to the task; its sender waits while too many are under way.
#[derive(Debug)]
pub(super) enum ServiceCommand {
    Admit {
        request: AttemptRequest,
        deadline: Instant,
        reply: oneshot::Sender<Result<AttemptLease, ErrorKind>>,
    },
    Enter {
        workspace: config::Workspace,
        reply: oneshot::Sender<bool>,
    },
    Retry {
        context: RetryContext,
        reply: oneshot::Sender<Result<(), RetryRefusal>>,
    },
    Verdict {
        upstream: ids::UpstreamId,
        verdict: Verdict,
    },
    Estimate(ServiceLatency),
    Record(Arc<EjectionRecord>),
    Drain(ids::UpstreamId),
    Load {
        upstream: ids::UpstreamId,
        load: f64,
    },
    Outcome {
        upstream: ids::UpstreamId,
        good: bool,
    },
    Configure(Arc<config::Service>),
    Fleet(FleetSize),
    Signal(SuspicionSignal),
    CentreLoad(UpstreamLoad),
    Drawn(bool),
    Views(oneshot::Sender<BTreeMap<ids::UpstreamId, UpstreamView>>),
}

/// A message about a request in flight. Each request sends a fixed number of
/// these, so the requests in flight bound the queue.
#[derive(Debug)]
pub(super) enum FlightEvent {
    Suspect(policy::service::AttemptKey),
    Head(policy::service::AttemptKey),
    End(policy::service::AttemptKey, AttemptEnd),
    LeaveWorkspace(ids::WorkspaceId),
}

/// A handle to a service's task.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    pub(super) commands: mpsc::Sender<ServiceCommand>,
    pub(super) events: mpsc::UnboundedSender<FlightEvent>,
    pub(super) headers: Arc<UpstreamHeaders>,
    pub(super) repeats: Option<RepeatSource>,
}

impl ServiceHandle {
    /// The names of headers that the service's upstreams use.
    pub fn headers(&self) -> &UpstreamHeaders {
        &self.headers
    }

    /// Asks for an upstream; waits in the service's line when all are full.
    ///
    /// A hedge that this node cannot pay for is paid for from the data centre's pool.
    ///
    /// # Errors
    /// The kind of refusal; the request was not sent.
    pub async fn admit(
        &self,
        request: AttemptRequest,
        deadline: Instant,
    ) -> Result<AttemptLease, ErrorKind> {
        let hedges = request.purpose == AttemptPurpose::Hedge;
        let admitted = self.admit_once(request.clone(), deadline).await;
        let unpaid = hedges && matches!(admitted, Err(ErrorKind::Overload));
        if unpaid && self.draw_repeat().await {
            return self.admit_once(request, deadline).await;
        }
        admitted
    }

    /// Draws a repeat from the data centre's pool; tells whether there was one.
    async fn draw_repeat(&self) -> bool {
        let Some(source) = &self.repeats else {
            return false;
        };
        let drawn = source.draw().await;
        self.tell(ServiceCommand::Drawn(drawn)).await;
        drawn
    }

    async fn admit_once(
        &self,
        request: AttemptRequest,
        deadline: Instant,
    ) -> Result<AttemptLease, ErrorKind> {
        let (reply, answer) = oneshot::channel();
        let command = ServiceCommand::Admit {
            request,
            deadline,
            reply,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| ErrorKind::NoUpstream)?;
        tokio::time::timeout_at(deadline, answer)
            .await
            .map_err(|_| ErrorKind::DeadlineUnsent)?
            .unwrap_or(Err(ErrorKind::NoUpstream))
    }

    /// Counts a request of a workspace until the pass is dropped.
    ///
    /// # Errors
    /// `WorkspaceLimit` when the workspace has too many requests in flight.
    pub async fn enter(&self, workspace: config::Workspace) -> Result<WorkspacePermit, FleetError> {
        let id = workspace.id.clone();
        let (reply, answer) = oneshot::channel();
        let command = ServiceCommand::Enter { workspace, reply };
        let sent = self.commands.send(command).await.is_ok();
        let entered = sent && answer.await.unwrap_or(false);
        if !entered {
            let detail = format!("workspace {id} is at its limit");
            return Err(FleetError::new(ErrorKind::WorkspaceLimit, detail));
        }
        Ok(WorkspacePermit {
            workspace: id,
            events: self.events.clone(),
        })
    }

    /// Decides on a repeated attempt; one that this node cannot pay for is paid for
    /// from the data centre's pool.
    ///
    /// # Errors
    /// Why none is made.
    pub async fn decide_retry(&self, context: RetryContext) -> Result<(), RetryRefusal> {
        let decision = self.decide_once(context).await;
        if decision == Err(RetryRefusal::Budget) && self.draw_repeat().await {
            return self.decide_once(context).await;
        }
        decision
    }

    async fn decide_once(&self, context: RetryContext) -> Result<(), RetryRefusal> {
        let (reply, answer) = oneshot::channel();
        let sent = self
            .commands
            .send(ServiceCommand::Retry { context, reply })
            .await;
        if sent.is_err() {
            return Err(RetryRefusal::Budget);
        }
        answer.await.unwrap_or(Err(RetryRefusal::Budget))
    }

    /// Passes a collector's verdict on.
    pub async fn verdict(&self, upstream: ids::UpstreamId, verdict: Verdict) {
        self.tell(ServiceCommand::Verdict { upstream, verdict })
            .await;
    }

    /// Passes the service's usual latency on.
    pub async fn estimate(&self, estimate: ServiceLatency) {
        self.tell(ServiceCommand::Estimate(estimate)).await;
    }

    /// Passes the record of what is ejected on.
    pub async fn record(&self, record: Arc<EjectionRecord>) {
        self.tell(ServiceCommand::Record(record)).await;
    }

    /// Passes a sign of a drain on.
    pub async fn drain(&self, upstream: ids::UpstreamId) {
        self.tell(ServiceCommand::Drain(upstream)).await;
    }

    /// Passes a reported load on.
    pub async fn load(&self, upstream: ids::UpstreamId, load: f64) {
        self.tell(ServiceCommand::Load { upstream, load }).await;
    }

    /// Passes the outcome of a probe on.
    pub async fn outcome(&self, upstream: ids::UpstreamId, good: bool) {
        self.tell(ServiceCommand::Outcome { upstream, good }).await;
    }

    /// Passes new settings on.
    pub async fn configure(&self, service: Arc<config::Service>) {
        self.tell(ServiceCommand::Configure(service)).await;
    }

    /// Passes the number of nodes on.
    pub async fn fleet(&self, size: FleetSize) {
        self.tell(ServiceCommand::Fleet(size)).await;
    }

    /// Passes on what the data centre has in flight.
    pub async fn centre_load(&self, load: UpstreamLoad) {
        self.tell(ServiceCommand::CentreLoad(load)).await;
    }

    /// Passes a doubt of another node on.
    pub async fn doubt(&self, signal: SuspicionSignal) {
        self.tell(ServiceCommand::Signal(signal)).await;
    }

    /// Reads how this node sees each upstream.
    pub async fn views(&self) -> BTreeMap<ids::UpstreamId, UpstreamView> {
        let (reply, answer) = oneshot::channel();
        self.tell(ServiceCommand::Views(reply)).await;
        answer.await.unwrap_or_default()
    }

    async fn tell(&self, command: ServiceCommand) {
        let _ = self.commands.send(command).await;
    }
}

/// A request's place in its workspace; dropping it leaves.
#[derive(Debug)]
pub struct WorkspacePermit {
    workspace: ids::WorkspaceId,
    events: mpsc::UnboundedSender<FlightEvent>,
}

impl Drop for WorkspacePermit {
    fn drop(&mut self) {
        let _ = self
            .events
            .send(FlightEvent::LeaveWorkspace(self.workspace.clone()));
    }
}

/// Leave to make one attempt. Dropping it withdraws the attempt.
#[derive(Debug)]
pub struct AttemptLease {
    pub(super) grant: AttemptGrant,
    pub(super) service: Arc<config::Service>,
    pub(super) pool: ConnectionPool,
    pub(super) hedge_delay: Option<Duration>,
    pub(super) events: mpsc::UnboundedSender<FlightEvent>,
    pub(super) ended: bool,
    pub(super) outpaced: Outpaced,
    pub(super) request: ids::RequestId,
    pub(super) purpose: AttemptPurpose,
    pub(super) granted: Instant,
}

/// Whole milliseconds, as log lines show them.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Set when a hedge answered first; the attempt then ends as outpaced.
pub type Outpaced = Arc<AtomicBool>;

impl AttemptLease {
    /// The upstream to send to.
    pub fn upstream(&self) -> &config::Upstream {
        &self.grant.upstream
    }

    /// The service as configured when the leave was given.
    pub fn service(&self) -> &config::Service {
        &self.service
    }

    /// The upstream's connections.
    pub const fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// How long to wait before a hedge.
    pub const fn hedge_delay(&self) -> Option<Duration> {
        self.hedge_delay
    }

    /// What pays for another attempt after this one.
    pub const fn charge(&self) -> RetryCharge {
        if self.grant.trial {
            RetryCharge::Trial
        } else {
            RetryCharge::Budget
        }
    }

    /// The flag to set when a hedge answers first.
    pub fn outpaced(&self) -> Outpaced {
        Outpaced::clone(&self.outpaced)
    }

    /// Notes that the connection may have fallen silent.
    pub fn suspect(&self) {
        let _ = self.events.send(FlightEvent::Suspect(self.grant.attempt));
    }

    /// Notes that the head of the answer arrived.
    pub fn head(&self) {
        let _ = self.events.send(FlightEvent::Head(self.grant.attempt));
    }

    /// Ends the attempt.
    pub fn end(mut self, end: AttemptEnd) {
        self.send_end(end);
    }

    fn send_end(&mut self, end: AttemptEnd) {
        self.ended = true;
        let AttemptGrant {
            upstream, trial, ..
        } = &self.grant;
        log::info!(
            target: "attempt",
            request:% = self.request,
            upstream:% = upstream.id,
            service:% = self.service.id,
            purpose:% = self.purpose,
            trial = *trial,
            age_ms = millis(self.granted.elapsed());
            "An attempt ended: {end}."
        );
        let _ = self.events.send(FlightEvent::End(self.grant.attempt, end));
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
