//! A table of flows whose entries expire when idle.
//!
//! A queue holds one expiry check per entry, ordered by time, so that expiry
//! costs work only for the entries that are due and never scans the table.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Flow;

#[derive(Debug)]
struct Entry<T> {
    value: T,
    last_used: Instant,
}

/// A map from flows to values, with idle expiry.
#[derive(Debug)]
pub struct FlowTable<T> {
    entries: HashMap<Flow, Entry<T>>,
    expiries: VecDeque<(Instant, Flow)>,
    idle_timeout: Duration,
}

impl<T> FlowTable<T> {
    /// An empty table whose entries expire after `idle_timeout` without use.
    #[must_use]
    pub fn new(idle_timeout: Duration) -> Self {
        Self { entries: HashMap::new(), expiries: VecDeque::new(), idle_timeout }
    }

    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The value of `flow`. Does not refresh its idle timeout.
    #[must_use]
    pub fn peek(&self, flow: Flow) -> Option<&T> {
        self.entries.get(&flow).map(|e| &e.value)
    }

    /// Mutable access to the value of `flow`. Does not refresh its idle timeout.
    pub fn peek_mut(&mut self, flow: Flow) -> Option<&mut T> {
        self.entries.get_mut(&flow).map(|e| &mut e.value)
    }

    /// Mutable access to the value of `flow`, whose idle timeout is refreshed.
    pub fn get(&mut self, flow: Flow, now: Instant) -> Option<&mut T> {
        let e = self.entries.get_mut(&flow)?;
        e.last_used = now;
        Some(&mut e.value)
    }

    /// Inserts `flow`, or replaces its value, and refreshes its idle timeout.
    pub fn insert(&mut self, flow: Flow, value: T, now: Instant) {
        if self.entries.insert(flow, Entry { value, last_used: now }).is_none() {
            self.expiries.push_back((now + self.idle_timeout, flow));
        }
    }

    /// Removes `flow` and returns its value.
    pub fn remove(&mut self, flow: Flow) -> Option<T> {
        self.entries.remove(&flow).map(|e| e.value)
    }

    /// All flows and their values, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (Flow, &T)> {
        self.entries.iter().map(|(f, e)| (*f, &e.value))
    }

    /// Removes the flows that have been idle for the timeout and passes each to
    /// `on_expired`.
    pub fn expire(&mut self, now: Instant, mut on_expired: impl FnMut(Flow, T)) {
        while let Some((at, flow)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let Some(e) = self.entries.get(&flow) else { continue };
            let expires_at = e.last_used + self.idle_timeout;
            if expires_at > at {
                self.expiries.push_back((expires_at, flow));
            } else if let Some(e) = self.entries.remove(&flow) {
                on_expired(flow, e.value);
            }
        }
    }
}
