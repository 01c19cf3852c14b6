//! A table of flows whose entries go when they were not used for a while.
//!
//! Each entry stands once in a queue, in the order of its next look: removing
//! what is old costs work for entries that came due, never a pass over all
//! open flows.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Flow;

#[derive(Debug)]
struct Entry<T> {
    value: T,
    last_used: Instant,
}

/// Flows with what is known of each.
#[derive(Debug)]
pub struct FlowTable<T> {
    entries: HashMap<Flow, Entry<T>>,
    expiries: VecDeque<(Instant, Flow)>,
    idle_timeout: Duration,
}

impl<T> FlowTable<T> {
    /// An empty table that forgets what was not used for `idle`.
    #[must_use]
    pub fn new(idle: Duration) -> Self {
        Self { entries: HashMap::new(), expiries: VecDeque::new(), idle_timeout: idle }
    }

    /// Flows in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of `flow`, without counting as use.
    #[must_use]
    pub fn peek(&self, flow: Flow) -> Option<&T> {
        self.entries.get(&flow).map(|e| &e.value)
    }

    /// What is known of `flow`, to be changed without counting as use.
    pub fn peek_mut(&mut self, flow: Flow) -> Option<&mut T> {
        self.entries.get_mut(&flow).map(|e| &mut e.value)
    }

    /// What is known of `flow`, which is used now.
    pub fn get(&mut self, flow: Flow, now: Instant) -> Option<&mut T> {
        let e = self.entries.get_mut(&flow)?;
        e.last_used = now;
        Some(&mut e.value)
    }

    /// Puts `flow` in, or replaces what is known of it.
    pub fn insert(&mut self, flow: Flow, value: T, now: Instant) {
        if self.entries.insert(flow, Entry { value, last_used: now }).is_none() {
            self.expiries.push_back((now + self.idle_timeout, flow));
        }
    }

    /// Takes `flow` out.
    pub fn remove(&mut self, flow: Flow) -> Option<T> {
        self.entries.remove(&flow).map(|e| e.value)
    }

    /// Every flow with what is known of it.
    pub fn iter(&self) -> impl Iterator<Item = (Flow, &T)> {
        self.entries.iter().map(|(f, e)| (*f, &e.value))
    }

    /// Forgets what was not used for the idle time; `gone` gets each.
    pub fn expire(&mut self, now: Instant, mut gone: impl FnMut(Flow, T)) {
        while let Some((at, flow)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let Some(e) = self.entries.get(&flow) else { continue };
            let due = e.last_used + self.idle_timeout;
            if due > at {
                self.expiries.push_back((due, flow));
            } else if let Some(e) = self.entries.remove(&flow) {
                gone(flow, e.value);
            }
        }
    }
}
