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
    pub fn report(&mut self, report: Report, now: Instant) -> bool {
        if let Some(reason) = self.ignores(&report, now) {
            metrics::dropped(reason);
            log::warn!(
                event = events::REPORT_IGNORED, target_id:% = report.start, report = report.seq,
                service = report.service, reason:% = reason,
                current:? = self.target.as_ref().map(|t| t.start().to_string());
                "report ignored"
            );
            return false;
        }
        self.silent_since = None;
        self.met.get_or_insert(now);
        match &mut self.target {
            Some(t) if *t.start() == report.start => t.update(&report, now),
            before => {
                let earlier = self.before.as_ref().filter(|_| !self.inherited);
                let next = Target::new(&report, before.as_ref(), earlier, now);
                *before = Some(next);
                self.absent = false;
                self.ending = None;
                if std::mem::take(&mut self.told_end) {
                    // Whoever was told takes the agent's silence as the end of its
                    // flows until the store names this start.
                    self.newcomer = true;
                    self.met = Some(now);
                }
                true
            }
        }
    }

    /// The target sent on a flow that this process did not see open: what spoke
    /// for the earlier process having missed the target's start was wrong.
    pub(super) fn inherit(&mut self) {
        self.inherited = true;
        if let Some(t) = &mut self.target {
            t.inherit();
        }
    }

    /// Why a report says nothing of this agent's target.
    fn ignores(&self, report: &Report, now: Instant) -> Option<IgnoreReason> {
        if *report.service != *self.service {
            return Some(IgnoreReason::Service);
        }
        self.target.as_ref().and_then(|t| t.ignores(&report.start, now))
    }

    /// The target says that its start `start` ends.
    ///
    /// Where it does not say which start that is, an earlier one under the same
    /// identity may have said it, and a late call would end the flows of this
    /// one: the target's port is tried instead.
    pub fn gone(&mut self, start: &Incarnation, now: Instant) -> bool {
        let Some(current) = self.target.as_ref().map(Target::start) else { return false };
        if current == start {
            self.ending = Some(now + self.policy.ending);
            return true;
        }
        if current.id == start.id && start.born.is_none() {
            self.expect(self.policy.ending, now);
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
    pub fn hand_over(&self, me: SocketAddrV4, out: &mut impl Transmit) {
        if !self.policy.hints || self.absent {
            return;
        }
        let open = self.flows.iter().filter(|(_, h)| h.stage == FlowPhase::Open);
        let own = open.filter_map(|(f, h)| Some((h.other.or(self.peer)?, f, me)));
        let named = self.hints.iter().filter(|(_, owner)| **owner != me);
        let mut all: Vec<_> = own.chain(named.map(|(f, owner)| (*owner, f, *owner))).collect();
        // In one order, so that one seed of the model gives one run.
        all.sort_unstable();
        for (to, flow, agent) in all {
            out.peer(to, &Message::Hint { flow, agent }, &[]);
        }
    }

    /// The target's process is over: its flows are gone, and their callers
    /// are told so that they can come again at once.
    pub(super) fn drop_flows(&mut self, out: &mut impl Transmit) {
        let mut lost: Vec<(Flow, u32)> = self
            .flows
            .iter()
            .filter(|(_, h)| h.stage == FlowPhase::Open && h.caller_ack != 0)
            .map(|(f, h)| (f, h.caller_ack))
            .collect();
        // In one order, so that one seed of the model gives one run.
        lost.sort_unstable();
        for (flow, ack) in lost {
            reset(flow, ack, out);
        }
        let flows: Vec<Flow> = self.flows.iter().map(|(f, _)| f).collect();
        for flow in flows {
            self.remove(flow);
        }
    }

    /// Whether the target has been silent for so long that its port should be
    /// tried.
    #[must_use]
    pub fn should_probe(&self, now: Instant) -> bool {
        self.maybe_alive() && self.silent_since.is_some_and(|at| now >= at)
    }

    /// Whether the target's process may be running.
    fn maybe_alive(&self) -> bool {
        !self.absent && self.target.as_ref().is_none_or(Target::alive)
    }

    /// The target's port is closed: its process is over, and its flows with
    /// it. The next start reports itself.
    pub fn crashed(&mut self, out: &mut impl Transmit) {
        if let Some(t) = &mut self.target {
            t.end();
        }
        self.absent = true;
        self.silent_since = None;
        self.drop_flows(out);
    }

    /// The target's port is open: it is slow, not gone.
    pub fn slow(&mut self, now: Instant) {
        self.silent_since = Some(now + self.policy.silent_work);
    }

    /// Something was handed to the target that it answers within `within`.
    pub(super) fn expect(&mut self, within: Duration, now: Instant) {
        let at = now + within;
        self.silent_since = Some(self.silent_since.map_or(at, |known| known.min(at)));
    }

    /// Counts the flow as waiting for its target, or no longer.
    pub(super) fn wait(&mut self, flow: Flow, on: bool, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if h.waiting.is_some() != on {
            let since = std::mem::replace(&mut h.waiting, on.then_some(now));
            let opened = !matches!(h.stage, FlowPhase::Opening { .. } | FlowPhase::Answered(_));
            if let Some(at) = since.filter(|_| opened) {
                self.answers.note(now.duration_since(at));
            }
            self.demand.observe(self.waiting, self.flows.len(), now);
            self.waiting = if on { self.waiting + 1 } else { self.waiting.saturating_sub(1) };
        }
    }

    pub(super) fn close(&mut self, flow: Flow, now: Instant) {
        if let Some(h) = self.flows.get(flow, now)
            && h.stage != FlowPhase::Closed
        {
            h.stage = FlowPhase::Closed;
            self.ended.push_back((now + self.policy.closed, flow));
        }
        self.wait(flow, false, now);
    }

    pub(super) fn remove(&mut self, flow: Flow) -> Option<TrackedFlow> {
        let held = self.flows.remove(flow)?;
        if held.waiting.is_some() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        Some(held)
    }

    /// When [`FlowTracker::tick`] next has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let queues = [&self.opens, &self.unanswered, &self.working, &self.ended];
        let first = queues.into_iter().filter_map(|q| q.front().map(|(at, _)| *at)).min();
        let silent = self.silent_since.filter(|_| self.maybe_alive());
        [first, self.ending, silent].into_iter().flatten().min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Transmit) {
        while let Some(flow) = due(&mut self.opens, now) {
            let stage = self.flows.peek(flow).map(|h| h.stage);
            if matches!(stage, Some(FlowPhase::Opening { .. } | FlowPhase::Answered(_))) {
                self.wait(flow, false, now);
            }
        }
        while let Some(flow) = due(&mut self.unanswered, now) {
            if matches!(self.flows.peek(flow).map(|h| h.stage), Some(FlowPhase::Opening { .. })) {
                self.remove(flow);
            }
        }
        while let Some(flow) = due(&mut self.working, now) {
            let since = self.flows.peek(flow).and_then(|h| h.waiting);
            if since.is_some_and(|at| now.duration_since(at) >= self.policy.longest_work) {
                self.wait(flow, false, now);
            }
        }
        while let Some(flow) = due(&mut self.ended, now) {
            if self.flows.peek(flow).is_some_and(|h| h.stage == FlowPhase::Closed) {
                self.remove(flow);
            }
        }
        if self.ending.is_some_and(|at| at <= now) {
            self.ending = None;
            self.crashed(out);
        }
        let mut lost = 0;
        self.hints.expire(now, |_, _| {});
        self.flows.expire(now, |_, h| lost += u32::from(h.waiting.is_some()));
        self.waiting = self.waiting.saturating_sub(lost);
    }
}

/// Takes the first flow out whose time has come.
fn due(queue: &mut Queue, now: Instant) -> Option<Flow> {
    queue.front().filter(|(at, _)| *at <= now)?;
    queue.pop_front().map(|(_, flow)| flow)
}
