//! Outcome of an owner search that found no owner: resets the flow if it is lost, or
//! tries its last packet at targets that may hold it without their agents' knowledge.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, FlowSteering, RosterSource, Transmit, send_refusal};
use crate::flow::Flow;
use crate::metrics::{self, Refusal};

impl FlowSteering {
    /// Decides the outcome of a round in which some agents did not answer. Dead agents
    /// count as not holding the flow if most agents answered; otherwise the balancer
    /// itself may be partitioned from them.
    pub(super) fn resolve_on_timeout(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        let all_dead = s.silent.iter().all(|a| self.roster.is_dead(*a, now));
        let most_answered =
            s.silent.len() * 2 < usize::try_from(s.agent_count).unwrap_or(usize::MAX);
        let lost = all_dead && most_answered && s.unverified.is_empty();
        if lost || s.silent.iter().all(|a| self.is_unreachable(*a, now)) {
            self.finish_round(flow, lost, now, out);
        } else {
            self.end_round(flow);
            self.schedule_repeat(flow, now);
        }
    }

    /// Has the round that ended repeated soon: agents that did not answer, or could not tell, may
    /// be starting.
    fn schedule_repeat(&mut self, flow: Flow, now: Instant) {
        let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) else { return };
        if let Some(at) = s.schedule_repeat(self.repeat_slot, now) {
            self.repeat_slot = Some(at);
            self.deadlines.push(at, flow);
        }
    }

    /// Whether trials need not wait for a silent agent: it has been silent for longer
    /// than a restart takes, or it left together with its target. Without the second, a
    /// rolling release, in which some agent is always leaving, would delay every search until
    /// it is over.
    fn is_unreachable(&self, agent: SocketAddrV4, now: Instant) -> bool {
        let left = self.store_reachable_since.is_some() && self.roster.has_left(agent);
        left || self.roster.is_silent_for(agent, self.policy.restart_wait, now)
    }

    /// Ends the round: resets a lost flow, otherwise tries targets.
    pub(super) fn finish_round(
        &mut self,
        flow: Flow,
        lost: bool,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.end_round(flow);
        if self.roster_source == RosterSource::Distributor && self.store_reachable_since.is_some() {
            if let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) {
                s.roster_generation = self.roster.generation();
            }
            self.unconfirmed.insert(flow, lost);
            return;
        }
        if lost && self.store_reachable_since.is_some() && self.covers_services(flow) {
            self.reset_lost(flow, out);
        } else {
            self.try_unverified(flow, now, out);
            self.schedule_repeat(flow, now);
        }
    }

    /// Decides on the flows whose searches ended while the list of agents may have been old: as
    /// they ended if neither the list nor the flow's services have changed since, otherwise by another
    /// round.
    pub(super) fn resolve_unconfirmed(&mut self, now: Instant, out: &mut impl Transmit) {
        for (flow, lost) in std::mem::take(&mut self.unconfirmed) {
            let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { continue };
            if s.wave_deadline.is_some() {
                // A packet that arrived meanwhile started another round.
                continue;
            }
            let is_current = s.roster_generation == self.roster.generation();
            if is_current && self.covers_services(flow) {
                self.finish_round(flow, lost, now, out);
            } else if let Some(FlowState::Searching(mut s)) = self.flows.remove(flow) {
                self.start_round(flow, &mut s, &[], now);
                self.flows.insert(flow, FlowState::Searching(s), now);
            }
        }
    }

    /// Stops the round's timer and releases all buffered packets but the last.
    fn end_round(&mut self, flow: Flow) {
        let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) else { return };
        let before = s.buffered_bytes();
        s.wave_deadline = None;
        s.keep_last();
        metrics::record_search(std::mem::take(&mut s.message_count));
        self.buffered_bytes -= before - s.buffered_bytes();
    }

    /// Resets a flow that no target holds, so that its caller can reconnect at once.
    fn reset_lost(&mut self, flow: Flow, out: &mut impl Transmit) {
        if let Some(FlowState::Searching(s)) = self.flows.remove(flow) {
            self.buffered_bytes -= s.buffered_bytes();
            send_refusal(flow, s.ack, Refusal::Lost, out);
        }
    }

    /// Tries the last packet at the target of the agent named as the owner, if that
    /// agent could not verify the flow, without waiting for other answers.
    pub(super) fn try_named_owner(&mut self, flow: Flow, out: &mut impl Transmit) {
        let limit = self.policy.max_trials;
        let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) else { return };
        if s.is_repetition {
            return;
        }
        let is_untried = |a: &SocketAddrV4| s.unverified.contains(a) && !s.tried.contains(a);
        let Some(named) = s.named_owner.filter(is_untried) else { return };
        if s.tried.len() >= limit {
            return;
        }
        if s.forward_trial(&[named], &self.roster, out) {
            s.named_trial = Some(named);
        }
    }

    /// Tries the last packet at targets whose agents could not verify the flow: first
    /// the `max_trials` to which the open was most likely offered. Once these rejected
    /// it, tries all others if the owner must be among them, which holds if every agent
    /// of the service answered or left and the roster is complete.
    fn try_unverified(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let limit = self.policy.max_trials;
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        if s.is_repetition || s.named_trial.is_some_and(|a| s.unverified.contains(&a)) {
            return;
        }
        let all_known = s.all_queried() && s.silent.iter().all(|a| self.roster.has_left(*a));
        let complete = all_known && self.is_roster_current(now);
        let Some(FlowState::Searching(s)) = self.flows.get(flow, now) else { return };
        let mut untried = self.roster.rank_owners(&s.services, &s.unverified, &self.zone, flow);
        untried.retain(|a| !s.tried.contains(a));
        let all = complete && s.tried.len() >= limit && !s.has_pending_trial();
        if !all {
            untried.truncate(limit.saturating_sub(s.tried.len()));
        }
        s.forward_trial(&untried, &self.roster, out);
    }
}
