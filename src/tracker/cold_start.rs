//! Limits the new flows of a cold target: one that has just started bears only so many
//! requests a second, those of open flows included.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::protocol::WarmUp;

/// Length of the sliding window. Longer than the second that limits are stated for, as
/// packets may reach the target closer together than they were sent.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Counts the requests that the target was given in a sliding window: new flows, each of
/// which brings one, and further requests of open flows.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    /// When each request of the last window was given to the target.
    given: VecDeque<Instant>,
    /// Requests recorded since the last [`ColdStart::finish_batch`].
    batch_len: usize,
    /// Until when requests given by an earlier process of the agent may be in the window.
    unknown_until: Option<Instant>,
    /// Latest known time at which the target may have become cold without a restart.
    chilled_at: Option<Instant>,
}

impl ColdStart {
    /// Records that an earlier process of the agent may have given requests to the target
    /// until `now`.
    pub fn mark_unknown(&mut self, now: Instant) {
        self.unknown_until = Some(now + WINDOW);
    }

    /// Records that the target may have become cold at `at`: its data centre was taken
    /// back after an evacuation.
    pub fn mark_chilled(&mut self, at: Instant) {
        self.chilled_at = self.chilled_at.max(Some(at));
    }

    /// Whether the target may have become cold since it reported at `last_report`.
    #[must_use]
    pub fn may_be_chilled(&self, last_report: Instant) -> bool {
        self.chilled_at.is_some_and(|at| last_report <= at)
    }

    /// Records a request given to the target.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        self.given.push_back(now);
        self.batch_len += 1;
    }

    /// Moves the requests recorded since the last call to `now`, as the process may have
    /// been delayed between reading the clock and sending them.
    pub fn finish_batch(&mut self, now: Instant) {
        for at in self.given.iter_mut().rev().take(std::mem::take(&mut self.batch_len)) {
            *at = now;
        }
    }

    /// Whether a cold target may be given another flow, at `limit` requests a second.
    #[must_use]
    pub fn allows(&self, limit: f64, now: Instant) -> bool {
        let in_window =
            self.given.iter().rev().take_while(|at| now.duration_since(**at) < WINDOW).count();
        // Far fewer than 2^53 requests.
        self.unknown_until.is_none_or(|until| now >= until) && in_window as f64 + 1.0 <= limit
    }

    fn expire(&mut self, now: Instant) {
        while self.given.front().is_some_and(|at| now.duration_since(*at) >= WINDOW) {
            self.given.pop_front();
        }
    }
}

/// How many requests of a cold target are allowed beyond the rate that it bears, as an
/// operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests a second on top of it.
    pub slack: f64,
}

impl Default for ColdAllowance {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl ColdAllowance {
    /// Requests that a cold target of a service with `warm_up` may be given a second.
    #[must_use]
    pub fn request_limit(&self, warm_up: WarmUp) -> f64 {
        f64::from(warm_up.milli_rate) / 1_000.0 * self.overage + self.slack
    }
}
