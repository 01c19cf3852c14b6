//! Token bucket: limits the rate of retries, queries and pings.

use std::time::{Duration, Instant};

/// Lower bound of a rate when computing a wait, in tokens a second.
const MIN_RATE: f64 = 0.001;

/// Longest wait returned, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// Shortest wait returned, so that the code that waits does not busy-loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// A token bucket; the caller passes the refill rate and the clock.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub const fn new(capacity: f64) -> Self {
        Self { tokens: capacity, capacity, refilled_at: None }
    }

    /// Adds the tokens accrued since the last call, at `rate` a second.
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let last = self.refilled_at.replace(now).unwrap_or(now);
        self.add(rate * now.saturating_duration_since(last).as_secs_f64());
    }

    /// Adds `tokens`, up to the capacity.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token; false if there is none.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Time until a token is available at `rate` tokens a second, at least a
    /// millisecond.
    #[must_use]
    pub fn time_to_token(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / rate.max(MIN_RATE)).min(MAX_WAIT_S)).max(MIN_WAIT)
    }
}
