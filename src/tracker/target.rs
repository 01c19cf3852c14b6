//! State of an agent's target, from the reports that the target sends to the agent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Predecessor;

/// Number of earlier incarnations stored, so that a delayed report of one of
/// them is not taken for one of a new incarnation.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// Sequence number of an incarnation's first report.
const FIRST_REPORT_SEQ: u64 = 1;

/// How long after its last report an incarnation counts as running: two of the
/// longest pauses between reports (1.2 s). Meanwhile, a report with an earlier start
/// time is a delayed one; afterwards it may be of a new incarnation on a VM whose clock
/// was set back, and is accepted.
const LIVENESS_WINDOW: Duration = Duration::from_millis(2_400);

/// One run of a target's process. Later runs of the target may have the same identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{id}{}", started_ms.map(|ms| format!("@{ms}")).unwrap_or_default())]
pub struct Incarnation {
    /// Identity of the target.
    pub id: Arc<str>,
    /// Start time by the VM's clock, in Unix milliseconds; `None` if the target does
    /// not report it.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

impl From<&str> for Incarnation {
    /// An incarnation without a start time.
    fn from(id: &str) -> Self {
        Self { id: id.into(), started_ms: None }
    }
}

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TargetState {
    /// Accepts new flows.
    #[display("ready")]
    Ready,
    /// Accepts no new flows and is about to stop.
    #[display("draining")]
    Draining,
}

/// A report of a target to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Service that the target runs.
    pub service: String,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Remaining time in which the target is slow after its start.
    pub warmup: Duration,
    /// Sequence number among the reports of the incarnation.
    pub seq: u64,
}

/// Why a report is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IgnoreReason {
    /// It names another service.
    #[display("report_of_other_service")]
    OtherService,
    /// It is from an incarnation that has ended or been replaced.
    #[display("report_of_earlier_start")]
    EarlierIncarnation,
    /// It has no start time, but the current incarnation's reports do.
    #[display("report_without_start")]
    MissingStartTime,
}

/// State of a target as of its last report.
#[derive(Clone, Debug)]
pub struct Target {
    pub(super) incarnation: Incarnation,
    earlier: Vec<Incarnation>,
    last_report: Instant,
    slots: u32,
    state: TargetState,
    warm_at: Instant,
    seq: u64,
    pub(super) all_flows_known: bool,
    /// Sequence number of the incarnation's first received report.
    pub(super) first_seq: u64,
    /// Whether this process has heard the incarnation from its start.
    heard_start: bool,
    /// Whether `all_flows_known` rests only on [`Predecessor::never_served`].
    pub(super) presumed: bool,
    ended: bool,
}

impl Target {
    /// State of a new incarnation after its first received `report`. `previous` is the
    /// incarnation that it replaces, `predecessor` the previous process of the agent.
    ///
    /// All flows are known if this process heard the incarnation's start: its first report, or
    /// the start of one before it. If both started together, as after a power loss, the first
    /// reports may be lost; then `predecessor` may show that no other process served it.
    #[must_use]
    pub fn new(
        report: &Report,
        previous: Option<&Self>,
        predecessor: Option<&Predecessor>,
        now: Instant,
    ) -> Self {
        let heard_start = report.seq <= FIRST_REPORT_SEQ || previous.is_some_and(|t| t.heard_start);
        let never_served =
            predecessor.is_some_and(|p| p.never_served(&report.incarnation, report.seq));
        let mut earlier = previous.map(|t| t.earlier.clone()).unwrap_or_default();
        earlier.extend(previous.map(|t| t.incarnation.clone()));
        let excess = earlier.len().saturating_sub(MAX_EARLIER_INCARNATIONS);
        earlier.drain(..excess);
        Self {
            incarnation: report.incarnation.clone(),
            earlier,
            last_report: now,
            slots: report.slots,
            state: report.state,
            warm_at: now + report.warmup,
            seq: report.seq,
            all_flows_known: heard_start || never_served,
            first_seq: report.seq,
            heard_start,
            presumed: !heard_start,
            ended: false,
        }
    }

    /// Applies a later report of the same incarnation unless it was reordered. Returns
    /// whether the target's state changed.
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

    /// Current incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Why a report of `incarnation` is ignored; `None` if it is of the current
    /// incarnation or a later one.
    #[must_use]
    pub fn ignore_reason(&self, incarnation: &Incarnation, now: Instant) -> Option<IgnoreReason> {
        let over =
            self.earlier.contains(incarnation) || self.ended && self.incarnation == *incarnation;
        if over || self.is_newer_than(incarnation, now) {
            return Some(IgnoreReason::EarlierIncarnation);
        }
        (self.incarnation.started_ms.is_some() && incarnation.started_ms.is_none())
            .then_some(IgnoreReason::MissingStartTime)
    }

    /// Whether the current incarnation runs and started after `other`, by the VM's
    /// clock.
    fn is_newer_than(&self, other: &Incarnation, now: Instant) -> bool {
        let alive =
            !self.ended && now.saturating_duration_since(self.last_report) < LIVENESS_WINDOW;
        alive
            && other
                .started_ms
                .zip(self.incarnation.started_ms)
                .is_some_and(|(theirs, ours)| theirs < ours)
    }

    /// Highest sequence number of the reports received.
    #[must_use]
    pub const fn last_seq(&self) -> u64 {
        self.seq
    }

    /// Requests that the target processes concurrently.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether the target accepts new flows.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        self.state == TargetState::Ready && !self.ended
    }

    /// Whether the target's process is not known to have ended.
    #[must_use]
    pub const fn is_alive(&self) -> bool {
        !self.ended
    }

    /// Records that the target's process has ended.
    pub const fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// State as of the last report.
    #[must_use]
    pub const fn state(&self) -> TargetState {
        self.state
    }

    /// Whether the agent has seen every flow of this incarnation.
    #[must_use]
    pub const fn all_flows_known(&self) -> bool {
        self.all_flows_known
    }

    /// Records that the target has flows accepted by a previous process of the agent.
    pub const fn mark_inherited(&mut self) {
        self.all_flows_known &= !self.presumed;
    }

    /// Whether the target is warming up, as of its last report.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warm_at > now
    }

    /// When the last report was received.
    #[must_use]
    pub const fn last_report(&self) -> Instant {
        self.last_report
    }

    /// Slots that count as busy while the target warms up.
    #[must_use]
    pub fn warmup_slots(&self, now: Instant) -> u32 {
        u32::from(self.is_cold(now))
    }
}
