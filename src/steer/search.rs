//! Flows that the balancer does not know: which agent's target holds them.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{ANSWER, Known, Out, RESTART, Search, Steer, TRIALS, refuse_at};
use crate::bus::{Message, Mode, Word};
use crate::events;
use crate::flow::{Arrival, Flow};
use crate::metrics::{self, Refusal, Retry};

impl Steer {
    /// Asks every agent of the service for the owner of a flow.
    pub(super) fn search(&mut self, came: &Arrival<'_>, out: &mut impl Out) {
        let Arrival { seg, packet, now } = *came;
        let flow = came.flow();
        let Some(routes) = &self.routes else { return };
        let Some(share) = routes.share(flow) else {
            if !seg.flags.rst {
                refuse_at(flow, seg.ack, Refusal::NoProfile, out);
            }
            return;
        };
        let mut search = match self.flows.get(flow, now) {
            Some(Known::Search(s)) => std::mem::take(s),
            _ => Search::default(),
        };
        search.service = share.service.clone();
        search.packet = packet.to_vec();
        search.unsure.clear();
        search.waiting.clear();
        search.asked = 0;
        search.ack = seg.ack;
        let message = Message::Carry { service: &search.service, mode: Mode::Ask };
        for agent in self.roster.of(&search.service) {
            out.agent(agent, &message, packet);
            search.waiting.push(agent);
            search.asked += 1;
        }
        metrics::retried(Retry::OwnerAsked);
        log::info!(
            event = events::OWNER_ASKED, flow:% = flow, agents = search.asked,
            version = routes.version;
            "agents asked for a flow's owner"
        );
        search.due = Some(now + ANSWER);
        self.flows.insert(flow, Known::Search(search), now);
        self.due.push_back((now + ANSWER, flow));
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
                if s.lost() && self.sees_since.is_some() {
                    self.lose(flow, out);
                } else if s.waiting.is_empty() {
                    self.try_unsure(flow, now, out);
                }
            }
            _ => {}
        }
    }

    /// Some agents did not answer in time. Those that are long gone count as
    /// denying the flow, if most agents answered: one cut off from most of them
    /// knows nothing.
    pub(super) fn unanswered(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(Known::Search(s)) = self.flows.peek(flow) else { return };
        let silent = s.waiting.clone();
        for agent in &silent {
            self.roster.missed(*agent, now);
        }
        let gone = silent.iter().all(|a| self.roster.gone(*a, now));
        let most = silent.len() * 2 < usize::try_from(s.asked).unwrap_or(usize::MAX);
        if gone && most && s.unsure.is_empty() && self.sees_since.is_some() {
            self.lose(flow, out);
        } else if silent.iter().all(|a| self.roster.silent_for(*a, RESTART, now)) {
            self.try_unsure(flow, now, out);
        }
    }

    /// The target that held the flow is gone: tells its caller at once.
    fn lose(&mut self, flow: Flow, out: &mut impl Out) {
        if let Some(Known::Search(s)) = self.flows.remove(flow) {
            refuse_at(flow, s.ack, Refusal::Lost, out);
        }
    }

    /// No agent knew the flow: has agents that may have forgotten it try their
    /// targets, first those to which the open was most likely offered. Once these
    /// gave it back, all others at once, if the flow's own must be among them:
    /// every agent of the service answered, and the list of them is current.
    pub(super) fn try_unsure(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let certain = self.certain(now);
        let Some(Known::Search(s)) = self.flows.get(flow, now) else { return };
        let mut left = self.roster.likely(&s.unsure, &self.zone, flow);
        left.retain(|a| !s.tried.contains(a));
        let all = certain && s.waiting.is_empty() && s.tried.len() >= TRIALS && !s.trying();
        if !all {
            left.truncate(TRIALS.saturating_sub(s.tried.len()));
        }
        let message = Message::Carry { service: &s.service, mode: Mode::Try };
        for agent in &left {
            out.agent(*agent, &message, &s.packet);
        }
        s.tried.extend(left);
    }
}
