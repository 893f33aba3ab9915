//! Bounded queue of requests that wait for capacity that is not enough for all.

use std::collections::HashMap;
use std::sync::Arc;

use model::sizes;
use tokio::time::Instant;

use super::flow::{FlowKey, FlowTable, RequestClass};

/// The place of a waiter among the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaiterRank {
    /// The flow and priority of the request.
    pub class: Arc<RequestClass>,
    /// Whether it is another attempt of a request that was in service before.
    pub is_retry: bool,
    /// The deadline of the request.
    pub deadline: Instant,
}

impl WaiterRank {
    /// The use of capacity with which the waiter competes if its flow has `in_service` requests
    /// in service. A retry counts as one more, so that it goes behind first attempts of flows
    /// that use as much.
    fn contended_use(&self, in_service: u32) -> u32 {
        in_service.saturating_add(u32::from(self.is_retry))
    }
}

#[derive(Debug)]
struct QueuedWaiter<T> {
    rank: WaiterRank,
    waiter: T,
}

/// Waiting requests, which leave the queue by priority, then by the use of their flow, then by
/// deadline.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// In order of their deadlines; those with the same deadline in order of arrival.
    waiters: Vec<QueuedWaiter<T>>,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `capacity` waiters.
    pub fn new(capacity: sizes::RequestCount) -> Self {
        Self {
            waiters: Vec::new(),
            capacity: capacity_of(capacity),
        }
    }

    /// Changes the maximum number of waiters. Those beyond a lower one stay.
    pub fn set_capacity(&mut self, capacity: sizes::RequestCount) {
        self.capacity = capacity_of(capacity);
    }

    /// Adds a waiter. If the queue is full, removes and returns one: of the lowest priority, of
    /// the flow that uses the most there, the one that would leave the queue last.
    pub fn push(
        &mut self,
        rank: WaiterRank,
        waiter: T,
        flows: &FlowTable,
    ) -> Option<(WaiterRank, T)> {
        self.restore(rank, waiter);
        if self.waiters.len() <= self.capacity {
            return None;
        }
        let index = self.find_heaviest(flows)?;
        let QueuedWaiter { rank, waiter } = self.waiters.remove(index);
        Some((rank, waiter))
    }

    /// Puts back a waiter that was removed, whether or not the queue is full.
    pub fn restore(&mut self, rank: WaiterRank, waiter: T) {
        let index = self
            .waiters
            .partition_point(|queued| queued.rank.deadline <= rank.deadline);
        self.waiters.insert(index, QueuedWaiter { rank, waiter });
    }

    /// Removes the next waiter among those whose flow `may_leave`: of the highest priority, of the
    /// flow with the fewest requests in service, the one with the earliest deadline.
    pub fn pop(
        &mut self,
        flows: &FlowTable,
        may_leave: impl Fn(&FlowKey) -> bool,
    ) -> Option<(WaiterRank, T)> {
        let waiters = self.waiters.iter().enumerate();
        let waiters = waiters.filter(|(_, queued)| may_leave(&queued.rank.class.flow));
        // Of several minima, the first one has the earliest deadline.
        let next = waiters.min_by_key(|(_, queued)| {
            let rank = &queued.rank;
            let in_service = flows.in_service(&rank.class.flow);
            (rank.class.priority, rank.contended_use(in_service))
        });
        let index = next.map(|(index, _)| index)?;
        let QueuedWaiter { rank, waiter } = self.waiters.remove(index);
        Some((rank, waiter))
    }

    /// Number of waiters that would leave the queue before a new one if each that leaves goes
    /// into service; of those whose flow `counts`.
    pub fn count_ahead(
        &self,
        rank: &WaiterRank,
        flows: &FlowTable,
        counts: impl Fn(&FlowKey) -> bool,
    ) -> usize {
        // `counts` costs more than the rest, and this runs for each request that is rejected.
        let counted: Vec<_> = self
            .waiters
            .iter()
            .filter(|queued| queued.rank.class.priority <= rank.class.priority)
            .filter(|queued| counts(&queued.rank.class.flow))
            .collect();
        let waiters = || counted.iter().copied();
        let is_peer = |queued: &&QueuedWaiter<T>| queued.rank.class.priority == rank.class.priority;
        let own_ahead = waiters().filter(is_peer).filter(|queued| {
            queued.rank.class.flow == rank.class.flow && queued.rank.deadline <= rank.deadline
        });
        let own_ahead = u32::try_from(own_ahead.count()).unwrap_or(u32::MAX);
        let in_service = flows.in_service(&rank.class.flow);
        let own_turn = rank.contended_use(in_service.saturating_add(own_ahead));
        let mut next_use: HashMap<&FlowKey, u32> = HashMap::new();
        let peers_ahead = waiters().filter(is_peer).filter(|queued| {
            let other = &queued.rank;
            let uses = next_use
                .entry(&other.class.flow)
                .or_insert_with(|| flows.in_service(&other.class.flow));
            let turn = other.contended_use(*uses);
            *uses = uses.saturating_add(1);
            (turn, other.deadline) <= (own_turn, rank.deadline)
        });
        let peers_ahead = peers_ahead.count();
        let higher = waiters().filter(|queued| queued.rank.class.priority < rank.class.priority);
        peers_ahead + higher.count()
    }

    /// Removes and returns the waiters whose deadline is not after `until`.
    pub fn expire(&mut self, until: Instant) -> Vec<T> {
        let count = self
            .waiters
            .partition_point(|queued| queued.rank.deadline <= until);
        let expired = self.waiters.drain(..count);
        expired.map(|queued| queued.waiter).collect()
    }

    /// Keeps only the waiters for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.waiters.retain(|queued| is_kept(&queued.waiter));
    }

    /// Number of waiters whose flow `counts`.
    pub fn count(&self, counts: impl Fn(&FlowKey) -> bool) -> usize {
        let waiters = self.waiters.iter();
        let counted = waiters.filter(|queued| counts(&queued.rank.class.flow));
        counted.count()
    }

    /// Whether the flow of some waiter `counts`.
    pub fn any(&self, counts: impl Fn(&FlowKey) -> bool) -> bool {
        let mut waiters = self.waiters.iter();
        waiters.any(|queued| counts(&queued.rank.class.flow))
    }

    /// Number of waiters.
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether there are no waiters.
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    fn find_heaviest(&self, flows: &FlowTable) -> Option<usize> {
        let priorities = self.waiters.iter().map(|queued| queued.rank.class.priority);
        let lowest = priorities.max()?;
        let is_lowest = |queued: &&QueuedWaiter<T>| queued.rank.class.priority == lowest;
        let mut uses: HashMap<&FlowKey, u32> = HashMap::new();
        for queued in self.waiters.iter().filter(is_lowest) {
            let flow = &queued.rank.class.flow;
            *uses.entry(flow).or_insert_with(|| flows.in_service(flow)) += 1;
        }
        let candidates = self.waiters.iter().enumerate();
        let candidates = candidates.filter(|(_, queued)| is_lowest(queued));
        // Of several maxima, the last one has the latest deadline.
        let heaviest = candidates.max_by_key(|(_, queued)| {
            let rank = &queued.rank;
            (uses[&rank.class.flow], &rank.class.flow, rank.is_retry)
        });
        heaviest.map(|(index, _)| index)
    }
}

fn capacity_of(capacity: sizes::RequestCount) -> usize {
    usize::try_from(capacity.get()).unwrap_or(usize::MAX)
}
