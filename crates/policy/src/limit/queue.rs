//! A bounded queue of requests that wait for room at an upstream.

use std::collections::VecDeque;

use model::sizes;
use tokio::time::Instant;

/// Requests in the order of their arrival, each with its deadline.
#[derive(Debug)]
pub struct RequestQueue<T> {
    waiters: VecDeque<(Instant, T)>,
    bound: usize,
}

/// What left the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Released<T> {
    /// The waiter whose turn it is.
    pub next: Option<T>,
    /// Waiters whose deadline passed.
    pub expired: Vec<T>,
}

impl<T> RequestQueue<T> {
    /// An empty queue.
    pub fn new(bound: sizes::RequestCount) -> Self {
        Self {
            waiters: VecDeque::new(),
            bound: usize::try_from(bound.get()).unwrap_or(usize::MAX),
        }
    }

    /// Adds a waiter; a full queue drops the one with the earliest deadline.
    pub fn push(&mut self, deadline: Instant, waiter: T) -> Option<T> {
        self.waiters.push_back((deadline, waiter));
        if self.waiters.len() <= self.bound {
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

    /// Takes the next waiter whose deadline has not passed.
    pub fn pop(&mut self, now: Instant) -> Released<T> {
        let mut expired = Vec::new();
        while let Some((deadline, waiter)) = self.waiters.pop_front() {
            if deadline > now {
                return Released {
                    next: Some(waiter),
                    expired,
                };
            }
            expired.push(waiter);
        }
        Released {
            next: None,
            expired,
        }
    }

    /// Puts a waiter back at the front, when there was no room after all.
    pub fn push_front(&mut self, deadline: Instant, waiter: T) {
        self.waiters.push_front((deadline, waiter));
    }

    /// Removes every waiter whose deadline passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let (kept, expired) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|(deadline, _)| *deadline > now);
        self.waiters = kept;
        let expired: VecDeque<(Instant, T)> = expired;
        expired.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Waiters in the queue.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
