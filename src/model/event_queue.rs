//! Priority queue of events by time. Events of the same time come out in the order
//! of their insertion, which keeps runs deterministic.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    seq: u64,
    event: E,
}

impl<E> Entry<E> {
    const fn key(&self) -> (Instant, u64) {
        (self.at, self.seq)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Pending events.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    seq: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), seq: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules `event` for time `at`.
    pub fn push(&mut self, at: Instant, event: E) {
        self.seq += 1;
        self.heap.push(Reverse(Entry { at, seq: self.seq, event }));
    }

    /// Removes and returns the earliest event and its time.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        self.heap.pop().map(|Reverse(e)| (e.at, e.event))
    }
}
