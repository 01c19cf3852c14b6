//! What a target owes on one flow.

use std::time::{Duration, Instant};

use crate::request::RequestNeeds;

/// How a target failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// It ended the flow before an answer.
    #[display("reset")]
    Reset,
    /// It did not answer for much longer than usual.
    #[display("silent")]
    Silent,
    /// It returned a packet though it had room.
    #[display("given_back")]
    GivenBack,
}

impl Failure {
    /// What it adds to the failures that set a target aside. A target with two slots that
    /// hangs is given few requests, so that two silent ones must be enough.
    #[must_use]
    pub const fn weight(self) -> u32 {
        match self {
            Self::Reset | Self::GivenBack => 1,
            Self::Silent => 2,
        }
    }
}

/// Progress of a flow, with the time at which the target came to owe its next packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The open was given to the target.
    Opening(Instant),
    /// The target accepted the open; the caller's request has not arrived.
    Accepted(Instant),
    /// The caller sent a request.
    Asked(Instant),
    /// The target is silent for so long that this was recorded as a failure.
    Late(Instant),
    /// The target answered the last request.
    Answered(Instant),
}

/// Follows one flow whose needs are known until its target answers or fails it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    needs: RequestNeeds,
    /// When it started as a trial, if it is one.
    trial: Option<Instant>,
    step: Step,
}

impl Watch {
    pub(super) const fn new(needs: RequestNeeds, trial: Option<Instant>, now: Instant) -> Self {
        Self { needs, trial, step: Step::Opening(now) }
    }

    /// Records that the target accepted the open.
    pub const fn record_accept(&mut self, now: Instant) {
        if let Step::Opening(_) = self.step {
            self.step = Step::Accepted(now);
        }
    }

    pub(super) const fn record_request(&mut self, now: Instant) {
        self.step = Step::Asked(now);
    }

    /// Records data of the target. Returns when its request was sent, and whether the answer
    /// came in time.
    pub(super) const fn record_answer(&mut self) -> Option<(Instant, bool)> {
        let answered = match self.step {
            Step::Asked(at) => Some((at, true)),
            Step::Late(at) => Some((at, false)),
            Step::Opening(_) | Step::Accepted(_) | Step::Answered(_) => None,
        };
        self.step = Step::Answered(self.step_began());
        answered
    }

    pub(super) const fn mark_late(&mut self) {
        self.step = Step::Late(self.step_began());
    }

    pub(super) const fn take_trial(&mut self) -> Option<Instant> {
        self.trial.take()
    }

    pub(super) const fn needs(&self) -> RequestNeeds {
        self.needs
    }

    /// Whether the target owes an answer to a request.
    #[must_use]
    pub const fn awaits_answer(&self) -> bool {
        matches!(self.step, Step::Asked(_))
    }

    /// Whether the target fails the caller if it ends the flow now. One that accepted the
    /// flow less than `silence` ago does so although no request has arrived; later, it may
    /// end an idle flow.
    pub(super) fn is_owed(&self, silence: Duration, now: Instant) -> bool {
        match self.step {
            Step::Opening(_) | Step::Asked(_) => true,
            Step::Accepted(at) => now.saturating_duration_since(at) < silence,
            Step::Late(_) | Step::Answered(_) => false,
        }
    }

    /// When silence becomes a failure, if the target owes a packet.
    pub(super) fn silence_due(
        &self,
        open_limit: Duration,
        request_limit: Duration,
    ) -> Option<Instant> {
        match self.step {
            Step::Opening(at) => Some(at + open_limit),
            Step::Asked(at) => Some(at + request_limit),
            Step::Accepted(_) | Step::Late(_) | Step::Answered(_) => None,
        }
    }

    pub(super) const fn step_began(&self) -> Instant {
        match self.step {
            Step::Opening(at)
            | Step::Accepted(at)
            | Step::Asked(at)
            | Step::Late(at)
            | Step::Answered(at) => at,
        }
    }
}
