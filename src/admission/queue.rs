//! The queue of opens at one agent, ordered by what their callers need.

use std::time::{Duration, Instant};

use crate::flow::Flow;
use crate::metrics::Refusal;
use crate::policy::QueuePolicy;
use crate::request::RequestNeeds;

/// An open that waits for a slot; `item` is what is needed to deliver it.
#[derive(Clone, Debug)]
pub struct QueuedOpen<T> {
    /// Its flow.
    pub flow: Flow,
    /// What its caller needs.
    pub needs: RequestNeeds,
    /// When the caller's first SYN reached a balancer.
    pub since: Instant,
    /// When its balancer last offered or renewed it.
    pub renewed_at: Instant,
    /// Slot time that its request is expected to take.
    pub work: Duration,
    /// What is needed to deliver it.
    pub item: T,
}

/// Time from the delivery of an open to the response of its request, in units of the mean
/// work: one for what the target still has in its own queue, two for the request itself, as
/// few take longer.
const DELIVERY_WORK: f64 = 3.0;

/// Most of the target latency that an open may wait for its turn: what is left covers delays
/// that agents do not see, on links and in busy processes.
const QUEUE_SHARE: f64 = 0.5;

/// Position in the queue: the lowest is served first.
type Rank = (u8, bool, Instant);

impl<T> QueuedOpen<T> {
    /// When it must be delivered for its response to be in time.
    fn due(&self) -> Instant {
        let latency = self.needs.target_latency();
        let longest = latency.saturating_sub(self.work.mul_f64(DELIVERY_WORK));
        self.since + longest.min(latency.mul_f64(QUEUE_SHARE))
    }

    /// Whether its balancer may have offered it elsewhere.
    fn is_lapsed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at) >= super::LEASE
    }

    fn is_late(&self, now: Instant) -> bool {
        self.due() < now
    }

    /// Its position: the more urgent first, then those whose callers can still be answered
    /// in time, then those that are due first.
    fn rank(&self, now: Instant) -> Rank {
        (self.needs.priority, self.is_late(now), self.due())
    }

    /// Time that its caller still waits for an answer to its SYN.
    fn patience(&self, policy: &QueuePolicy, now: Instant) -> Duration {
        let longest = policy.max_wait.min(self.needs.timeout() / 2);
        (self.since + longest).saturating_duration_since(now)
    }
}

/// An open that left the queue without being delivered.
#[derive(Debug)]
pub struct Dropped<T> {
    /// The open.
    pub open: QueuedOpen<T>,
    /// Why its caller is refused; `None` if its balancer no longer renews it.
    pub refusal: Option<Refusal>,
}

/// The opens that wait at one agent.
#[derive(Debug)]
pub struct OpenQueue<T> {
    policy: QueuePolicy,
    opens: Vec<QueuedOpen<T>>,
    /// Grants in a row that passed over a less urgent open.
    passed_over: u32,
    /// When [`OpenQueue::expire`] next has to look.
    next_check: Option<Instant>,
}

impl<T> OpenQueue<T> {
    /// An empty queue.
    #[must_use]
    pub const fn new(policy: QueuePolicy) -> Self {
        Self { policy, opens: Vec::new(), passed_over: 0, next_check: None }
    }

    /// Whether opens are queued at all.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Number of queued opens.
    #[must_use]
    pub fn len(&self) -> usize {
        self.opens.len()
    }

    /// Whether no open waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.opens.is_empty()
    }

    /// The queued open of `flow`.
    pub fn get_mut(&mut self, flow: Flow) -> Option<&mut QueuedOpen<T>> {
        self.opens.iter_mut().find(|o| o.flow == flow)
    }

    /// Slot time of the queued opens that are served before one of this rank.
    fn work_ahead(&self, rank: Rank, now: Instant) -> Duration {
        self.opens.iter().filter(|o| o.rank(now) <= rank).map(|o| o.work).sum()
    }

    /// Time until an open would be delivered, if the target is busy for `busy` and has
    /// `slots`.
    fn expected_wait<U>(
        &self,
        open: &QueuedOpen<U>,
        busy: Duration,
        slots: u32,
        now: Instant,
    ) -> Duration {
        busy + self.work_ahead(open.rank(now), now) / slots.max(1)
    }

    /// Whether an open would be delivered before its caller gives up.
    ///
    /// # Errors
    ///
    /// Gives the refusal of one that would not be.
    pub fn check<U>(
        &self,
        open: &QueuedOpen<U>,
        busy: Duration,
        slots: u32,
        now: Instant,
    ) -> Result<(), Refusal> {
        let rank = open.rank(now);
        let fits = !self.is_full() || self.opens.iter().any(|o| o.rank(now) > rank);
        let in_time =
            self.expected_wait(open, busy, slots, now) <= open.patience(&self.policy, now);
        if fits && in_time { Ok(()) } else { Err(Refusal::Overload) }
    }

    fn is_full(&self) -> bool {
        self.opens.len() >= self.policy.max_len as usize
    }

    /// Adds an open. Returns the one that would be served last if that makes too many.
    pub fn push(&mut self, open: QueuedOpen<T>, now: Instant) -> Option<QueuedOpen<T>> {
        self.next_check.get_or_insert(now + self.policy.check_interval);
        let full = self.is_full();
        self.opens.push(open);
        let last = self.opens.iter().map(|o| o.rank(now)).max().filter(|_| full)?;
        let n = self.opens.iter().rposition(|o| o.rank(now) == last)?;
        Some(self.opens.swap_remove(n))
    }

    /// Removes the open that is served next.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedOpen<T>> {
        let live = || self.opens.iter().enumerate().filter(|(_, o)| !o.is_lapsed(now));
        let (first, urgent) = live().min_by_key(|(_, o)| o.rank(now))?;
        let others = live().filter(|(_, o)| o.needs.priority > urgent.needs.priority);
        let n = match others.min_by_key(|(_, o)| o.since) {
            Some((_, longest)) if self.passed_over >= self.policy.fair_share => {
                self.passed_over = 0;
                let alike = live().filter(|(_, o)| o.needs.priority == longest.needs.priority);
                alike.min_by_key(|(_, o)| o.rank(now)).map_or(first, |(n, _)| n)
            }
            Some(_) => {
                self.passed_over += 1;
                first
            }
            None => {
                self.passed_over = 0;
                first
            }
        };
        Some(self.opens.swap_remove(n))
    }

    /// Adds an open that was removed a moment ago.
    pub fn put_back(&mut self, open: QueuedOpen<T>, now: Instant) {
        self.next_check.get_or_insert(now + self.policy.check_interval);
        self.opens.push(open);
    }

    /// Removes all opens, in the order in which they would have been served.
    pub fn drain(&mut self, now: Instant) -> Vec<QueuedOpen<T>> {
        self.opens.sort_by_key(|o| o.rank(now));
        self.next_check = None;
        std::mem::take(&mut self.opens)
    }

    /// Removes the open of `flow`.
    pub fn remove(&mut self, flow: Flow) -> Option<QueuedOpen<T>> {
        let n = self.opens.iter().position(|o| o.flow == flow)?;
        Some(self.opens.swap_remove(n))
    }

    /// When [`OpenQueue::expire`] has to be called.
    #[must_use]
    pub const fn next_check(&self) -> Option<Instant> {
        self.next_check
    }

    /// Removes the opens that were not renewed in time, and those that will not be delivered
    /// before their callers give up: the target is busy for `busy`, and has `slots`.
    pub fn expire(&mut self, busy: Duration, slots: u32, now: Instant) -> Vec<Dropped<T>> {
        if self.next_check.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let mut ahead = Duration::ZERO;
        let mut dropped = Vec::new();
        for open in self.drain(now) {
            let wait = busy + ahead / slots.max(1);
            let refusal = if open.is_lapsed(now) {
                None
            } else if wait >= open.patience(&self.policy, now) {
                // Where the caller has time left, only this target is slow.
                Some(if open.is_late(now) { Refusal::Overload } else { Refusal::Busy })
            } else {
                ahead += open.work;
                self.opens.push(open);
                continue;
            };
            dropped.push(Dropped { open, refusal });
        }
        self.next_check = (!self.opens.is_empty()).then(|| now + self.policy.check_interval);
        dropped
    }
}
