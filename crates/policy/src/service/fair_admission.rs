//! Admission of attempts by priority and fair share, with rejection on arrival of those that
//! could not run in time.

use std::sync::Arc;
use std::time::Duration;

use model::{error, sizes};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use super::{Admission, AttemptPurpose, AttemptRequest, ServiceBalancer};
use crate::limit::{DepartureRate, FairQueue, RequestClass, WaiterRank};

/// Maximum factor on the `Retry-After` of a rejection. The factors are spread evenly from 1, so
/// that callers which are rejected together do not return together.
const RETRY_JITTER_MAX: f64 = 1.5;
/// Minimum `Retry-After` of a rejection before jitter: waiters are looked at again at least every
/// 100 ms, so that an earlier return would find nothing changed.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Waiters whose untried upstreams have no room that are passed over for the next ones.
const BLOCKED_MAX: usize = 4;

/// An attempt that asks for a grant.
#[derive(Debug)]
pub struct QueuedAttempt<T> {
    /// The request for an upstream.
    pub request: AttemptRequest,
    /// The deadline of the caller's request.
    pub deadline: Instant,
    /// What the decision is to be sent to.
    pub waiter: T,
}

/// How long a request would have waited, and how long it could have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitOutlook {
    /// The time after which the request would have been sent.
    pub expected: Duration,
    /// The time until it had to be sent to end before its deadline.
    pub left: Duration,
}

/// Why an attempt is rejected without having been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitRefusal {
    /// The kind of the error.
    pub kind: error::ErrorKind,
    /// Time after which capacity is expected for another request like it, with jitter.
    pub retry_after: Option<Duration>,
    /// The wait that led to the rejection, if it did.
    pub outlook: Option<WaitOutlook>,
}

/// A decision on one attempt.
#[derive(Debug)]
pub enum FairDecision<T> {
    /// The balancer's decision, which is not `Admission::Wait`.
    Decided(QueuedAttempt<T>, Admission),
    /// The attempt is rejected.
    Rejected(T, WaitRefusal),
}

/// The attempts of one service that wait at a node whose callers have workspaces.
#[derive(Debug)]
pub struct FairAdmission<T> {
    queue: FairQueue<QueuedAttempt<T>>,
    /// Of the waiters whose flows do not use too much, and of those whose flows do.
    departures: [DepartureRate; 2],
    rng: SmallRng,
}

impl<T> FairAdmission<T> {
    /// Creates an empty queue for at most `capacity` waiters; `seed` drives the jitter.
    pub fn new(capacity: sizes::RequestCount, seed: u64) -> Self {
        Self {
            queue: FairQueue::new(capacity),
            departures: Default::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the maximum number of waiters.
    pub fn set_capacity(&mut self, capacity: sizes::RequestCount) {
        self.queue.set_capacity(capacity);
    }

    /// Decides on an attempt of `class` that arrives, and on those whose turn it is now. An
    /// attempt without a decision waits. `is_gone` tells whether a waiter no longer needs one.
    pub fn arrive(
        &mut self,
        now: Instant,
        balancer: &mut ServiceBalancer,
        class: Arc<RequestClass>,
        attempt: QueuedAttempt<T>,
        is_gone: impl Fn(&T) -> bool,
    ) -> Vec<FairDecision<T>> {
        if attempt.request.purpose == AttemptPurpose::First {
            balancer.count_arrival(now, &attempt.request);
        }
        if attempt.request.purpose == AttemptPurpose::Hedge {
            // A second attempt never takes the turn of a first one.
            let admission = if self.queue.is_empty() {
                balancer.place_in_share(now, &attempt.request)
            } else {
                Admission::Refuse(error::ErrorKind::NoUpstream)
            };
            return vec![FairDecision::Decided(attempt, admission)];
        }
        if self.queue.is_empty() {
            let admission = balancer.place_in_share(now, &attempt.request);
            if !matches!(admission, Admission::Wait) {
                return vec![FairDecision::Decided(attempt, admission)];
            }
        }
        self.queue.retain(|queued| !is_gone(&queued.waiter));
        let decision = self.enqueue(now, balancer, class, attempt);
        let mut decisions: Vec<_> = decision.into_iter().collect();
        decisions.extend(self.admit_waiters(now, balancer, is_gone));
        decisions
    }

    /// Adds an attempt that was not admitted with the permit drawn for it; returns the rejection
    /// of the one that is dropped if the queue is full.
    pub fn wait(
        &mut self,
        now: Instant,
        balancer: &ServiceBalancer,
        class: Arc<RequestClass>,
        attempt: QueuedAttempt<T>,
    ) -> Option<FairDecision<T>> {
        self.push(now, balancer, rank_of(class, &attempt), attempt)
    }

    fn push(
        &mut self,
        now: Instant,
        balancer: &ServiceBalancer,
        rank: WaiterRank,
        attempt: QueuedAttempt<T>,
    ) -> Option<FairDecision<T>> {
        let flows = balancer.flows();
        let is_excessive = flows.is_excessive(now, &rank.class.flow);
        let is_alike = |flow: &_| flows.is_excessive(now, flow) == is_excessive;
        if self.queue.is_empty() {
            self.restart_idle_departures(now, balancer);
        }
        let departures = &mut self.departures[usize::from(is_excessive)];
        if !self.queue.any(is_alike) {
            departures.restart(now);
        }
        let (_, dropped) = self.queue.push(rank, attempt, flows)?;
        let waiting = self.queue.count(is_alike);
        let drained = departures.time_to_leave(now, waiting);
        let drained = drained.max(balancer.expected_wait(waiting));
        let refusal = WaitRefusal {
            kind: error::ErrorKind::Overload,
            retry_after: drained.map(|drained| self.jitter(drained)),
            outlook: None,
        };
        Some(FairDecision::Rejected(dropped.waiter, refusal))
    }

    /// Adds an attempt to the queue unless it need not wait or would wait too long; returns the
    /// decision on it, or the rejection of another one if the queue is full.
    fn enqueue(
        &mut self,
        now: Instant,
        balancer: &mut ServiceBalancer,
        class: Arc<RequestClass>,
        attempt: QueuedAttempt<T>,
    ) -> Option<FairDecision<T>> {
        let rank = rank_of(class, &attempt);
        let flows = balancer.flows();
        let is_excessive = flows.is_excessive(now, &rank.class.flow);
        // Flows with excessive use and others pass each other, so they wait for different events.
        let is_alike = |flow: &_| flows.is_excessive(now, flow) == is_excessive;
        let ahead = self.queue.count_ahead(&rank, flows, is_alike);
        if ahead == 0 && !is_excessive {
            let admission = balancer.place_in_share(now, &attempt.request);
            if !matches!(admission, Admission::Wait) {
                return Some(FairDecision::Decided(attempt, admission));
            }
        }
        // Without waiters like this one, its turn depends on the attempts in service alone.
        let departures = &self.departures[usize::from(is_excessive)];
        let observed = (ahead > 0).then(|| departures.time_to_leave(now, ahead));
        let expected = observed.flatten().max(balancer.expected_wait(ahead));
        let send_by = now + balancer.min_time_left();
        let left = attempt.deadline.saturating_duration_since(send_by);
        if let Some(expected) = expected.filter(|expected| *expected >= left) {
            let refusal = WaitRefusal {
                kind: error::ErrorKind::ExpectedWait,
                retry_after: Some(self.jitter(expected)),
                outlook: Some(WaitOutlook { expected, left }),
            };
            return Some(FairDecision::Rejected(attempt.waiter, refusal));
        }
        self.push(now, balancer, rank, attempt)
    }

    /// Decides on the waiters whose turn it is, while there is capacity.
    pub fn admit_waiters(
        &mut self,
        now: Instant,
        balancer: &mut ServiceBalancer,
        is_gone: impl Fn(&T) -> bool,
    ) -> Vec<FairDecision<T>> {
        let mut decisions = Vec::new();
        let mut blocked = Vec::new();
        // Flows with excessive use have less room than others, which pass them then.
        let mut skips_excess = false;
        while blocked.len() < BLOCKED_MAX {
            let flows = balancer.flows();
            let may_leave = |flow: &_| !(skips_excess && flows.is_excessive(now, flow));
            let Some((rank, attempt)) = self.queue.pop(flows, may_leave) else {
                break;
            };
            if is_gone(&attempt.waiter) {
                continue;
            }
            if attempt.deadline <= now + balancer.min_time_left() {
                decisions.push(expired(attempt));
                continue;
            }
            let is_excessive = balancer.flows().is_excessive(now, &rank.class.flow);
            let admission = balancer.place_in_share(now, &attempt.request);
            if !matches!(admission, Admission::Wait) {
                self.departures[usize::from(is_excessive)].record(now);
                decisions.push(FairDecision::Decided(attempt, admission));
                continue;
            }
            let blocks_others = attempt.request.exclude.is_empty() && !is_excessive;
            skips_excess |= is_excessive;
            blocked.push((rank, attempt));
            if blocks_others {
                break;
            }
        }
        for (rank, attempt) in blocked {
            self.queue.restore(rank, attempt);
        }
        decisions
    }

    /// Rejects the waiters that could no longer end before their deadlines. It is called at least
    /// every 100 ms while there are waiters.
    pub fn expire(&mut self, now: Instant, balancer: &ServiceBalancer) -> Vec<FairDecision<T>> {
        let waiters = self.queue.expire(now + balancer.min_time_left());
        self.restart_idle_departures(now, balancer);
        waiters.into_iter().map(expired).collect()
    }

    /// Lets the time without departures begin anew for each kind of flow that has no waiters.
    ///
    /// A waiting flow may become one of the other kind. The time since the last departure of that
    /// kind, minutes perhaps, would then look like a stall.
    fn restart_idle_departures(&mut self, now: Instant, balancer: &ServiceBalancer) {
        let flows = balancer.flows();
        let excessive = self.queue.count(|flow| flows.is_excessive(now, flow));
        let waiting = [self.queue.len() - excessive, excessive];
        for (departures, waiting) in self.departures.iter_mut().zip(waiting) {
            if waiting == 0 {
                departures.restart(now);
            }
        }
    }

    /// Number of waiters.
    pub const fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether there are no waiters.
    pub const fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn jitter(&mut self, wait: Duration) -> Duration {
        let wait = wait.max(RETRY_AFTER_MIN);
        wait.mul_f64(self.rng.random_range(1.0..RETRY_JITTER_MAX))
    }
}

fn expired<T>(attempt: QueuedAttempt<T>) -> FairDecision<T> {
    let refusal = WaitRefusal {
        kind: error::ErrorKind::DeadlineBeforeSend,
        retry_after: None,
        outlook: None,
    };
    FairDecision::Rejected(attempt.waiter, refusal)
}

fn rank_of<T>(class: Arc<RequestClass>, attempt: &QueuedAttempt<T>) -> WaiterRank {
    WaiterRank {
        class,
        is_retry: attempt.request.purpose == AttemptPurpose::Retry,
        deadline: attempt.deadline,
    }
}
