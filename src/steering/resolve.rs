//! What becomes of a flow that no agent knows: its caller is told that it is lost,
//! or targets whose agents may have forgotten it are tried.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, FlowSteering, Transmit, send_refusal};
use crate::flow::Flow;
use crate::metrics::{self, Refusal};

impl FlowSteering {
    /// Resolves a search in which every agent was asked and some do not answer.
    /// Those that are long gone count as denying the flow, if most agents answered:
    /// a balancer cut off from most of them knows nothing.
    pub(super) fn resolve_on_timeout(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        let gone = s.silent.iter().all(|a| self.roster.is_dead(*a, now));
        let most = s.silent.len() * 2 < usize::try_from(s.agent_count).unwrap_or(usize::MAX);
        let lost = gone && most && s.unverified.is_empty();
        if lost || s.silent.iter().all(|a| self.is_unreachable(*a, now)) {
            self.finish_round(flow, lost, now, out);
        } else {
            self.end_round(flow);
        }
    }

    /// Whether trials need not wait for an agent: it has been silent for longer
    /// than a restart takes, or it has left with its target. Without the second,
    /// a release, in which some agent always is on its way out, would hold up
    /// every search until it is over.
    fn is_unreachable(&self, agent: SocketAddrV4, now: Instant) -> bool {
        let left = self.store_up_since.is_some() && self.roster.has_left(agent);
        left || self.roster.is_silent_for(agent, self.policy.restart_wait, now)
    }

    /// Ends the round: the flow is lost, or targets are tried.
    pub(super) fn finish_round(
        &mut self,
        flow: Flow,
        lost: bool,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.end_round(flow);
        if lost && self.store_up_since.is_some() {
            self.reset_lost(flow, out);
        } else {
            self.try_unverified(flow, now, out);
        }
    }

    fn end_round(&mut self, flow: Flow) {
        let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) else { return };
        let before = s.buffered_bytes();
        s.wave_deadline = None;
        s.keep_last();
        metrics::searched(std::mem::take(&mut s.message_count));
        self.buffered_bytes -= before - s.buffered_bytes();
    }

    /// Resets a flow whose target is gone, so that its caller can come again at once.
    fn reset_lost(&mut self, flow: Flow, out: &mut impl Transmit) {
        if let Some(FlowState::Searching(s)) = self.flows.remove(flow) {
            self.buffered_bytes -= s.buffered_bytes();
            send_refusal(flow, s.ack, Refusal::Lost, out);
        }
    }

    /// The agent that is named as the flow's owner may have forgotten it: has it
    /// try its target at once, without waiting for what others say.
    pub(super) fn try_named_owner(&mut self, flow: Flow, out: &mut impl Transmit) {
        let most = self.policy.max_trials;
        let Some(FlowState::Searching(s)) = self.flows.peek_mut(flow) else { return };
        let fresh = |a: &SocketAddrV4| s.unverified.contains(a) && !s.tried.contains(a);
        let Some(named) = s.named_owner.filter(fresh) else { return };
        if s.tried.len() >= most {
            return;
        }
        if s.forward_trial(&[named], out) {
            s.named_trial = Some(named);
        }
    }

    /// No agent knew the flow: has agents that may have forgotten it try their
    /// targets, first those to which the open was most likely offered. Once these
    /// gave it back, all others at once, if the flow's own must be among them:
    /// every agent of the service answered or has left, and the list of them is
    /// current.
    fn try_unverified(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let trials = self.policy.max_trials;
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        if s.named_trial.is_some_and(|a| s.unverified.contains(&a)) {
            return;
        }
        let every = s.all_queried() && s.silent.iter().all(|a| self.roster.has_left(*a));
        let complete = every && self.is_roster_current(now);
        let Some(FlowState::Searching(s)) = self.flows.get(flow, now) else { return };
        let mut left = self.roster.rank_by_likelihood(&s.unverified, &self.zone, flow);
        left.retain(|a| !s.tried.contains(a));
        let all = complete && s.tried.len() >= trials && !s.has_pending_trial();
        if !all {
            left.truncate(trials.saturating_sub(s.tried.len()));
        }
        s.forward_trial(&left, out);
    }
}
