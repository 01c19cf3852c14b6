//! Results of a run: outcomes and latencies of requests, message counts and
//! correctness violations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Length of the windows of [`Stats::windows`].
pub const WINDOW_LENGTH: Duration = Duration::from_millis(500);

/// Upper bound of the latency histogram, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within its latency goal.
    Served,
    /// Answered after its latency goal.
    Late,
    /// Refused before execution, by the load balancer or by a full target.
    Refused,
    /// Cut off by a reset, failed by its target, or timed out.
    Lost,
}

/// Utility of a late response, where one in time has utility 1.
const LATE_UTILITY: f64 = 0.3;

/// Outcomes of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassStats {
    /// All requests.
    #[serde(rename = "owed")]
    pub requests: u32,
    /// Requests answered within their latency goal.
    pub served: u32,
    /// Requests answered after it.
    pub late: u32,
}

impl ClassStats {
    /// Mean utility of the requests, between 0 and 1.
    #[must_use]
    pub fn utility(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        (f64::from(self.served) + LATE_UTILITY * f64::from(self.late)) / f64::from(self.requests)
    }
}

/// Outcomes of the requests that began in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WindowStats {
    /// All requests.
    #[serde(rename = "owed")]
    pub requests: u32,
    /// Requests answered within their latency goal.
    pub served: u32,
}

impl WindowStats {
    fn record(&mut self, in_time: bool) {
        self.requests += 1;
        self.served += u32::from(in_time);
    }

    /// Share of the requests answered within their latency goal.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { f64::from(self.served) / f64::from(self.requests) }
    }
}

/// What a target executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStats {
    /// Index of its service in [`Site::services`](super::Site::services).
    pub service: usize,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Time that completed requests spent in its slots.
    pub busy: Duration,
}

impl TargetStats {
    /// Time for which its mean slot was busy, in seconds.
    fn slot_secs(&self) -> f64 {
        self.busy.as_secs_f64() / f64::from(self.slots.max(1))
    }
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Requests answered within their latency goal.
    pub served: u32,
    /// Requests answered after it.
    pub late: u32,
    /// Requests refused before execution.
    pub refused: u32,
    /// Requests cut off by a reset, failed by their targets, or timed out.
    pub lost: u32,
    /// Time to the response of answered requests.
    latencies_ms: Histogram<u64>,
    /// Outcomes by the time at which requests began.
    pub windows: Vec<WindowStats>,
    /// Outcomes by request class.
    pub classes: Vec<ClassStats>,
    /// Outcomes by request class and the time at which requests began.
    pub class_windows: Vec<Vec<WindowStats>>,
    /// What each target executed.
    pub targets: Vec<TargetStats>,
    /// Flows that callers opened or tried to open.
    pub flows: u32,
    /// Messages between balancers and agents, except those that forward a packet
    /// to the agent that owns its flow.
    pub messages: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
    /// Established flows that were reset although their target still held them.
    pub broken: u32,
    /// Flows of which at least three packets reached other targets, and none
    /// their own, over at least 2 s.
    pub misrouted: u32,
    /// Non-idempotent requests that were executed more than once.
    pub duplicated: u32,
    /// New flows at a target while another one held them.
    pub opened_twice: u32,
    /// New flows at targets of a data centre that had been evacuated for longer than the
    /// bound.
    pub in_evacuated: u32,
    /// New flows beyond what their cold target may get in a second.
    pub over_cold_limit: u32,
    /// Crashes of cold targets that got more requests than they bear.
    pub cold_crashes: u32,
}

impl Default for Stats {
    fn default() -> Self {
        // Valid bounds: the upper one is at least twice the lower one.
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
            class_windows: Vec::new(),
            targets: Vec::new(),
            flows: 0,
            messages: 0,
            message_bytes: 0,
            broken: 0,
            misrouted: 0,
            duplicated: 0,
            opened_twice: 0,
            in_evacuated: 0,
            over_cold_limit: 0,
            cold_crashes: 0,
        }
    }
}

impl Stats {
    /// Counts a request of `class` that began at `began`, measured from the start
    /// of the run, and ended after `latency`.
    pub fn record_request(
        &mut self,
        class: usize,
        began: Duration,
        latency: Duration,
        outcome: Outcome,
    ) {
        // A run has a few dozen windows.
        let n = (began.as_millis() / WINDOW_LENGTH.as_millis()) as usize;
        let window = entry_mut(&mut self.windows, n);
        let by_class = entry_mut(&mut self.classes, class);
        entry_mut(entry_mut(&mut self.class_windows, class), n).record(outcome == Outcome::Served);
        window.record(outcome == Outcome::Served);
        by_class.requests += 1;
        match outcome {
            Outcome::Served => {
                self.served += 1;
                by_class.served += 1;
            }
            Outcome::Late => {
                self.late += 1;
                by_class.late += 1;
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Lost => self.lost += 1,
        }
        if matches!(outcome, Outcome::Served | Outcome::Late) {
            let ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
            self.latencies_ms.saturating_record(ms.max(1));
        }
    }

    /// Number of requests.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.served + self.late + self.refused + self.lost
    }

    /// Share of the requests answered within their latency goal.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        WindowStats { requests: self.requests(), served: self.served }.served_ratio()
    }

    /// Latency of answered requests at quantile `q`, between 0 and 1, in
    /// milliseconds.
    #[must_use]
    pub fn latency_quantile_ms(&self, q: f64) -> u64 {
        self.latencies_ms.value_at_quantile(q)
    }

    /// Mean number of messages per flow; see [`Stats::messages`].
    #[must_use]
    pub fn messages_per_flow(&self) -> f64 {
        self.messages as f64 / f64::from(self.flows.max(1))
    }

    /// Share answered within their latency goal of the requests that began
    /// between `from` and `to`, measured from the start of the run.
    #[must_use]
    pub fn served_ratio_between(&self, from: Duration, to: Duration) -> f64 {
        sum_windows(&self.windows, from, to).served_ratio()
    }

    /// Number of requests that began between `from` and `to`, measured from the
    /// start of the run.
    #[must_use]
    pub fn requests_between(&self, from: Duration, to: Duration) -> u32 {
        sum_windows(&self.windows, from, to).requests
    }

    /// Outcomes of the requests of a class that began between `from` and `to`, measured
    /// from the start of the run.
    #[must_use]
    pub fn class_between(&self, class: usize, from: Duration, to: Duration) -> WindowStats {
        let windows = self.class_windows.get(class).map_or(&[][..], Vec::as_slice);
        sum_windows(windows, from, to)
    }

    /// How much longer slots of the busiest target of a service were busy than those of
    /// its mean target, as a factor.
    #[must_use]
    pub fn busiest_to_mean(&self, service: usize) -> f64 {
        let of_service = self.targets.iter().filter(|t| t.service == service);
        let busy: Vec<f64> = of_service.map(TargetStats::slot_secs).collect();
        let sum: f64 = busy.iter().sum();
        let busiest = busy.iter().copied().fold(0.0, f64::max);
        if sum > 0.0 { busiest * busy.len() as f64 / sum } else { 1.0 }
    }
}

/// Sum of the windows between `from` and `to`, measured from the start of the run.
fn sum_windows(windows: &[WindowStats], from: Duration, to: Duration) -> WindowStats {
    // A run has a few dozen windows.
    let n = |at: Duration| (at.as_millis() / WINDOW_LENGTH.as_millis()) as usize;
    let windows = windows.iter().take(n(to)).skip(n(from));
    windows.fold(WindowStats::default(), |sum, w| WindowStats {
        requests: sum.requests + w.requests,
        served: sum.served + w.served,
    })
}

/// Element `n` of `all`, which is extended with defaults if it is shorter.
fn entry_mut<T: Clone + Default>(all: &mut Vec<T>, n: usize) -> &mut T {
    if all.len() <= n {
        all.resize(n + 1, T::default());
    }
    &mut all[n]
}
