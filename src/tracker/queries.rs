//! Which flows the target holds, as balancers ask.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, Target, Transmit};
use crate::metrics::{self, Refusal};
use crate::protocol::{Answer, FlowStatus, Message, Query, Question};

impl FlowTracker {
    /// Answers a balancer. Nothing changes: the packets come to the agent that
    /// holds their flow.
    pub(super) fn asked(
        &mut self,
        from: SocketAddrV4,
        ask: &Query<'_>,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        if *ask.service != *self.service {
            metrics::refused(Refusal::ForeignOwner);
            return;
        }
        let mut answers = Vec::with_capacity(ask.questions.len());
        for question in &ask.questions {
            let status = self.knows(question, now);
            let hint = self.hints.get(question.flow, now).copied();
            answers.push(Answer { flow: question.flow, status, hint });
        }
        let load = self.load(now);
        out.peer(from, &Message::Response { answers, load }, &[]);
    }

    fn knows(&mut self, question: &Question, now: Instant) -> FlowStatus {
        if let Some(h) = self.flows.get(question.flow, now) {
            return match h.stage {
                FlowPhase::Trial => FlowStatus::Unverified,
                _ if h.goes_on(question.ack) => FlowStatus::Held,
                FlowPhase::NotOwner => FlowStatus::NotOwner,
                _ => FlowStatus::Unknown,
            };
        }
        if let Some(denial) = self.denial() {
            return denial;
        }
        if self.target.is_none() {
            self.expect(Duration::ZERO, now);
        }
        FlowStatus::Unverified
    }

    /// The status that denies a flow which the agent does not know; none where its
    /// target may hold it.
    pub(super) fn denial(&mut self) -> Option<FlowStatus> {
        if self.absent {
            self.told_end = true;
            return Some(FlowStatus::TargetEnded);
        }
        self.target.as_ref().is_some_and(Target::complete).then_some(FlowStatus::Unknown)
    }
}
