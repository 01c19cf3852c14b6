//! Which agent's target holds a flow that the balancer does not know.
//!
//! Agents are asked in waves: first the flow's home, which took it or knows who
//! did, then a few whose home it may have been before agents came or went, then
//! all others. A question carries the flow's addresses, never its packets;
//! these are kept within a bound meanwhile.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, FlowSteering, OwnerSearch, Transmit, send_refusal};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Answer, FlowStatus, ForwardMode, Message};

impl FlowSteering {
    /// Has the owner of a flow found, and keeps its packet until then.
    pub(super) fn search_owner(&mut self, arrival: &ReceivedPacket<'_>, out: &mut impl Transmit) {
        let ReceivedPacket { seg, now, .. } = *arrival;
        let flow = arrival.flow();
        let Some(routes) = &self.routes else { return };
        let Some(weighted) = routes.service_for(flow) else {
            if !seg.flags.rst {
                send_refusal(flow, seg.ack, Refusal::NoProfile, out);
            }
            return;
        };
        let service = weighted.service.clone();
        // An open whose note has not come yet: the agents that it was offered to
        // know best.
        let (mut search, offered) = match self.flows.remove(flow) {
            Some(FlowState::Searching(s)) => (s, Vec::new()),
            Some(FlowState::Opening(o)) => (OwnerSearch::default(), o.offered_to),
            Some(FlowState::Owned { .. }) | None => (OwnerSearch::default(), Vec::new()),
        };
        self.buffered_bytes -= search.buffered_bytes();
        let under_way = search.wave_deadline.is_some();
        if !under_way {
            search.packets.clear();
        }
        search.buffer_packet(seg, arrival.packet, self.buffered_bytes, &self.policy);
        self.buffered_bytes += search.buffered_bytes();
        if !under_way {
            search.service = service;
            self.start_round(flow, &mut search, &offered, now);
        }
        self.flows.insert(flow, FlowState::Searching(search), now);
    }

    /// Begins a round: every agent of the service is to be asked, the likeliest
    /// first and those that do not answer last, but for those whose targets have
    /// ended.
    fn start_round(
        &mut self,
        flow: Flow,
        search: &mut OwnerSearch,
        offered: &[SocketAddrV4],
        now: Instant,
    ) {
        let all: Vec<_> = self.roster.agents_of(&search.service).collect();
        // Fewer than the type holds.
        search.agent_count = all.len() as u32;
        let asked = all.into_iter().filter(|a| !self.roster.target_ended(*a));
        let (answering, silent): (Vec<_>, Vec<_>) =
            asked.partition(|a| self.roster.is_responsive(*a));
        let mut order = self.roster.rank_by_likelihood(&answering, &self.zone, flow);
        order.extend(silent);
        order.sort_by_key(|a| !offered.contains(a));
        search.unqueried = order.into();
        search.pending.clear();
        search.silent.clear();
        search.unverified.clear();
        search.named_trial = None;
        search.wave_index = 0;
        search.message_count = 0;
        metrics::retried(Retry::OwnerAsked);
        log::info!(
            event = events::OWNER_ASKED, flow:% = flow, agents = search.agent_count,
            version = self.config_version();
            "agents asked for a flow's owner"
        );
        self.query_wave(flow, search, now);
    }

    /// Queries the next agents of a round.
    fn query_wave(&mut self, flow: Flow, search: &mut OwnerSearch, now: Instant) {
        let wave = search.next_wave(&self.policy.wave_sizes);
        for agent in &wave {
            self.queries.enqueue(*agent, &search.service, search.question(flow));
        }
        // Fewer than the type holds.
        search.message_count += wave.len() as u32;
        search.pending.extend(wave);
        self.start_wave_timer(flow, search, now);
    }

    fn start_wave_timer(&mut self, flow: Flow, search: &mut OwnerSearch, now: Instant) {
        let due = now + self.response_timeout();
        search.wave_started = Some(now);
        search.wave_deadline = Some(due);
        self.deadlines.push(due, flow);
    }

    /// Takes an agent's answer to a question.
    pub(super) fn handle_answer(
        &mut self,
        from: SocketAddrV4,
        answer: Answer,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Searching(s)) = self.flows.get(answer.flow, now) else { return };
        s.message_count += 1;
        s.named_owner = answer.hint.or(s.named_owner);
        if let Some(since) = s.wave_started.filter(|_| s.pending.contains(&from)) {
            self.rtt.record_sample(now.duration_since(since));
        }
        if answer.status == FlowStatus::Held {
            self.record_owner(from, answer.flow, now, out);
            return;
        }
        if let Some(hint) = answer.hint.filter(|h| *h != from && s.unqueried.contains(h)) {
            s.unqueried.retain(|a| *a != hint);
            s.pending.push(hint);
            s.message_count += 1;
            let (service, question) = (s.service.clone(), s.question(answer.flow));
            self.queries.enqueue(hint, &service, question);
            if let Some(FlowState::Searching(mut s)) = self.flows.remove(answer.flow) {
                self.start_wave_timer(answer.flow, &mut s, now);
                self.flows.insert(answer.flow, FlowState::Searching(s), now);
            }
        }
        self.handle_denial(from, answer.flow, answer.status, now, out);
    }

    pub(super) fn handle_denial(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        status: FlowStatus,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        match self.flows.get(flow, now) {
            Some(FlowState::Owned { agent, .. }) if *agent == from => {
                self.flows.remove(flow);
            }
            Some(FlowState::Searching(s)) => {
                s.record_answer(from, status);
                let done = s.pending.is_empty();
                self.try_named_owner(flow, out);
                if done {
                    self.advance_search(flow, now, out);
                }
            }
            _ => {}
        }
    }

    /// A wave is over: the next is asked, or the round decided.
    fn advance_search(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        if !s.unqueried.is_empty() {
            let Some(FlowState::Searching(mut s)) = self.flows.remove(flow) else { return };
            self.query_wave(flow, &mut s, now);
            self.flows.insert(flow, FlowState::Searching(s), now);
        } else if s.silent.is_empty() {
            let lost = s.is_lost();
            self.finish_round(flow, lost, now, out);
        } else {
            self.resolve_on_timeout(flow, now, out);
        }
    }

    /// Some agents of the wave did not answer in time.
    pub(super) fn handle_wave_timeout(
        &mut self,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Searching(mut s)) = self.flows.remove(flow) else { return };
        let unsent = s.pending.iter().any(|a| self.queries.is_queued(*a, flow));
        if unsent {
            // The budget has not allowed the question yet.
            self.start_wave_timer(flow, &mut s, now);
            self.flows.insert(flow, FlowState::Searching(s), now);
            return;
        }
        let silent = std::mem::take(&mut s.pending);
        log::info!(
            event = events::OWNER_UNKNOWN, flow:% = flow, silent:? = silent,
            unverified:? = s.unverified, tried:? = s.tried;
            "flow's owner not found"
        );
        for agent in &silent {
            self.roster.record_timeout(*agent, now);
        }
        s.silent.extend(silent);
        self.flows.insert(flow, FlowState::Searching(s), now);
        self.advance_search(flow, now, out);
    }

    /// The owner of a flow was found: it gets the packets kept.
    pub(super) fn forward_buffered(
        &mut self,
        from: SocketAddrV4,
        search: OwnerSearch,
        out: &mut impl Transmit,
    ) {
        self.buffered_bytes -= search.buffered_bytes();
        if search.message_count > 0 {
            metrics::searched(search.message_count);
        }
        if search.tried.contains(&from) {
            // It has the last packet, which was tried at its target.
            return;
        }
        let message = Message::Forward { service: &search.service, mode: ForwardMode::Owner };
        for packet in &search.packets {
            out.send_to_agent(from, &message, packet);
        }
    }
}
