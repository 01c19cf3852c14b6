//! Start, shutdown and failure of the target, and timers.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{
    FlowPhase, FlowTracker, IgnoreReason, Incarnation, Report, Target, TimerQueue, TrackedFlow,
    Transmit, reset_flow,
};
use crate::flow::Flow;
use crate::load::WorkEstimate;
use crate::protocol::Message;
use crate::{events, metrics};

impl FlowTracker {
    /// Handles a report of the target. Returns whether it changed the target's
    /// incarnation or state.
    ///
    /// A new incarnation keeps the tracked flows, as it may have opened some before its
    /// first report. The target returns packets of the previous incarnation's flows.
    pub fn handle_report(&mut self, report: Report, now: Instant) -> bool {
        if let Some(reason) = self.ignore_reason(&report, now) {
            metrics::count_drop(reason);
            log::warn!(
                event = events::REPORT_IGNORED, target_id:% = report.incarnation,
                report = report.seq, service = report.service, reason:% = reason,
                current:? = self.target.as_ref().map(|t| t.incarnation().to_string());
                "report of the target ignored"
            );
            return false;
        }
        self.probe_at = None;
        self.first_report.get_or_insert(now);
        match &mut self.target {
            Some(t) if *t.incarnation() == report.incarnation => t.update(&report, now),
            current => {
                let predecessor = self.predecessor.as_ref().filter(|_| !self.inherited);
                let next = Target::new(&report, current.as_ref(), predecessor, now);
                if !next.all_flows_known() {
                    self.cold_start.mark_unknown(now);
                }
                *current = Some(next);
                self.health.replace_target(now);
                self.target_ended = false;
                self.ends_at = None;
                self.work = WorkEstimate::default();
                if std::mem::take(&mut self.end_reported) {
                    // Until the store lists this incarnation, balancers that know of the
                    // end treat a silent agent's flows as lost.
                    self.newly_listed = true;
                    self.first_report = Some(now);
                }
                true
            }
        }
    }

    /// Records that the target sent on a flow that this process did not see open, which
    /// shows that the previous process did not miss the target's start.
    pub(super) fn mark_inherited(&mut self) {
        self.inherited = true;
        if let Some(t) = &mut self.target {
            t.mark_inherited();
        }
    }

    /// Why a report is ignored, if it is.
    fn ignore_reason(&self, report: &Report, now: Instant) -> Option<IgnoreReason> {
        if *report.service != *self.service {
            return Some(IgnoreReason::OtherService);
        }
        self.target.as_ref().and_then(|t| t.ignore_reason(&report.incarnation, now))
    }

    /// Handles the target's notice that `incarnation` shuts down. Returns whether it is
    /// the current incarnation, which then counts as ended after a delay.
    ///
    /// A notice without a start time may be a delayed one of an earlier incarnation, so
    /// the target's port is probed instead.
    pub fn handle_shutdown_notice(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let Some(current) = self.target.as_ref().map(Target::incarnation) else { return false };
        if current == incarnation {
            self.ends_at = Some(now + self.policy.shutdown_grace);
            return true;
        }
        if current.id == incarnation.id && incarnation.started_ms.is_none() {
            self.schedule_probe(self.policy.shutdown_grace, now);
        }
        false
    }

    /// Sends owner hints before a planned stop, one datagram per flow: to another agent,
    /// that this one, at `own_addr`, owns its open flows, and to the owners named in
    /// received hints, that they own theirs.
    ///
    /// The next process starts without flow state. If the balancers restart as well,
    /// they learn from the hints which agent to try first.
    pub fn send_owner_hints(&self, own_addr: SocketAddrV4, out: &mut impl Transmit) {
        if !self.policy.hints_enabled || self.target_ended {
            return;
        }
        let open = self.flows.iter().filter(|(_, tracked)| tracked.phase == FlowPhase::Open);
        let own = open.filter_map(|(f, tracked)| {
            Some((tracked.other_agent.or(self.last_peer)?, f, own_addr))
        });
        let named = self.hints.iter().filter(|(_, owner)| **owner != own_addr);
        let mut all: Vec<_> = own.chain(named.map(|(f, owner)| (*owner, f, *owner))).collect();
        // A fixed order keeps simulations reproducible.
        all.sort_unstable();
        for (to, flow, agent) in all {
            out.send_message(to, &Message::Hint { flow, agent }, &[]);
        }
    }

    /// Drops all flows and resets the open ones, so that their callers can reconnect at
    /// once.
    pub(super) fn reset_flows(&mut self, out: &mut impl Transmit) {
        let mut lost: Vec<(Flow, u32)> = self
            .flows
            .iter()
            .filter(|(_, tracked)| tracked.phase == FlowPhase::Open && tracked.caller_ack != 0)
            .map(|(f, tracked)| (f, tracked.caller_ack))
            .collect();
        // A fixed order keeps simulations reproducible.
        lost.sort_unstable();
        for (flow, ack) in lost {
            reset_flow(flow, ack, out);
        }
        let flows: Vec<Flow> = self.flows.iter().map(|(f, _)| f).collect();
        for flow in flows {
            self.remove_flow(flow);
        }
    }

    /// Whether the target has been silent for so long that its port should be probed.
    #[must_use]
    pub fn should_probe(&self, now: Instant) -> bool {
        self.may_be_running() && self.probe_at.is_some_and(|at| now >= at)
    }

    fn may_be_running(&self) -> bool {
        !self.target_ended && self.target.as_ref().is_none_or(Target::is_alive)
    }

    /// Records that the target's process has ended, and resets its flows. The next
    /// incarnation is detected by its report.
    pub fn mark_target_ended(&mut self, out: &mut impl Transmit) {
        if let Some(t) = &mut self.target {
            t.mark_ended();
        }
        self.target_ended = true;
        self.probe_at = None;
        self.reset_flows(out);
    }

    /// Postpones the next probe after one that found the target's port open.
    pub fn defer_probe(&mut self, now: Instant) {
        self.probe_at = Some(now + self.policy.request_probe_delay);
    }

    /// Schedules a probe of the target's port after `delay`, or leaves an earlier one.
    pub(super) fn schedule_probe(&mut self, delay: Duration, now: Instant) {
        let at = now + delay;
        self.probe_at = Some(self.probe_at.map_or(at, |known| known.min(at)));
    }

    /// Sets whether the flow waits for an answer of the target.
    pub(super) fn set_waiting(&mut self, flow: Flow, waiting: bool, now: Instant) {
        let Some(tracked) = self.flows.get(flow, now) else { return };
        if tracked.waiting_since.is_some() != waiting {
            let slots = self.target.as_ref().map_or(1, Target::slots);
            self.work.advance(self.waiting, slots, now);
            let since = std::mem::replace(&mut tracked.waiting_since, waiting.then_some(now));
            tracked.work_mark = self.work.mark();
            let established =
                !matches!(tracked.phase, FlowPhase::Opening { .. } | FlowPhase::Answered(_));
            if let Some(at) = since.filter(|_| established) {
                self.answer_times.record(now.duration_since(at));
            }
            self.flow_load.observe(self.waiting, self.flows.len(), now);
            self.waiting = if waiting { self.waiting + 1 } else { self.waiting.saturating_sub(1) };
        }
    }

    pub(super) fn close_flow(&mut self, flow: Flow, now: Instant) {
        if let Some(tracked) = self.flows.get(flow, now)
            && tracked.phase != FlowPhase::Closed
        {
            tracked.phase = FlowPhase::Closed;
            self.closed_flows.push_back((now + self.policy.closed_ttl, flow));
        }
        self.release_watch(flow);
        self.set_waiting(flow, false, now);
    }

    pub(super) fn remove_flow(&mut self, flow: Flow) -> Option<TrackedFlow> {
        let mut tracked = self.flows.remove(flow)?;
        if let Some(watch) = &mut tracked.watch {
            self.health.release(watch);
        }
        if tracked.waiting_since.is_some() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        Some(tracked)
    }

    /// When [`FlowTracker::tick`] or a probe is due next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let queues = [
            &self.pending_handshakes,
            &self.unanswered_opens,
            &self.pending_requests,
            &self.closed_flows,
        ];
        let queue = self.queue.next_check();
        let first = queues.into_iter().filter_map(|q| q.front().map(|(at, _)| *at)).min();
        let probe = self.probe_at.filter(|_| self.may_be_running());
        let health = self.health.next_check();
        [first, self.ends_at, probe, queue, health].into_iter().flatten().min()
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Transmit) {
        while let Some(flow) = pop_due(&mut self.pending_handshakes, now) {
            let phase = self.flows.peek(flow).map(|tracked| tracked.phase);
            if matches!(phase, Some(FlowPhase::Opening { .. } | FlowPhase::Answered(_))) {
                self.set_waiting(flow, false, now);
            }
        }
        self.observe_silence(now);
        while let Some(flow) = pop_due(&mut self.unanswered_opens, now) {
            if matches!(
                self.flows.peek(flow).map(|tracked| tracked.phase),
                Some(FlowPhase::Opening { .. })
            ) {
                self.remove_flow(flow);
            }
        }
        while let Some(flow) = pop_due(&mut self.pending_requests, now) {
            let since = self.flows.peek(flow).and_then(|tracked| tracked.waiting_since);
            if since.is_some_and(|at| now.duration_since(at) >= self.policy.request_timeout) {
                self.set_waiting(flow, false, now);
            }
        }
        while let Some(flow) = pop_due(&mut self.closed_flows, now) {
            if self.flows.peek(flow).is_some_and(|tracked| tracked.phase == FlowPhase::Closed) {
                self.remove_flow(flow);
            }
        }
        if self.ends_at.is_some_and(|at| at <= now) {
            self.ends_at = None;
            self.mark_target_ended(out);
        }
        self.work.advance(self.waiting, self.target.as_ref().map_or(1, Target::slots), now);
        self.expire_queued(now, out);
        self.handed_over.expire(now, |_, _| {});
        let mut expired_waiting = 0;
        self.hints.expire(now, |_, _| {});
        self.flows.expire(now, |_, tracked| {
            expired_waiting += u32::from(tracked.waiting_since.is_some());
        });
        self.waiting = self.waiting.saturating_sub(expired_waiting);
        self.deliver_queued(now, out);
    }
}

/// Removes and returns the first flow whose timer has expired.
fn pop_due(queue: &mut TimerQueue, now: Instant) -> Option<Flow> {
    queue.front().filter(|(at, _)| *at <= now)?;
    queue.pop_front().map(|(_, flow)| flow)
}
