//! Timers of flows.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::flow::Flow;

/// Flows ordered by their next timer. Timers are not cancelled: a popped flow's state
/// shows whether its deadline still applies.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue(BinaryHeap<Reverse<(Instant, Flow)>>);

impl DeadlineQueue {
    pub(super) fn push(&mut self, at: Instant, flow: Flow) {
        self.0.push(Reverse((at, flow)));
    }

    pub(super) fn next_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next flow whose deadline has passed.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Flow> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, flow))| flow)
    }
}
