//! The target beside an agent, as it reports itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Reports of an earlier start are remembered for this many starts, so that a
/// late one is not taken for a new start.
const MAX_EARLIER: usize = 8;

/// Number of a target's first report.
const FIRST_REPORT: u64 = 1;

/// Highest number of a report that a target makes within its first moments,
/// when no process beside it answers: it tries again about ten times a second.
const MAX_EARLY_REPORT: u64 = 4;

/// How long after the agent began to take reports an early one comes from a
/// target that nobody had answered before: that target tries again each 0.1 s,
/// and the agent's start-up on a small share of a core delays it by as much
/// again. A target whose last report was answered is silent for about 1 s, so
/// that it is mistaken for the other one time in six, not always.
const EARLY_REPORT_WINDOW: Duration = Duration::from_millis(200);

/// How long after its last report a start is taken as alive, so that a report
/// of one that was born before it is late: two of the longest pauses between
/// reports (1.2 s). After that the VM's time of day may have stepped back
/// between the two starts, and the report is heard.
const LIVENESS_WINDOW: Duration = Duration::from_millis(2_400);

/// One start of a target, which may start again under the identity that it had
/// before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{id}{}", started_ms.map(|ms| format!("@{ms}")).unwrap_or_default())]
pub struct Incarnation {
    /// The target's identity.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds by its VM's time of day; none where
    /// targets do not say.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

impl From<&str> for Incarnation {
    /// The start of a target that does not say when it started.
    fn from(id: &str) -> Self {
        Self { id: id.into(), started_ms: None }
    }
}

/// An earlier process of the agent, as far as the store tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The start of the target for which it is known to have taken flows.
    pub incarnation: Incarnation,
    /// When the present process began to take the target's reports.
    pub replaced_at: Instant,
}

impl Predecessor {
    /// Whether `report` shows that the earlier process took no flows for the
    /// start that sent it.
    ///
    /// That the store names another start is not enough: the earlier process
    /// may have met the start of `report` while the store was away. Then it
    /// answered the start's reports, and the next one is not a retry.
    fn missed_start(&self, report: &Report, now: Instant) -> bool {
        let retried = now.saturating_duration_since(self.replaced_at) <= EARLY_REPORT_WINDOW;
        self.incarnation != report.incarnation && report.seq <= MAX_EARLY_REPORT && retried
    }
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TargetState {
    /// It does.
    #[display("ready")]
    Ready,
    /// It is about to leave.
    #[display("draining")]
    Draining,
}

/// One report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The start of the target that made it.
    pub incarnation: Incarnation,
    /// The service it runs.
    pub service: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
    /// Counts the reports of one start.
    pub seq: u64,
}

/// Why a report is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IgnoreReason {
    /// It is of another service.
    #[display("report_of_other_service")]
    OtherService,
    /// It is of a start that another one has followed.
    #[display("report_of_earlier_start")]
    EarlierIncarnation,
    /// It does not say when its target started, as the target's own reports do.
    #[display("report_without_start")]
    MissingStartTime,
}

/// The target as last reported.
#[derive(Clone, Debug)]
pub struct Target {
    incarnation: Incarnation,
    earlier: Vec<Incarnation>,
    /// When it last reported.
    last_report: Instant,
    slots: u32,
    state: TargetState,
    warm_at: Instant,
    seq: u64,
    all_flows_known: bool,
    /// It is complete only because the earlier process missed its start.
    presumed: bool,
    ended: bool,
}

impl Target {
    /// A target first heard of by `report`; `before` is the one that ran here
    /// until then, `earlier` the process of the agent before this one.
    ///
    /// Its flows are all known if its start was seen, by its first report or
    /// after another's. Where both started at once (the VM lost power), the
    /// first reports met no agent; then an early one is enough if the earlier
    /// process missed this start.
    #[must_use]
    pub fn new(
        report: &Report,
        before: Option<&Self>,
        earlier: Option<&Predecessor>,
        now: Instant,
    ) -> Self {
        let missed = earlier.is_some_and(|e| e.missed_start(report, now));
        let seen = before.is_some() || report.seq <= FIRST_REPORT;
        let mut starts = before.map(|t| t.earlier.clone()).unwrap_or_default();
        starts.extend(before.map(|t| t.incarnation.clone()));
        let excess = starts.len().saturating_sub(MAX_EARLIER);
        starts.drain(..excess);
        Self {
            incarnation: report.incarnation.clone(),
            earlier: starts,
            last_report: now,
            slots: report.slots,
            state: report.state,
            warm_at: now + report.warmup,
            seq: report.seq,
            all_flows_known: seen || missed,
            presumed: missed && !seen,
            ended: false,
        }
    }

    /// Takes a later report; says whether the state changed.
    pub fn update(&mut self, report: &Report, now: Instant) -> bool {
        if report.seq < self.seq {
            return false;
        }
        self.last_report = now;
        self.seq = report.seq;
        self.slots = report.slots;
        self.warm_at = now + report.warmup;
        let changed = self.state != report.state;
        self.state = report.state;
        changed
    }

    /// Which start of the target it is.
    #[must_use]
    pub const fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Why a report of `start` is none of this target's or of one that follows
    /// it.
    #[must_use]
    pub fn ignore_reason(&self, start: &Incarnation, now: Instant) -> Option<IgnoreReason> {
        let over = self.earlier.contains(start) || self.ended && self.incarnation == *start;
        if over || self.is_newer_than(start, now) {
            return Some(IgnoreReason::EarlierIncarnation);
        }
        (self.incarnation.started_ms.is_some() && start.started_ms.is_none())
            .then_some(IgnoreReason::MissingStartTime)
    }

    /// Whether `start` came before this one, by the time of day of their VM.
    fn is_newer_than(&self, start: &Incarnation, now: Instant) -> bool {
        let alive =
            !self.ended && now.saturating_duration_since(self.last_report) < LIVENESS_WINDOW;
        alive
            && start
                .started_ms
                .zip(self.incarnation.started_ms)
                .is_some_and(|(theirs, ours)| theirs < ours)
    }

    /// Requests it works on at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether it takes new flows.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        self.state == TargetState::Ready && !self.ended
    }

    /// Whether its process is not known to be over.
    #[must_use]
    pub const fn is_alive(&self) -> bool {
        !self.ended
    }

    /// Its process is over.
    pub const fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Its state as last reported.
    #[must_use]
    pub const fn state(&self) -> TargetState {
        self.state
    }

    /// Whether every flow of this start has passed the agent.
    #[must_use]
    pub const fn all_flows_known(&self) -> bool {
        self.all_flows_known
    }

    /// It has flows that an earlier process of the agent opened.
    pub const fn mark_inherited(&mut self) {
        self.all_flows_known &= !self.presumed;
    }

    /// Slots that count as taken while the target is slow after its start.
    #[must_use]
    pub fn warmup_slots(&self, now: Instant) -> u32 {
        u32::from(self.warm_at > now)
    }
}
