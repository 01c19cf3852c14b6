//! The target's life, seen from the agent, and what comes due.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{
    FlowPhase, FlowTracker, IgnoreReason, Incarnation, Queue, Report, Target, TrackedFlow,
    Transmit, reset,
};
use crate::flow::Flow;
use crate::protocol::Message;
use crate::{events, metrics};

impl FlowTracker {
    /// Takes a report of the target; says whether it changed what the agent
    /// believes.
    ///
    /// A new start leaves the flows as they are: it may have opened some before
    /// its first report. Those of the start before it come back bounced.
    pub fn handle_report(&mut self, report: Report, now: Instant) -> bool {
        if let Some(reason) = self.ignore_reason(&report, now) {
            metrics::dropped(reason);
            log::warn!(
                event = events::REPORT_IGNORED, target_id:% = report.incarnation, report = report.seq,
                service = report.service, reason:% = reason,
                current:? = self.target.as_ref().map(|t| t.incarnation().to_string());
                "report ignored"
            );
            return false;
        }
        self.probe_at = None;
        self.first_report.get_or_insert(now);
        match &mut self.target {
            Some(t) if *t.incarnation() == report.incarnation => t.update(&report, now),
            before => {
                let earlier = self.predecessor.as_ref().filter(|_| !self.inherited);
                let next = Target::new(&report, before.as_ref(), earlier, now);
                *before = Some(next);
                self.target_ended = false;
                self.ends_at = None;
                if std::mem::take(&mut self.end_announced) {
                    // Whoever was told takes the agent's silence as the end of its
                    // flows until the store names this start.
                    self.newly_listed = true;
                    self.first_report = Some(now);
                }
                true
            }
        }
    }

    /// The target sent on a flow that this process did not see open: what spoke
    /// for the earlier process having missed the target's start was wrong.
    pub(super) fn mark_inherited(&mut self) {
        self.inherited = true;
        if let Some(t) = &mut self.target {
            t.mark_inherited();
        }
    }

    /// Why a report says nothing of this agent's target.
    fn ignore_reason(&self, report: &Report, now: Instant) -> Option<IgnoreReason> {
        if *report.service != *self.service {
            return Some(IgnoreReason::OtherService);
        }
        self.target.as_ref().and_then(|t| t.ignore_reason(&report.incarnation, now))
    }

    /// The target says that its start `start` ends.
    ///
    /// Where it does not say which start that is, an earlier one under the same
    /// identity may have said it, and a late call would end the flows of this
    /// one: the target's port is tried instead.
    pub fn handle_shutdown_notice(&mut self, start: &Incarnation, now: Instant) -> bool {
        let Some(current) = self.target.as_ref().map(Target::incarnation) else { return false };
        if current == start {
            self.ends_at = Some(now + self.policy.shutdown_grace);
            return true;
        }
        if current.id == start.id && start.started_ms.is_none() {
            self.expect_answer(self.policy.shutdown_grace, now);
        }
        false
    }

    /// Before the process ends as planned: tells another agent that this one, at
    /// `me`, holds its flows, and the owners named by its own hints that they
    /// hold theirs. The next process here knows no flow; where balancers have
    /// forgotten it too, who is named has its target tried first. One small
    /// datagram a flow.
    ///
    /// Without it, agents and balancers rolled out in turn lose the requests of
    /// the flows that both have forgotten.
    pub fn send_owner_hints(&self, me: SocketAddrV4, out: &mut impl Transmit) {
        if !self.policy.hints_enabled || self.target_ended {
            return;
        }
        let open = self.flows.iter().filter(|(_, h)| h.phase == FlowPhase::Open);
        let own = open.filter_map(|(f, h)| Some((h.other_agent.or(self.last_peer)?, f, me)));
        let named = self.hints.iter().filter(|(_, owner)| **owner != me);
        let mut all: Vec<_> = own.chain(named.map(|(f, owner)| (*owner, f, *owner))).collect();
        // In one order, so that one seed of the model gives one run.
        all.sort_unstable();
        for (to, flow, agent) in all {
            out.send_message(to, &Message::Hint { flow, agent }, &[]);
        }
    }

    /// The target's process is over: its flows are gone, and their callers
    /// are told so that they can come again at once.
    pub(super) fn reset_flows(&mut self, out: &mut impl Transmit) {
        let mut lost: Vec<(Flow, u32)> = self
            .flows
            .iter()
            .filter(|(_, h)| h.phase == FlowPhase::Open && h.caller_ack != 0)
            .map(|(f, h)| (f, h.caller_ack))
            .collect();
        // In one order, so that one seed of the model gives one run.
        lost.sort_unstable();
        for (flow, ack) in lost {
            reset(flow, ack, out);
        }
        let flows: Vec<Flow> = self.flows.iter().map(|(f, _)| f).collect();
        for flow in flows {
            self.remove_flow(flow);
        }
    }

    /// Whether the target has been silent for so long that its port should be
    /// tried.
    #[must_use]
    pub fn should_probe(&self, now: Instant) -> bool {
        self.may_be_running() && self.probe_at.is_some_and(|at| now >= at)
    }

    /// Whether the target's process may be running.
    fn may_be_running(&self) -> bool {
        !self.target_ended && self.target.as_ref().is_none_or(Target::is_alive)
    }

    /// The target's port is closed: its process is over, and its flows with
    /// it. The next start reports itself.
    pub fn mark_target_ended(&mut self, out: &mut impl Transmit) {
        if let Some(t) = &mut self.target {
            t.mark_ended();
        }
        self.target_ended = true;
        self.probe_at = None;
        self.reset_flows(out);
    }

    /// The target's port is open: it is slow, not gone.
    pub fn defer_probe(&mut self, now: Instant) {
        self.probe_at = Some(now + self.policy.request_probe_delay);
    }

    /// Something was handed to the target that it answers within `within`.
    pub(super) fn expect_answer(&mut self, within: Duration, now: Instant) {
        let at = now + within;
        self.probe_at = Some(self.probe_at.map_or(at, |known| known.min(at)));
    }

    /// Counts the flow as waiting for its target, or no longer.
    pub(super) fn set_waiting(&mut self, flow: Flow, on: bool, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if h.waiting_since.is_some() != on {
            let since = std::mem::replace(&mut h.waiting_since, on.then_some(now));
            let opened = !matches!(h.phase, FlowPhase::Opening { .. } | FlowPhase::Answered(_));
            if let Some(at) = since.filter(|_| opened) {
                self.answer_times.note(now.duration_since(at));
            }
            self.flow_load.observe(self.waiting, self.flows.len(), now);
            self.waiting = if on { self.waiting + 1 } else { self.waiting.saturating_sub(1) };
        }
    }

    pub(super) fn close_flow(&mut self, flow: Flow, now: Instant) {
        if let Some(h) = self.flows.get(flow, now)
            && h.phase != FlowPhase::Closed
        {
            h.phase = FlowPhase::Closed;
            self.closed_flows.push_back((now + self.policy.closed_ttl, flow));
        }
        self.set_waiting(flow, false, now);
    }

    pub(super) fn remove_flow(&mut self, flow: Flow) -> Option<TrackedFlow> {
        let held = self.flows.remove(flow)?;
        if held.waiting_since.is_some() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        Some(held)
    }

    /// When [`FlowTracker::tick`] next has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let queues =
            [&self.pending_opens, &self.unanswered_opens, &self.pending_work, &self.closed_flows];
        let first = queues.into_iter().filter_map(|q| q.front().map(|(at, _)| *at)).min();
        let silent = self.probe_at.filter(|_| self.may_be_running());
        [first, self.ends_at, silent].into_iter().flatten().min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Transmit) {
        while let Some(flow) = due(&mut self.pending_opens, now) {
            let stage = self.flows.peek(flow).map(|h| h.phase);
            if matches!(stage, Some(FlowPhase::Opening { .. } | FlowPhase::Answered(_))) {
                self.set_waiting(flow, false, now);
            }
        }
        while let Some(flow) = due(&mut self.unanswered_opens, now) {
            if matches!(self.flows.peek(flow).map(|h| h.phase), Some(FlowPhase::Opening { .. })) {
                self.remove_flow(flow);
            }
        }
        while let Some(flow) = due(&mut self.pending_work, now) {
            let since = self.flows.peek(flow).and_then(|h| h.waiting_since);
            if since.is_some_and(|at| now.duration_since(at) >= self.policy.request_timeout) {
                self.set_waiting(flow, false, now);
            }
        }
        while let Some(flow) = due(&mut self.closed_flows, now) {
            if self.flows.peek(flow).is_some_and(|h| h.phase == FlowPhase::Closed) {
                self.remove_flow(flow);
            }
        }
        if self.ends_at.is_some_and(|at| at <= now) {
            self.ends_at = None;
            self.mark_target_ended(out);
        }
        let mut lost = 0;
        self.hints.expire(now, |_, _| {});
        self.flows.expire(now, |_, h| lost += u32::from(h.waiting_since.is_some()));
        self.waiting = self.waiting.saturating_sub(lost);
    }
}

/// Takes the first flow out whose time has come.
fn due(queue: &mut Queue, now: Instant) -> Option<Flow> {
    queue.front().filter(|(at, _)| *at <= now)?;
    queue.pop_front().map(|(_, flow)| flow)
}
