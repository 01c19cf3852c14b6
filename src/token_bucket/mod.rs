//! A token bucket: bounds work that would otherwise grow with trouble.

use std::time::{Duration, Instant};

/// Slowest rate that is told from none, in tokens a second.
const MIN_RATE: f64 = 0.001;

/// Longest wait, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// Shortest wait: finer than the timers of a busy process.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Tokens that come at a rate, up to a bound, and that work takes.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// A full bucket of `most` tokens.
    #[must_use]
    pub const fn new(most: f64) -> Self {
        Self { tokens: most, capacity: most, refilled_at: None }
    }

    /// Adds what has come since the last call at `rate` tokens a second.
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let before = self.refilled_at.replace(now).unwrap_or(now);
        self.add(rate * now.saturating_duration_since(before).as_secs_f64());
    }

    /// Adds tokens.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes a token, if there is one.
    pub fn try_take(&mut self) -> bool {
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }

    /// How long at `rate` tokens a second until there is one; never so short
    /// that waiting for it would be a busy loop.
    #[must_use]
    pub fn time_to_token(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / rate.max(MIN_RATE)).min(MAX_WAIT_S)).max(MIN_WAIT)
    }
}
