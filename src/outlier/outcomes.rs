//! Recent outcomes of requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::policy::OutlierPolicy;

/// Most outcomes kept; at more in one window, the newest decide.
const MAX_OUTCOMES: usize = 256;

/// Longest pause between two failures without a success that count together, so that a
/// target with few requests is judged as well.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Outcomes in a sliding window, and the failures since the last success.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Time and weight of each outcome; the weight of a success is 0.
    recent: VecDeque<(Instant, u32)>,
    /// Weight of the failures since the last success.
    run: u32,
    last_failure: Option<Instant>,
}

impl Outcomes {
    /// Records a request that was answered in time.
    pub fn record_success(&mut self, now: Instant) {
        self.run = 0;
        self.push(0, now);
    }

    /// Records a failure that counts as `weight`.
    pub fn record_failure(&mut self, weight: u32, now: Instant) {
        if self.last_failure.is_some_and(|at| now.saturating_duration_since(at) > MAX_PAUSE) {
            self.run = 0;
        }
        self.run = self.run.saturating_add(weight);
        self.last_failure = Some(now);
        self.push(weight, now);
    }

    /// Forgets all outcomes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Failures in the last `window`.
    #[must_use]
    pub fn failures(&self, window: Duration, now: Instant) -> usize {
        self.within(window, now).filter(|weight| *weight > 0).count()
    }

    /// Successes in the last `window`.
    #[must_use]
    pub fn successes(&self, window: Duration, now: Instant) -> usize {
        self.within(window, now).filter(|weight| *weight == 0).count()
    }

    /// Whether the failures are enough, and enough of all outcomes, to set the target aside.
    #[must_use]
    pub fn is_dominated_by_failures(&self, policy: &OutlierPolicy, now: Instant) -> bool {
        if self.run >= policy.min_failures {
            return true;
        }
        let weight: u32 = self.within(policy.window, now).sum();
        let failures = self.failures(policy.window, now) as f64;
        let all = self.within(policy.window, now).count() as f64;
        weight >= policy.min_failures && failures >= all * policy.min_share
    }

    fn within(&self, window: Duration, now: Instant) -> impl Iterator<Item = u32> {
        let is_recent =
            move |(at, _): &&(Instant, u32)| now.saturating_duration_since(*at) < window;
        self.recent.iter().rev().take_while(is_recent).map(|(_, weight)| *weight)
    }

    fn push(&mut self, weight: u32, now: Instant) {
        if self.recent.len() >= MAX_OUTCOMES {
            self.recent.pop_front();
        }
        self.recent.push_back((now, weight));
    }
}
