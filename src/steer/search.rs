//! Flows that the balancer does not know: which agent's target holds them.
//!
//! Agents are asked in waves: first the flow's home, which took it or knows who
//! did, then a few whose home it may have been before agents came or went, then
//! all others. A question carries the flow's addresses, never its packets;
//! these are kept within a bound meanwhile.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::{Known, Out, Steer, refuse_at};
use crate::bus::{Answer, Message, Mode, Question, Word};
use crate::flow::{Arrival, Flow, Segment};
use crate::metrics::{self, Refusal, Retry};
use crate::{events, policy};

/// A search for a flow's owner.
#[derive(Debug, Default)]
pub struct Search {
    /// The service it is for.
    pub service: Arc<str>,
    /// Packets that have come meanwhile; of a search that found nobody, the last.
    packets: VecDeque<Vec<u8>>,
    /// The caller's last acknowledgement, and whether there was one.
    ack: u32,
    acked: bool,
    /// When the wave's time to answer is over; none once the round is decided.
    pub due: Option<Instant>,
    /// When the wave was asked.
    since: Option<Instant>,
    /// Agents that the round is to ask, in order.
    left: VecDeque<SocketAddrV4>,
    /// Waves of the round so far.
    wave: usize,
    /// Agents of the service.
    pub agents: u32,
    /// Agents asked that have not answered.
    pub waiting: Vec<SocketAddrV4>,
    /// Agents that did not answer in time.
    silent: Vec<SocketAddrV4>,
    /// Agents that may have forgotten the flow.
    pub unsure: Vec<SocketAddrV4>,
    /// Agents whose targets were tried, by this balancer or another.
    pub tried: Vec<SocketAddrV4>,
    /// The agent that was named as the flow's owner.
    named: Option<SocketAddrV4>,
    /// The named one, while its target is tried.
    trial: Option<SocketAddrV4>,
    /// Questions and answers of the round.
    messages: u32,
}

impl Search {
    /// Whether every agent of the service said for certain that its target
    /// does not hold the flow: the target that did is gone.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.agents > 0 && self.all_answered() && self.unsure.is_empty()
    }

    /// Whether every agent of the service has answered.
    fn all_answered(&self) -> bool {
        self.all_asked() && self.silent.is_empty()
    }

    /// Whether every agent of the service was asked, and had its time to answer.
    fn all_asked(&self) -> bool {
        self.left.is_empty() && self.waiting.is_empty()
    }

    /// An agent answered that it does not know the flow, or may have forgotten
    /// it ([`Word::Unsure`]), or that its target was tried ([`Word::Foreign`]).
    fn answered(&mut self, from: SocketAddrV4, word: Word) {
        self.left.retain(|a| *a != from);
        for list in [&mut self.waiting, &mut self.silent, &mut self.unsure] {
            list.retain(|a| *a != from);
        }
        if word == Word::Unsure {
            self.unsure.push(from);
        }
        if word == Word::Foreign && !self.tried.contains(&from) {
            self.tried.push(from);
        }
    }

    /// Whether a target that is being tried has not answered yet.
    fn trying(&self) -> bool {
        self.unsure.iter().any(|a| self.tried.contains(a))
    }

    /// Takes the agents of the next wave out of those left.
    fn next_wave(&mut self, waves: &[usize]) -> Vec<SocketAddrV4> {
        let size = waves.get(self.wave).copied().unwrap_or(usize::MAX);
        self.wave += 1;
        self.left.drain(..size.min(self.left.len())).collect()
    }

    const fn question(&self, flow: Flow) -> Question {
        Question { flow, ack: if self.acked { Some(self.ack) } else { None } }
    }

    /// Bytes of the packets kept.
    pub(super) fn bytes(&self) -> usize {
        self.packets.iter().map(Vec::len).sum()
    }

    /// Keeps only the last packet, which may be tried at targets: the caller
    /// sends all of them again.
    fn keep_last(&mut self) {
        let excess = self.packets.len().saturating_sub(1);
        self.packets.drain(..excess);
    }
}

impl Steer {
    /// Has the owner of a flow found, and keeps its packet until then.
    pub(super) fn search(&mut self, came: &Arrival<'_>, out: &mut impl Out) {
        let Arrival { seg, now, .. } = *came;
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
            Some(Known::Search(s)) => (s, Vec::new()),
            Some(Known::Opening(o)) => (Search::default(), o.offered),
            Some(Known::At { .. }) | None => (Search::default(), Vec::new()),
        };
        self.kept -= search.bytes();
        let under_way = search.due.is_some();
        if !under_way {
            search.packets.clear();
        }
        self.keep(&mut search, seg, came.packet);
        self.kept += search.bytes();
        if !under_way {
            search.service = service;
            self.begin(flow, &mut search, &offered, now);
        }
        self.flows.insert(flow, Known::Search(search), now);
    }

    /// Keeps a packet until the flow's owner is known, if there is room.
    fn keep(&self, search: &mut Search, seg: &Segment, packet: &[u8]) {
        let policy = &self.policy;
        search.acked = seg.flags.ack;
        search.ack = seg.ack;
        let room = self.kept + search.bytes() + packet.len() <= policy.kept_bytes;
        if search.packets.is_empty() || room && search.packets.len() < policy.kept_packets {
            search.packets.push_back(packet.to_vec());
        } else {
            metrics::dropped("search_full");
        }
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
        search.unsure.clear();
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

    /// Asks the next agents of a round.
    fn ask_wave(&mut self, flow: Flow, search: &mut Search, now: Instant) {
        let wave = search.next_wave(&self.policy.waves);
        for agent in &wave {
            self.asks.put(*agent, &search.service, search.question(flow));
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
        let Some(Known::Search(s)) = self.flows.get(answer.flow, now) else { return };
        s.messages += 1;
        s.named = answer.hint.or(s.named);
        if let Some(since) = s.since.filter(|_| s.waiting.contains(&from)) {
            self.rtt.note(now.duration_since(since));
        }
        if answer.word == Word::Held {
            self.held(from, answer.flow, now, out);
            return;
        }
        if let Some(hint) = answer.hint.filter(|h| *h != from && s.left.contains(h)) {
            s.left.retain(|a| *a != hint);
            s.waiting.push(hint);
            s.messages += 1;
            let (service, question) = (s.service.clone(), s.question(answer.flow));
            self.asks.put(hint, &service, question);
            if let Some(Known::Search(mut s)) = self.flows.remove(answer.flow) {
                self.await_wave(answer.flow, &mut s, now);
                self.flows.insert(answer.flow, Known::Search(s), now);
            }
        }
        self.unknown(from, answer.flow, answer.word, now, out);
    }

    pub(super) fn unknown(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        word: Word,
        now: Instant,
        out: &mut impl Out,
    ) {
        match self.flows.get(flow, now) {
            Some(Known::At { agent, .. }) if *agent == from => {
                self.flows.remove(flow);
            }
            Some(Known::Search(s)) => {
                s.answered(from, word);
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
        let Some(Known::Search(s)) = self.flows.peek(flow) else { return };
        if !s.left.is_empty() {
            let Some(Known::Search(mut s)) = self.flows.remove(flow) else { return };
            self.ask_wave(flow, &mut s, now);
            self.flows.insert(flow, Known::Search(s), now);
        } else if s.silent.is_empty() {
            let lost = s.lost();
            self.decide(flow, lost, now, out);
        } else {
            self.decide_without(flow, now, out);
        }
    }

    /// Some agents of the wave did not answer in time.
    pub(super) fn unanswered(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(Known::Search(mut s)) = self.flows.remove(flow) else { return };
        let unsent = s.waiting.iter().any(|a| self.asks.waits(*a, flow));
        if unsent {
            // The budget has not allowed the question yet.
            self.await_wave(flow, &mut s, now);
            self.flows.insert(flow, Known::Search(s), now);
            return;
        }
        let silent = std::mem::take(&mut s.waiting);
        log::info!(
            event = events::OWNER_UNKNOWN, flow:% = flow, silent:? = silent,
            unsure:? = s.unsure, tried:? = s.tried;
            "flow's owner not found"
        );
        for agent in &silent {
            self.roster.missed(*agent, now);
        }
        s.silent.extend(silent);
        self.flows.insert(flow, Known::Search(s), now);
        self.go_on(flow, now, out);
    }

    /// Every agent was asked and some are silent. Those that are long gone count
    /// as denying the flow, if most agents answered: a balancer cut off from most
    /// of them knows nothing.
    fn decide_without(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(Known::Search(s)) = self.flows.peek(flow) else { return };
        let gone = s.silent.iter().all(|a| self.roster.gone(*a, now));
        let most = s.silent.len() * 2 < usize::try_from(s.agents).unwrap_or(usize::MAX);
        let lost = gone && most && s.unsure.is_empty();
        if lost || s.silent.iter().all(|a| self.out_of_reach(*a, now)) {
            self.decide(flow, lost, now, out);
        } else {
            self.end_round(flow);
        }
    }

    /// Whether trials need not wait for an agent: it has been silent for longer
    /// than a restart takes, or it has left with its target. Without the second,
    /// a release in which one of 60 agents leaves each second held up every
    /// search: a quarter of all requests failed or were late until it was over,
    /// measured after a kill of all processes.
    fn out_of_reach(&self, agent: SocketAddrV4, now: Instant) -> bool {
        let left = self.sees_since.is_some() && self.roster.left(agent);
        left || self.roster.silent_for(agent, self.policy.restart, now)
    }

    /// The round is over: the flow is lost, or targets are tried.
    fn decide(&mut self, flow: Flow, lost: bool, now: Instant, out: &mut impl Out) {
        self.end_round(flow);
        if lost && self.sees_since.is_some() {
            self.lose(flow, out);
        } else {
            self.try_unsure(flow, now, out);
        }
    }

    fn end_round(&mut self, flow: Flow) {
        let Some(Known::Search(s)) = self.flows.peek_mut(flow) else { return };
        let before = s.bytes();
        s.due = None;
        s.keep_last();
        metrics::searched(std::mem::take(&mut s.messages));
        self.kept -= before - s.bytes();
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
        let message = Message::Carry { service: &search.service, mode: Mode::Owner };
        for packet in &search.packets {
            out.agent(from, &message, packet);
        }
    }

    /// The target that held the flow is gone: tells its caller at once.
    fn lose(&mut self, flow: Flow, out: &mut impl Out) {
        if let Some(Known::Search(s)) = self.flows.remove(flow) {
            self.kept -= s.bytes();
            refuse_at(flow, s.ack, Refusal::Lost, out);
        }
    }

    /// The agent that is named as the flow's owner may have forgotten it: has it
    /// try its target at once, without waiting for what others say.
    fn try_named(&mut self, flow: Flow, out: &mut impl Out) {
        let most = self.policy.trials;
        let Some(Known::Search(s)) = self.flows.peek_mut(flow) else { return };
        let fresh = |a: &SocketAddrV4| s.unsure.contains(a) && !s.tried.contains(a);
        let Some(named) = s.named.filter(fresh) else { return };
        if s.tried.len() >= most {
            return;
        }
        let Some(packet) = s.packets.back() else { return };
        let message = Message::Carry { service: &s.service, mode: Mode::Try };
        out.agent(named, &message, packet);
        s.tried.push(named);
        s.trial = Some(named);
    }

    /// No agent knew the flow: has agents that may have forgotten it try their
    /// targets, first those to which the open was most likely offered. Once these
    /// gave it back, all others at once, if the flow's own must be among them:
    /// every agent of the service answered or has left, and the list of them is
    /// current.
    fn try_unsure(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let policy::Steering { trials, .. } = self.policy;
        let Some(Known::Search(s)) = self.flows.peek(flow) else { return };
        if s.trial.is_some_and(|a| s.unsure.contains(&a)) {
            return;
        }
        let every = s.all_asked() && s.silent.iter().all(|a| self.roster.left(*a));
        let certain = every && self.certain(now);
        let Some(Known::Search(s)) = self.flows.get(flow, now) else { return };
        let mut left = self.roster.likely(&s.unsure, &self.zone, flow);
        left.retain(|a| !s.tried.contains(a));
        let all = certain && s.tried.len() >= trials && !s.trying();
        if !all {
            left.truncate(trials.saturating_sub(s.tried.len()));
        }
        let message = Message::Carry { service: &s.service, mode: Mode::Try };
        let Some(packet) = s.packets.back() else { return };
        for agent in &left {
            out.agent(*agent, &message, packet);
        }
        s.tried.extend(left);
    }
}
