//! Bounded queue of requests that wait for room at an upstream.

use std::collections::VecDeque;

use model::sizes;
use tokio::time::Instant;

/// Waiting requests in order of arrival, each with its deadline.
#[derive(Debug)]
pub struct RequestQueue<T> {
    waiters: VecDeque<(Instant, T)>,
    capacity: usize,
}

/// Waiters that a call of `pop` removed from the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct DequeueResult<T> {
    /// The first waiter whose deadline has not passed.
    pub next: Option<T>,
    /// Waiters before it, whose deadline passed.
    pub expired: Vec<T>,
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue for at most `capacity` waiters.
    pub fn new(capacity: sizes::RequestCount) -> Self {
        Self {
            waiters: VecDeque::new(),
            capacity: usize::try_from(capacity.get()).unwrap_or(usize::MAX),
        }
    }

    /// Adds a waiter. If the queue is full, removes and returns the waiter with the earliest
    /// deadline.
    pub fn push(&mut self, deadline: Instant, waiter: T) -> Option<T> {
        self.waiters.push_back((deadline, waiter));
        if self.waiters.len() <= self.capacity {
            return None;
        }
        let earliest = self
            .waiters
            .iter()
            .enumerate()
            .min_by_key(|(_, (deadline, _))| *deadline);
        let index = earliest.map(|(index, _)| index)?;
        self.waiters.remove(index).map(|(_, waiter)| waiter)
    }

    /// Removes the next waiter whose deadline has not passed, and the expired ones before
    /// it.
    pub fn pop(&mut self, now: Instant) -> DequeueResult<T> {
        let mut expired = Vec::new();
        while let Some((deadline, waiter)) = self.waiters.pop_front() {
            if deadline > now {
                return DequeueResult {
                    next: Some(waiter),
                    expired,
                };
            }
            expired.push(waiter);
        }
        DequeueResult {
            next: None,
            expired,
        }
    }

    /// Puts a waiter back at the front, if there was no room for it after all.
    pub fn push_front(&mut self, deadline: Instant, waiter: T) {
        self.waiters.push_front((deadline, waiter));
    }

    /// Removes and returns every waiter whose deadline passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let (remaining, expired) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|(deadline, _)| *deadline > now);
        self.waiters = remaining;
        let expired: VecDeque<(Instant, T)> = expired;
        expired.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether there are no waiters.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
