//! The target beside an agent, as it reports itself.

use std::time::{Duration, Instant};

/// Reports of an earlier start are remembered for this many starts, so that a
/// late one is not taken for a new start.
const REMEMBERED: usize = 8;

/// Number of a target's first report.
const FIRST: u64 = 1;

/// Highest number of a report that a target makes within its first moments,
/// when no process beside it answers: it tries again about ten times a second.
const EARLY: u64 = 4;

/// How long after the agent began to take reports an early one comes from a
/// target that nobody had answered before: that target tries again each 0.1 s,
/// and the agent's start-up on a small share of a core delays it by as much
/// again. A target whose last report was answered is silent for about 1 s, so
/// that it is mistaken for the other one time in six, not always.
const RETRIED: Duration = Duration::from_millis(200);

/// An earlier process of the agent, as far as the store tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The start of the target for which it is known to have taken flows.
    pub target: String,
    /// When the present process began to take the target's reports.
    pub until: Instant,
}

impl Predecessor {
    /// Whether `report` shows that the earlier process took no flows for the
    /// start that sent it.
    ///
    /// That the store names another start is not enough: the earlier process
    /// may have met the start of `report` while the store was away. Then it
    /// answered the start's reports, and the next one is not a retry.
    fn missed(&self, report: &Report, now: Instant) -> bool {
        let retried = now.saturating_duration_since(self.until) <= RETRIED;
        self.target != report.id && report.seq <= EARLY && retried
    }
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum State {
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
    /// Identifies one start of the target.
    pub id: String,
    /// The service it runs.
    pub service: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: State,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Counts the target's reports.
    pub seq: u64,
}

/// The target as last reported.
#[derive(Clone, Debug)]
pub struct Target {
    id: String,
    before: Vec<String>,
    slots: u32,
    state: State,
    cold_until: Instant,
    seq: u64,
    complete: bool,
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
        let missed = earlier.is_some_and(|e| e.missed(report, now));
        let seen = before.is_some() || report.seq <= FIRST || missed;
        let mut ids: Vec<String> = before.map(|t| t.before.clone()).unwrap_or_default();
        ids.extend(before.map(|t| t.id.clone()));
        let excess = ids.len().saturating_sub(REMEMBERED);
        ids.drain(..excess);
        Self {
            id: report.id.clone(),
            before: ids,
            slots: report.slots,
            state: report.state,
            cold_until: now + report.cold,
            seq: report.seq,
            complete: seen,
            ended: false,
        }
    }

    /// Takes a later report; says whether the state changed.
    pub fn update(&mut self, report: &Report, now: Instant) -> bool {
        if report.seq < self.seq {
            return false;
        }
        self.seq = report.seq;
        self.slots = report.slots;
        self.cold_until = now + report.cold;
        let changed = self.state != report.state;
        self.state = report.state;
        changed
    }

    /// Its identity.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Whether this start has the identity `id`.
    #[must_use]
    pub fn is(&self, id: &str) -> bool {
        self.id == id
    }

    /// Whether an earlier start, or one that has ended, had the identity `id`.
    #[must_use]
    pub fn was(&self, id: &str) -> bool {
        self.before.iter().any(|b| b == id) || self.ended && self.id == id
    }

    /// Requests it works on at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether it takes new flows.
    #[must_use]
    pub fn takes(&self) -> bool {
        self.state == State::Ready && !self.ended
    }

    /// Whether its process is not known to be over.
    #[must_use]
    pub const fn alive(&self) -> bool {
        !self.ended
    }

    /// Its process is over.
    pub const fn end(&mut self) {
        self.ended = true;
    }

    /// Its state as last reported.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether every flow of this start has passed the agent.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Slots that count as taken while the target is slow after its start.
    #[must_use]
    pub fn cold(&self, now: Instant) -> u32 {
        u32::from(self.cold_until > now)
    }
}
