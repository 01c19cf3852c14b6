//! How much work an open flow brings, measured at one target.
//!
//! Long flows are placed once and bring requests for as long as they last.
//! The requests waiting at the moment say what a short flow meets; they do not
//! say what a long one adds. The mean number of waiting requests per open
//! flow, over the last seconds, says that.

use std::time::{Duration, Instant};

use crate::agent::placement::LOAD_PER_SLOT;

/// Over how long the mean is taken: averages over several requests of a flow.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Waiting requests per open flow before anything was measured: one request
/// a second of 40 ms.
const INITIAL_MEAN: f64 = 0.04;

/// Bounds of the measured mean: a flow that never asks still costs its
/// target a little, and one that always asks takes one slot.
const MEAN_RANGE: (f64, f64) = (0.005, 1.0);

/// The running mean.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    last_sample: Option<Instant>,
    /// Seconds of waiting requests, and of open flows, decayed over [`TIME_CONSTANT`].
    waiting_secs: f64,
    flow_secs: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self { last_sample: None, waiting_secs: INITIAL_MEAN, flow_secs: 1.0 }
    }
}

impl LoadEstimate {
    /// Until `now`, `waiting` requests waited on `flows` open flows.
    pub fn observe(&mut self, waiting: u32, flows: usize, now: Instant) {
        let Some(before) = self.last_sample.replace(now) else { return };
        let dt = now.saturating_duration_since(before).as_secs_f64();
        let keep = (-dt / TIME_CONSTANT.as_secs_f64()).exp();
        let flows = f64::from(u32::try_from(flows).unwrap_or(u32::MAX));
        self.waiting_secs = self.waiting_secs * keep + f64::from(waiting) * dt;
        self.flow_secs = self.flow_secs * keep + flows * dt;
    }

    /// The load that one open flow stands for, in units of
    /// [`crate::agent::placement::backlog_load`].
    #[must_use]
    pub fn per_flow(&self) -> u32 {
        let mean =
            if self.flow_secs > 0.0 { self.waiting_secs / self.flow_secs } else { INITIAL_MEAN };
        // Bounded above by one slot, so the cast keeps the value.
        (mean.clamp(MEAN_RANGE.0, MEAN_RANGE.1) * f64::from(LOAD_PER_SLOT)) as u32
    }
}
