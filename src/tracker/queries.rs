//! Which flows the target holds, as balancers ask.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, Target, Transmit};
use crate::metrics::{self, Refusal};
use crate::protocol::{Answer, FlowStatus, Message, Query, Question};

impl FlowTracker {
    /// Answers a balancer. Nothing changes: the packets come to the agent that
    /// holds their flow.
    pub(super) fn answer_query(
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
            let status = self.flow_status(question, now);
            let hint = self.hints.get(question.flow, now).copied();
            answers.push(Answer { flow: question.flow, status, hint });
        }
        let load = self.load(now);
        out.send_message(from, &Message::Response { answers, load }, &[]);
    }

    fn flow_status(&mut self, question: &Question, now: Instant) -> FlowStatus {
        if let Some(h) = self.flows.get(question.flow, now) {
            return match h.phase {
                FlowPhase::Trial => FlowStatus::Unverified,
                _ if h.matches_ack(question.ack) => FlowStatus::Held,
                FlowPhase::NotOwner => FlowStatus::NotOwner,
                _ => FlowStatus::Unknown,
            };
        }
        if let Some(denial) = self.denial_status() {
            return denial;
        }
        if self.target.is_none() {
            self.expect_answer(Duration::ZERO, now);
        }
        FlowStatus::Unverified
    }

    /// The status that denies a flow which the agent does not know; none where its
    /// target may hold it.
    pub(super) fn denial_status(&mut self) -> Option<FlowStatus> {
        if self.target_ended {
            self.end_announced = true;
            return Some(FlowStatus::TargetEnded);
        }
        self.target.as_ref().is_some_and(Target::all_flows_known).then_some(FlowStatus::Unknown)
    }
}
