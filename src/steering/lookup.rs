//! Owner lookup: finds the agent whose target holds a flow.
//!
//! Agents are queried in waves: the flow's home agent first, then a few that were its
//! home before the set of agents changed, then all others that may own it. A round without an
//! outcome is repeated for those that did not tell. Queries carry only the
//! flow's addresses; its packets are buffered meanwhile.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, FlowSteering, OwnerSearch, Transmit, send_refusal};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Answer, FlowStatus, ForwardMode, Message, QueriedFlow};

impl FlowSteering {
    /// Buffers a packet and starts a search for its flow's owner, unless one is running.
    pub(super) fn search_owner(&mut self, received: &ReceivedPacket<'_>, out: &mut impl Transmit) {
        let ReceivedPacket { seg, now, .. } = *received;
        let flow = received.flow();
        if self.routes.is_none() {
            return;
        }
        let services = self.owner_services(flow);
        if services.is_empty() {
            if !seg.flags.rst {
                send_refusal(flow, seg.ack, Refusal::NoProfile, out);
            }
            return;
        }
        // The packet overtook the update on its open: query the agents that the open was
        // offered to first.
        let (mut search, offered) = match self.flows.remove(flow) {
            Some(FlowState::Searching(s)) => (s, Vec::new()),
            Some(FlowState::Opening(o)) => (OwnerSearch::default(), o.offered_to),
            Some(FlowState::Owned { .. }) | None => (OwnerSearch::default(), Vec::new()),
        };
        self.buffered_bytes -= search.buffered_bytes();
        let running = search.wave_deadline.is_some();
        if !running {
            search.packets.clear();
        }
        search.buffer_packet(seg, received.packet, self.buffered_bytes, &self.policy);
        self.buffered_bytes += search.buffered_bytes();
        if !running {
            search.services = services;
            search.repeat_count = 0;
            search.is_repetition = false;
            self.start_round(flow, &mut search, &offered, now);
        }
        self.flows.insert(flow, FlowState::Searching(search), now);
    }

    /// Starts a round of queries: to the agents that the flow was most likely offered to, the
    /// likeliest first, then to all others that may own it. Agents that have denied the flow are
    /// skipped.
    pub(super) fn start_round(
        &mut self,
        flow: Flow,
        search: &mut OwnerSearch,
        offered: &[SocketAddrV4],
        now: Instant,
    ) {
        search.expire_denials(now);
        search.unqueried.clear();
        search.pending.clear();
        search.silent.clear();
        search.unverified.clear();
        search.named_trial = None;
        search.wave_index = if search.is_repetition { self.policy.wave_sizes.len() } else { 0 };
        search.message_count = 0;
        search.repeat_at = None;
        search.agent_count = 0;
        search.add_services(self.owner_services(flow));
        let services = &search.services;
        search.widened = !services.iter().any(|s| self.roster.bounds_owners(s));
        let mut likely: Vec<_> =
            services.iter().flat_map(|s| self.roster.offer_candidates(s, flow)).collect();
        let homes = services.iter().filter_map(|s| self.roster.home_agent(s, &self.zone, flow));
        for agent in homes.chain(offered.iter().copied()) {
            if !likely.contains(&agent) && self.roster.is_responsive(agent) {
                likely.push(agent);
            }
        }
        self.add_unqueried(flow, search, &likely, offered);
        metrics::count_retry(Retry::OwnerQueried);
        log::info!(
            event = events::OWNER_QUERIED, flow:% = flow, agents = search.agent_count,
            version = self.config_version();
            "agents queried for a flow's owner"
        );
        self.query_wave(flow, search, now);
    }

    /// Adds `agents` to those that the round queries, the likeliest owners first and silent agents
    /// last. Agents that left with their targets, or have denied the flow, only count.
    fn add_unqueried(
        &self,
        flow: Flow,
        search: &mut OwnerSearch,
        agents: &[SocketAddrV4],
        offered: &[SocketAddrV4],
    ) {
        // Fits: a service has far fewer agents.
        search.agent_count += agents.len() as u32;
        let candidates = agents
            .iter()
            .copied()
            .filter(|a| !self.roster.ended_and_silent(*a) && !search.is_denied_by(*a));
        let (responsive, silent): (Vec<_>, Vec<_>) =
            candidates.partition(|a| self.roster.is_responsive(*a));
        let mut order = self.roster.rank_owners(&search.services, &responsive, &self.zone, flow);
        order.extend(silent);
        order.sort_by_key(|a| !offered.contains(a));
        search.unqueried.extend(order);
    }

    /// Has the round cover all agents that may own the flow.
    fn widen_round(&self, flow: Flow, search: &mut OwnerSearch) {
        search.widened = true;
        search.wave_index = self.policy.wave_sizes.len();
        let services = search.services.iter();
        let mut others: Vec<_> =
            services.flat_map(|s| self.roster.possible_owners(s, flow)).collect();
        others.retain(|a| !search.has_asked(*a));
        self.add_unqueried(flow, search, &others, &[]);
    }

    /// Queues queries to the agents of the next wave.
    fn query_wave(&mut self, flow: Flow, search: &mut OwnerSearch, now: Instant) {
        let is_last = search.wave_index >= self.policy.wave_sizes.len();
        if !search.widened && (is_last || search.unqueried.is_empty()) {
            self.widen_round(flow, search);
        }
        let wave = search.next_wave(&self.policy.wave_sizes);
        for agent in &wave {
            self.enqueue_query(*agent, search.queried_flow(flow));
        }
        // Fits: a service has far fewer agents.
        search.message_count += wave.len() as u32;
        search.pending.extend(wave);
        self.start_wave_timer(flow, search, now);
    }

    fn enqueue_query(&mut self, agent: SocketAddrV4, queried: QueriedFlow) {
        if let Some(service) = self.roster.service_of(agent) {
            self.queries.enqueue(agent, service, queried);
        }
    }

    fn start_wave_timer(&mut self, flow: Flow, search: &mut OwnerSearch, now: Instant) {
        let deadline = now + self.response_timeout();
        search.wave_started = Some(now);
        search.wave_deadline = Some(deadline);
        self.deadlines.push(deadline, flow);
    }

    /// Handles an agent's answer to a query. An agent that it names as the owner is
    /// queried next.
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
            let queried = s.queried_flow(answer.flow);
            self.enqueue_query(hint, queried);
            if let Some(FlowState::Searching(mut s)) = self.flows.remove(answer.flow) {
                self.start_wave_timer(answer.flow, &mut s, now);
                self.flows.insert(answer.flow, FlowState::Searching(s), now);
            }
        }
        self.handle_denial(from, answer.flow, answer.status, now, out);
    }

    /// Handles an agent's answer that its target does not, or may not, hold the flow.
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
                s.record_answer(from, status, now);
                let done = s.pending.is_empty();
                self.try_named_owner(flow, out);
                if done {
                    self.advance_search(flow, now, out);
                }
            }
            _ => {}
        }
    }

    /// Starts the next wave, or decides the round after the last one.
    fn advance_search(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let Some(FlowState::Searching(s)) = self.flows.peek(flow) else { return };
        if !s.unqueried.is_empty() || !s.widened {
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

    /// Marks the agents that have not answered as silent and continues the search.
    pub(super) fn handle_wave_timeout(
        &mut self,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Searching(mut s)) = self.flows.remove(flow) else { return };
        let unsent = s.pending.iter().any(|a| self.queries.is_queued(*a, flow));
        // The rate limit holds some queries back, or did until a moment ago: their agents are not
        // silent.
        if std::mem::replace(&mut s.held_back, unsent) || unsent {
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

    /// Starts the round again for the agents that did not answer, or could not tell whether their
    /// targets hold the flow.
    pub(super) fn repeat_round(&mut self, flow: Flow, now: Instant) {
        let Some(FlowState::Searching(mut s)) = self.flows.remove(flow) else { return };
        s.is_repetition = true;
        let named_trial = s.named_trial;
        self.start_round(flow, &mut s, &[], now);
        s.named_trial = named_trial;
        self.flows.insert(flow, FlowState::Searching(s), now);
    }

    /// Forwards the buffered packets to the flow's owner `from`.
    pub(super) fn forward_buffered(
        &mut self,
        from: SocketAddrV4,
        search: OwnerSearch,
        out: &mut impl Transmit,
    ) {
        self.buffered_bytes -= search.buffered_bytes();
        if search.message_count > 0 {
            metrics::record_search(search.message_count);
        }
        if search.tried.contains(&from) {
            // The trial already delivered the last packet; the caller retransmits the rest.
            return;
        }
        let Some(service) = self.roster.service_of(from) else { return };
        let message = Message::Forward { service, mode: ForwardMode::Owner };
        for packet in &search.packets {
            out.send_to_agent(from, &message, packet);
        }
    }
}
