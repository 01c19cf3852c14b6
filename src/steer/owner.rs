//! Which agent's target holds a flow that the balancer does not know.
//!
//! Agents are asked in waves: first the flow's home, which took it or knows who
//! did, then a few whose home it may have been before agents came or went, then
//! all others. A question carries the flow's addresses, never its packets;
//! these are kept within a bound meanwhile.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, Out, Search, Steer, refuse_at};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Answer, FlowStatus, ForwardMode, Message};

impl Steer {
    /// Has the owner of a flow found, and keeps its packet until then.
    pub(super) fn search(&mut self, came: &ReceivedPacket<'_>, out: &mut impl Out) {
        let ReceivedPacket { seg, now, .. } = *came;
        let flow = came.flow();
        let Some(routes) = &self.routes else { return };
        let Some(share) = routes.share(flow) else {
            if !seg.flags.rst {
                refuse_at(flow, seg.ack, Refusal::NoProfile, out);
            }
            return;
        };
        let service = share.service.clone();
        // An open whose note has not come yet: the agents that it was offered to
        // know best.
        let (mut search, offered) = match self.flows.remove(flow) {
            Some(FlowState::Search(s)) => (s, Vec::new()),
            Some(FlowState::Opening(o)) => (Search::default(), o.offered),
            Some(FlowState::At { .. }) | None => (Search::default(), Vec::new()),
        };
        self.kept -= search.bytes();
        let under_way = search.due.is_some();
        if !under_way {
            search.packets.clear();
        }
        search.keep(seg, came.packet, self.kept, &self.policy);
        self.kept += search.bytes();
        if !under_way {
            search.service = service;
            self.begin(flow, &mut search, &offered, now);
        }
        self.flows.insert(flow, FlowState::Search(search), now);
    }

    /// Begins a round: every agent of the service is to be asked, the likeliest
    /// first and those that do not answer last, but for those whose targets have
    /// ended.
    fn begin(&mut self, flow: Flow, search: &mut Search, offered: &[SocketAddrV4], now: Instant) {
        let all: Vec<_> = self.roster.of(&search.service).collect();
        // Fewer than the type holds.
        search.agents = all.len() as u32;
        let asked = all.into_iter().filter(|a| !self.roster.over(*a));
        let (answering, silent): (Vec<_>, Vec<_>) = asked.partition(|a| self.roster.answers(*a));
        let mut order = self.roster.likely(&answering, &self.zone, flow);
        order.extend(silent);
        order.sort_by_key(|a| !offered.contains(a));
        search.left = order.into();
        search.waiting.clear();
        search.silent.clear();
        search.unverified.clear();
        search.trial = None;
        search.wave = 0;
        search.messages = 0;
        metrics::retried(Retry::OwnerAsked);
        log::info!(
            event = events::OWNER_ASKED, flow:% = flow, agents = search.agents,
            version = self.version();
            "agents asked for a flow's owner"
        );
        self.ask_wave(flow, search, now);
    }

    /// Queries the next agents of a round.
    fn ask_wave(&mut self, flow: Flow, search: &mut Search, now: Instant) {
        let wave = search.next_wave(&self.policy.waves);
        for agent in &wave {
            self.queries.put(*agent, &search.service, search.question(flow));
        }
        // Fewer than the type holds.
        search.messages += wave.len() as u32;
        search.waiting.extend(wave);
        self.await_wave(flow, search, now);
    }

    fn await_wave(&mut self, flow: Flow, search: &mut Search, now: Instant) {
        let due = now + self.answer_time();
        search.since = Some(now);
        search.due = Some(due);
        self.due.put(due, flow);
    }

    /// Takes an agent's answer to a question.
    pub(super) fn answer(
        &mut self,
        from: SocketAddrV4,
        answer: Answer,
        now: Instant,
        out: &mut impl Out,
    ) {
        let Some(FlowState::Search(s)) = self.flows.get(answer.flow, now) else { return };
        s.messages += 1;
        s.named = answer.hint.or(s.named);
        if let Some(since) = s.since.filter(|_| s.waiting.contains(&from)) {
            self.rtt.note(now.duration_since(since));
        }
        if answer.status == FlowStatus::Held {
            self.held(from, answer.flow, now, out);
            return;
        }
        if let Some(hint) = answer.hint.filter(|h| *h != from && s.left.contains(h)) {
            s.left.retain(|a| *a != hint);
            s.waiting.push(hint);
            s.messages += 1;
            let (service, question) = (s.service.clone(), s.question(answer.flow));
            self.queries.put(hint, &service, question);
            if let Some(FlowState::Search(mut s)) = self.flows.remove(answer.flow) {
                self.await_wave(answer.flow, &mut s, now);
                self.flows.insert(answer.flow, FlowState::Search(s), now);
            }
        }
        self.unknown(from, answer.flow, answer.status, now, out);
    }

    pub(super) fn unknown(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        status: FlowStatus,
        now: Instant,
        out: &mut impl Out,
    ) {
        match self.flows.get(flow, now) {
            Some(FlowState::At { agent, .. }) if *agent == from => {
                self.flows.remove(flow);
            }
            Some(FlowState::Search(s)) => {
                s.answered(from, status);
                let done = s.waiting.is_empty();
                self.try_named(flow, out);
                if done {
                    self.go_on(flow, now, out);
                }
            }
            _ => {}
        }
    }

    /// A wave is over: the next is asked, or the round decided.
    fn go_on(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(FlowState::Search(s)) = self.flows.peek(flow) else { return };
        if !s.left.is_empty() {
            let Some(FlowState::Search(mut s)) = self.flows.remove(flow) else { return };
            self.ask_wave(flow, &mut s, now);
            self.flows.insert(flow, FlowState::Search(s), now);
        } else if s.silent.is_empty() {
            let lost = s.lost();
            self.resolve(flow, lost, now, out);
        } else {
            self.resolve_on_timeout(flow, now, out);
        }
    }

    /// Some agents of the wave did not answer in time.
    pub(super) fn unanswered(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(FlowState::Search(mut s)) = self.flows.remove(flow) else { return };
        let unsent = s.waiting.iter().any(|a| self.queries.waits(*a, flow));
        if unsent {
            // The budget has not allowed the question yet.
            self.await_wave(flow, &mut s, now);
            self.flows.insert(flow, FlowState::Search(s), now);
            return;
        }
        let silent = std::mem::take(&mut s.waiting);
        log::info!(
            event = events::OWNER_UNKNOWN, flow:% = flow, silent:? = silent,
            unverified:? = s.unverified, tried:? = s.tried;
            "flow's owner not found"
        );
        for agent in &silent {
            self.roster.missed(*agent, now);
        }
        s.silent.extend(silent);
        self.flows.insert(flow, FlowState::Search(s), now);
        self.go_on(flow, now, out);
    }

    /// The owner of a flow was found: it gets the packets kept.
    pub(super) fn found(&mut self, from: SocketAddrV4, search: Search, out: &mut impl Out) {
        self.kept -= search.bytes();
        if search.messages > 0 {
            metrics::searched(search.messages);
        }
        if search.tried.contains(&from) {
            // It has the last packet, which was tried at its target.
            return;
        }
        let message = Message::Forward { service: &search.service, mode: ForwardMode::Owner };
        for packet in &search.packets {
            out.agent(from, &message, packet);
        }
    }
}
