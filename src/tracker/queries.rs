//! Answers to balancers' queries about which flows the target holds.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, Target, Transmit};
use crate::metrics::{self, Refusal};
use crate::protocol::{Answer, FlowStatus, Message, QueriedFlow, Query};

impl FlowTracker {
    /// Answers a balancer's query. No flow is created: the balancer forwards the
    /// packets to the agent that turns out to own the flow.
    pub(super) fn answer_query(
        &mut self,
        from: SocketAddrV4,
        query: &Query<'_>,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        if *query.service != *self.service {
            metrics::count_refusal(Refusal::WrongService);
            return;
        }
        let mut answers = Vec::with_capacity(query.flows.len());
        for queried in &query.flows {
            let status = self.flow_status(queried, now);
            let hint = self.hints.get(queried.flow, now).copied();
            answers.push(Answer { flow: queried.flow, status, hint });
        }
        let load = self.load(now);
        out.send_message(from, &Message::Response { answers, load }, &[]);
    }

    fn flow_status(&mut self, queried: &QueriedFlow, now: Instant) -> FlowStatus {
        if let Some(tracked) = self.flows.get(queried.flow, now) {
            return match tracked.phase {
                FlowPhase::Trial => FlowStatus::Unverified,
                _ if tracked.matches_ack(queried.ack) => FlowStatus::Held,
                FlowPhase::NotOwner => FlowStatus::NotOwner,
                _ => FlowStatus::Unknown,
            };
        }
        if let Some(denial) = self.denial_status() {
            return denial;
        }
        if self.target.is_none() {
            self.schedule_probe(Duration::ZERO, now);
        }
        FlowStatus::Unverified
    }

    /// Status that reports an untracked flow as not held; `None` if the target may
    /// hold it.
    pub(super) fn denial_status(&mut self) -> Option<FlowStatus> {
        if self.target_ended {
            self.end_reported = true;
            return Some(FlowStatus::TargetEnded);
        }
        self.target.as_ref().is_some_and(Target::all_flows_known).then_some(FlowStatus::Unknown)
    }
}
