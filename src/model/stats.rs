//! What became of the callers' requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Width of the windows in which requests are counted by when they began.
pub const WINDOW_LENGTH: Duration = Duration::from_millis(500);

/// Longest answer time that is told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within its aim.
    Served,
    /// Answered later.
    Late,
    /// Refused as not run, by the system or its target.
    Refused,
    /// Cut off or given up at its time limit.
    Lost,
}

/// What a late answer is worth to its caller, as a part of one in time: what
/// operators of three sites gave for each of their classes.
const LATE_UTILITY: f64 = 0.3;

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassStats {
    /// All of them.
    #[serde(rename = "owed")]
    pub requests: u32,
    /// Those answered within their aim.
    pub served: u32,
    /// Those answered later.
    pub late: u32,
}

impl ClassStats {
    /// Part of what the requests are worth to their callers that the answers
    /// were worth.
    #[must_use]
    pub fn utility(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        (f64::from(self.served) + LATE_UTILITY * f64::from(self.late)) / f64::from(self.requests)
    }
}

/// Requests that began in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WindowStats {
    /// All of them.
    #[serde(rename = "owed")]
    pub requests: u32,
    /// Those answered within their aim.
    pub served: u32,
}

impl WindowStats {
    /// Part of the requests that were served in time.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { f64::from(self.served) / f64::from(self.requests) }
    }
}

/// Totals of one run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Requests answered within their aim.
    pub served: u32,
    /// Requests answered later.
    pub late: u32,
    /// Requests refused as not run.
    pub refused: u32,
    /// Requests cut off or given up.
    pub lost: u32,
    /// Answer times in milliseconds.
    latencies_ms: Histogram<u64>,
    /// By the time at which requests began.
    pub windows: Vec<WindowStats>,
    /// By class.
    pub classes: Vec<ClassStats>,
    /// Flows that callers opened or tried to open.
    pub flows: u32,
    /// Messages between balancers and agents, but for those that carry a packet
    /// of a flow to the agent that holds it.
    pub messages: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
    /// Open flows that were reset although their target held them.
    pub broken: u32,
    /// Flows of which three packets or more reached targets that do not hold
    /// them, and none their own for 2 s.
    pub misrouted: u32,
    /// Requests that ran twice although they may not.
    pub duplicates: u32,
}

impl Default for Stats {
    fn default() -> Self {
        // The bounds are constants of which the second is above twice the first.
        let times = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3)
            .unwrap_or_else(|e| unreachable!("histogram of 1 to {MAX_LATENCY_MS} ms: {e}"));
        Self {
            served: 0,
            late: 0,
            refused: 0,
            lost: 0,
            latencies_ms: times,
            windows: Vec::new(),
            classes: Vec::new(),
            flows: 0,
            messages: 0,
            message_bytes: 0,
            broken: 0,
            misrouted: 0,
            duplicates: 0,
        }
    }
}

impl Stats {
    /// Counts a request of `class` that began `from` after the start and ended
    /// as `end` after `took`.
    pub fn record_request(&mut self, class: usize, from: Duration, took: Duration, end: Outcome) {
        // Far below the type's limit.
        let n = (from.as_millis() / WINDOW_LENGTH.as_millis()) as usize;
        let window = entry_mut(&mut self.windows, n);
        let earned = entry_mut(&mut self.classes, class);
        window.requests += 1;
        earned.requests += 1;
        match end {
            Outcome::Served => {
                self.served += 1;
                window.served += 1;
                earned.served += 1;
            }
            Outcome::Late => {
                self.late += 1;
                earned.late += 1;
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Lost => self.lost += 1,
        }
        if matches!(end, Outcome::Served | Outcome::Late) {
            let ms = u64::try_from(took.as_millis()).unwrap_or(MAX_LATENCY_MS);
            self.latencies_ms.saturating_record(ms.max(1));
        }
    }

    /// Requests in all.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.served + self.late + self.refused + self.lost
    }

    /// Part of the requests that were served in time.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        WindowStats { requests: self.requests(), served: self.served }.served_ratio()
    }

    /// The answer time below which a part `q` of the answers lies, in
    /// milliseconds.
    #[must_use]
    pub fn latency_quantile_ms(&self, q: f64) -> u64 {
        self.latencies_ms.value_at_quantile(q)
    }

    /// Messages for each flow.
    #[must_use]
    pub fn messages_per_flow(&self) -> f64 {
        self.messages as f64 / f64::from(self.flows.max(1))
    }

    /// Part served in time of the requests that began in `from` to `to` after
    /// the start.
    #[must_use]
    pub fn served_ratio_between(&self, from: Duration, to: Duration) -> f64 {
        self.sum_windows(from, to).served_ratio()
    }

    /// Requests that began between `from` and `to`.
    #[must_use]
    pub fn requests_between(&self, from: Duration, to: Duration) -> u32 {
        self.sum_windows(from, to).requests
    }

    fn sum_windows(&self, from: Duration, to: Duration) -> WindowStats {
        // Far below the type's limit.
        let n = |at: Duration| (at.as_millis() / WINDOW_LENGTH.as_millis()) as usize;
        let seen = self.windows.iter().take(n(to)).skip(n(from));
        seen.fold(WindowStats::default(), |sum, w| WindowStats {
            requests: sum.requests + w.requests,
            served: sum.served + w.served,
        })
    }
}

/// The `n`-th of `all`, which grows to hold it.
fn entry_mut<T: Clone + Default>(all: &mut Vec<T>, n: usize) -> &mut T {
    if all.len() <= n {
        all.resize(n + 1, T::default());
    }
    &mut all[n]
}
