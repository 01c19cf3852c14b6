//! What became of the callers' requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Width of the windows in which requests are counted by when they began.
pub const WINDOW: Duration = Duration::from_millis(500);

/// Longest answer time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
const LATE_WORTH: f64 = 0.3;

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Benefit {
    /// All of them.
    pub owed: u32,
    /// Those answered within their aim.
    pub served: u32,
    /// Those answered later.
    pub late: u32,
}

impl Benefit {
    /// Part of what the requests are worth to their callers that the answers
    /// were worth.
    #[must_use]
    pub fn worth(&self) -> f64 {
        if self.owed == 0 {
            return 1.0;
        }
        (f64::from(self.served) + LATE_WORTH * f64::from(self.late)) / f64::from(self.owed)
    }
}

/// Requests that began in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Window {
    /// All of them.
    pub owed: u32,
    /// Those answered within their aim.
    pub served: u32,
}

impl Window {
    /// Part of the requests that were served in time.
    #[must_use]
    pub fn part(&self) -> f64 {
        if self.owed == 0 { 1.0 } else { f64::from(self.served) / f64::from(self.owed) }
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
    times: Histogram<u64>,
    /// By the time at which requests began.
    pub windows: Vec<Window>,
    /// By class.
    pub classes: Vec<Benefit>,
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
    pub doubled: u32,
}

impl Default for Stats {
    fn default() -> Self {
        // The bounds are constants of which the second is above twice the first.
        let times = Histogram::new_with_bounds(1, LONGEST_MS, 3)
            .unwrap_or_else(|e| unreachable!("histogram of 1 to {LONGEST_MS} ms: {e}"));
        Self {
            served: 0,
            late: 0,
            refused: 0,
            lost: 0,
            times,
            windows: Vec::new(),
            classes: Vec::new(),
            flows: 0,
            messages: 0,
            message_bytes: 0,
            broken: 0,
            misrouted: 0,
            doubled: 0,
        }
    }
}

impl Stats {
    /// Counts a request of `class` that began `from` after the start and ended
    /// as `end` after `took`.
    pub fn end(&mut self, class: usize, from: Duration, took: Duration, end: End) {
        // Far below the type's limit.
        let n = (from.as_millis() / WINDOW.as_millis()) as usize;
        let window = entry(&mut self.windows, n);
        let earned = entry(&mut self.classes, class);
        window.owed += 1;
        earned.owed += 1;
        match end {
            End::Served => {
                self.served += 1;
                window.served += 1;
                earned.served += 1;
            }
            End::Late => {
                self.late += 1;
                earned.late += 1;
            }
            End::Refused => self.refused += 1,
            End::Lost => self.lost += 1,
        }
        if matches!(end, End::Served | End::Late) {
            let ms = u64::try_from(took.as_millis()).unwrap_or(LONGEST_MS);
            self.times.saturating_record(ms.max(1));
        }
    }

    /// Requests in all.
    #[must_use]
    pub const fn owed(&self) -> u32 {
        self.served + self.late + self.refused + self.lost
    }

    /// Part of the requests that were served in time.
    #[must_use]
    pub fn part(&self) -> f64 {
        Window { owed: self.owed(), served: self.served }.part()
    }

    /// The answer time below which a part `q` of the answers lies, in
    /// milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, q: f64) -> u64 {
        self.times.value_at_quantile(q)
    }

    /// Messages for each flow.
    #[must_use]
    pub fn per_flow(&self) -> f64 {
        self.messages as f64 / f64::from(self.flows.max(1))
    }

    /// Part served in time of the requests that began in `from` to `to` after
    /// the start.
    #[must_use]
    pub fn between(&self, from: Duration, to: Duration) -> f64 {
        self.sum(from, to).part()
    }

    /// Requests that began between `from` and `to`.
    #[must_use]
    pub fn began(&self, from: Duration, to: Duration) -> u32 {
        self.sum(from, to).owed
    }

    fn sum(&self, from: Duration, to: Duration) -> Window {
        // Far below the type's limit.
        let n = |at: Duration| (at.as_millis() / WINDOW.as_millis()) as usize;
        let seen = self.windows.iter().take(n(to)).skip(n(from));
        seen.fold(Window::default(), |sum, w| Window {
            owed: sum.owed + w.owed,
            served: sum.served + w.served,
        })
    }
}

/// The `n`-th of `all`, which grows to hold it.
fn entry<T: Clone + Default>(all: &mut Vec<T>, n: usize) -> &mut T {
    if all.len() <= n {
        all.resize(n + 1, T::default());
    }
    &mut all[n]
}
