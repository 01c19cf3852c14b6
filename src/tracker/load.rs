//! Estimate of the load that one open flow puts on its target.
//!
//! A long-lived flow is placed once but sends requests as long as it lasts, so the
//! current number of waiting requests does not show what it adds. The estimate is the
//! exponentially weighted mean of waiting requests per open flow.

use std::time::{Duration, Instant};

use crate::agent::placement::LOAD_PER_SLOT;

/// Time constant of the mean. Longer values average over more requests of a flow,
/// shorter ones follow changes in demand sooner.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Waiting requests per open flow before the first measurement: one 40 ms request
/// a second.
const INITIAL_MEAN: f64 = 0.04;

/// Bounds of the mean. An idle flow still counts a little, and a flow that always
/// has a request waiting counts as one slot.
const MEAN_RANGE: (f64, f64) = (0.005, 1.0);

/// Running estimate of the load per open flow.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    last_sample: Option<Instant>,
    /// Request-seconds spent waiting, decayed over [`TIME_CONSTANT`].
    waiting_secs: f64,
    /// Flow-seconds open, decayed over [`TIME_CONSTANT`].
    flow_secs: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self { last_sample: None, waiting_secs: INITIAL_MEAN, flow_secs: 1.0 }
    }
}

impl LoadEstimate {
    /// Records that `waiting` requests waited on `flows` open flows since the
    /// previous call.
    pub fn observe(&mut self, waiting: u32, flows: usize, now: Instant) {
        let Some(previous) = self.last_sample.replace(now) else { return };
        let elapsed = now.saturating_duration_since(previous).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        let flows = f64::from(u32::try_from(flows).unwrap_or(u32::MAX));
        self.waiting_secs = self.waiting_secs * decay + f64::from(waiting) * elapsed;
        self.flow_secs = self.flow_secs * decay + flows * elapsed;
    }

    /// Load that one open flow counts for, in units of
    /// [`crate::agent::placement::backlog_load`].
    #[must_use]
    pub fn per_flow(&self) -> u32 {
        let mean =
            if self.flow_secs > 0.0 { self.waiting_secs / self.flow_secs } else { INITIAL_MEAN };
        // The upper bound is one slot, so the cast does not overflow.
        (mean.clamp(MEAN_RANGE.0, MEAN_RANGE.1) * f64::from(LOAD_PER_SLOT)) as u32
    }
}
