//! One node: a balancer with the present queue or with admission by fair share.

use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::limit::RequestQueue;
use gooseberrydyke_policy::retry::{AttemptEnd, RetryContext};
use gooseberrydyke_policy::service::{
    Admission, AttemptGrant, AttemptKey, AttemptRequest, FairAdmission, FairDecision, LoadReport,
    QueuedAttempt, ServiceBalancer, UpstreamLoad,
};
use gooseberrydyke_policy::suspicion::SuspicionSignal;
use model::config::Service;
use tokio::time::Instant;

use super::common::{CENTRES, name};

/// The queue that a node uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueKind {
    Present,
    Fair,
}

/// What a node tells the caller of a request, or sends to an upstream.
pub(crate) enum Answer {
    Granted(usize, AttemptGrant),
    Rejected(usize, Option<Duration>),
}

type Waiting = QueuedAttempt<usize>;

enum NodeQueue {
    Present(RequestQueue<Waiting>),
    Fair(FairAdmission<usize>),
}

pub(crate) struct Node {
    balancer: ServiceBalancer,
    queue: NodeQueue,
}

impl Node {
    pub(crate) fn new(config: Arc<Service>, nodes: usize, kind: QueueKind, seed: u64) -> Self {
        let queue = match kind {
            QueueKind::Present => NodeQueue::Present(RequestQueue::new(config.queue)),
            QueueKind::Fair => NodeQueue::Fair(FairAdmission::new(config.queue, seed)),
        };
        let mut balancer = ServiceBalancer::new(Instant::now(), config, name(CENTRES[0]), seed);
        balancer.set_fleet_size(u32::try_from(nodes).unwrap());
        balancer.set_local_node_share(1.0);
        Self { balancer, queue }
    }

    pub(crate) fn arrive(
        &mut self,
        waiter: usize,
        mut request: AttemptRequest,
        deadline: Instant,
        is_gone: impl Fn(&usize) -> bool,
    ) -> Vec<Answer> {
        let now = Instant::now();
        let balancer = &mut self.balancer;
        match &mut self.queue {
            NodeQueue::Present(queue) => {
                request.class = None;
                let attempt = QueuedAttempt {
                    request,
                    deadline,
                    waiter,
                };
                match balancer.admit(now, &attempt.request) {
                    Admission::Grant(grant) => vec![Answer::Granted(waiter, grant)],
                    Admission::Wait => {
                        let dropped = queue.push(deadline, attempt);
                        let answers = dropped.map(|it| Answer::Rejected(it.waiter, None));
                        answers.into_iter().collect()
                    }
                    _ => vec![Answer::Rejected(waiter, None)],
                }
            }
            NodeQueue::Fair(queue) => {
                let class = request.class.clone().unwrap();
                let attempt = QueuedAttempt {
                    request,
                    deadline,
                    waiter,
                };
                let decisions = queue.arrive(now, balancer, class, attempt, is_gone);
                decisions.into_iter().map(answer).collect()
            }
        }
    }

    pub(crate) fn finish(
        &mut self,
        key: AttemptKey,
        end: AttemptEnd,
        is_gone: impl Fn(&usize) -> bool,
    ) -> Vec<Answer> {
        if end == AttemptEnd::Answered {
            self.balancer.record_response_head(Instant::now(), key);
        }
        self.balancer.finish(Instant::now(), key, end);
        self.admit_waiters(is_gone)
    }

    pub(crate) fn tick(&mut self) -> Vec<Answer> {
        let now = Instant::now();
        let _ = self.balancer.tick(now);
        let mut answers: Vec<Answer> = match &mut self.queue {
            NodeQueue::Present(queue) => {
                let expired = queue.expire(now + self.balancer.min_time_left());
                let answers = expired.into_iter();
                answers
                    .map(|it| Answer::Rejected(it.waiter, None))
                    .collect()
            }
            NodeQueue::Fair(queue) => {
                let decisions = queue.expire(now, &self.balancer);
                decisions.into_iter().map(answer).collect()
            }
        };
        answers.extend(self.admit_waiters(|_| false));
        answers
    }

    fn admit_waiters(&mut self, is_gone: impl Fn(&usize) -> bool) -> Vec<Answer> {
        let now = Instant::now();
        let balancer = &mut self.balancer;
        let mut answers = Vec::new();
        match &mut self.queue {
            NodeQueue::Present(queue) => loop {
                let released = queue.pop(now + balancer.min_time_left());
                let expired = released.expired.into_iter();
                answers.extend(expired.map(|it| Answer::Rejected(it.waiter, None)));
                let Some(attempt) = released.next else { break };
                if is_gone(&attempt.waiter) {
                    continue;
                }
                match balancer.readmit(now, &attempt.request) {
                    Admission::Grant(grant) => {
                        answers.push(Answer::Granted(attempt.waiter, grant));
                    }
                    Admission::Wait => {
                        queue.push_front(attempt.deadline, attempt);
                        break;
                    }
                    _ => answers.push(Answer::Rejected(attempt.waiter, None)),
                }
            },
            NodeQueue::Fair(queue) => {
                let decisions = queue.admit_waiters(now, balancer, is_gone);
                answers.extend(decisions.into_iter().map(answer));
            }
        }
        answers
    }

    pub(crate) fn decide_retry(&mut self, context: &RetryContext) -> bool {
        self.balancer.decide_retry(Instant::now(), context).is_ok()
    }

    pub(crate) fn take_signals(&mut self) -> Vec<SuspicionSignal> {
        self.balancer.take_signals()
    }

    pub(crate) fn apply_signals(&mut self, signals: &[SuspicionSignal]) {
        for signal in signals {
            self.balancer
                .apply_signal(Instant::now(), &signal.upstream, signal.kind);
        }
    }

    pub(crate) fn take_load_report(&mut self) -> Option<LoadReport> {
        self.balancer
            .has_unreported_load()
            .then(|| self.balancer.take_load_report())
    }

    pub(crate) fn apply_loads(&mut self, sums: &[UpstreamLoad]) {
        for sum in sums {
            self.balancer.apply_data_centre_load(Instant::now(), sum);
        }
    }
}

fn answer(decision: FairDecision<usize>) -> Answer {
    match decision {
        FairDecision::Decided(attempt, Admission::Grant(grant)) => {
            Answer::Granted(attempt.waiter, grant)
        }
        FairDecision::Decided(attempt, _) => Answer::Rejected(attempt.waiter, None),
        FairDecision::Rejected(waiter, refusal) => Answer::Rejected(waiter, refusal.retry_after),
    }
}
