//! Which flows the target holds, as balancers ask.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Holder, Out, Stage, Target};
use crate::bus::{Answer, Ask, FlowStatus, Message, Question};
use crate::metrics::{self, Refusal};

impl Holder {
    /// Answers a balancer. Nothing changes: the packets come to the agent that
    /// holds their flow.
    pub(super) fn asked(
        &mut self,
        from: SocketAddrV4,
        ask: &Ask<'_>,
        now: Instant,
        out: &mut impl Out,
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
        out.peer(from, &Message::Answers { answers, load }, &[]);
    }

    fn knows(&mut self, question: &Question, now: Instant) -> FlowStatus {
        if let Some(h) = self.flows.get(question.flow, now) {
            return match h.stage {
                Stage::Trial => FlowStatus::Unverified,
                _ if h.goes_on(question.ack) => FlowStatus::Held,
                Stage::NotOwner => FlowStatus::NotOwner,
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
            return Some(FlowStatus::Ended);
        }
        self.target.as_ref().is_some_and(Target::complete).then_some(FlowStatus::Unknown)
    }
}
