//! New flows: to which agents an open is offered, and what becomes of it.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{
    AGED, ANSWER, BUSY_OFFERS, Known, Opening, Out, PATIENCE, RELISTED, ROUND, Steer, refuse,
};
use crate::bus::{Message, Open};
use crate::events;
use crate::flow::{Arrival, Flow};
use crate::metrics::{self, Refusal, Retry};
use crate::wire::{Offer, Stage};

impl Steer {
    /// Offers a new flow, or the copy of one, to agents.
    pub(super) fn open(&mut self, came: &Arrival<'_>, out: &mut impl Out) {
        let (flow, seq, now) = (came.flow(), came.seg.seq, came.now);
        let (before, since) = match self.flows.get(flow, now) {
            Some(Known::At { agent, .. }) => (Some(*agent), now),
            Some(Known::Opening(o)) if o.seq == seq => (o.offered.first().copied(), o.since),
            _ => (None, now),
        };
        let Some((route, share)) = self.routes.as_ref().and_then(|r| r.find(flow)) else {
            refuse(flow, Refusal::NoProfile, out);
            return;
        };
        let patience = PATIENCE.min(route.limit / 2);
        let mut opening = Opening { since, patience, ..Opening::new(share, seq, came.packet, now) };
        // A copy goes where the first went, if that agent answers: a second
        // target would only answer a handshake that is thrown away.
        let before = before.filter(|a| self.roster.answers(*a));
        if !self.offer(flow, &mut opening, before, now, out) {
            if self.certain(now) {
                refuse(flow, Refusal::NoTarget, out);
                return;
            }
            self.rest(flow, &mut opening, now);
        }
        self.flows.insert(flow, Known::Opening(opening), now);
    }

    /// Lets an open rest until the next round of offers.
    pub(super) fn rest(&mut self, flow: Flow, opening: &mut Opening, now: Instant) {
        opening.offered.clear();
        opening.resting = true;
        opening.due = now + ROUND;
        self.due.push_back((opening.due, flow));
    }

    /// Whether an agent that is not in the roster can be taken as gone.
    pub(super) fn certain(&self, now: Instant) -> bool {
        self.sees_since.is_some_and(|at| now.duration_since(at) >= RELISTED)
    }

    /// Offers an open to the next two agents; `first` names the first of them
    /// where it is already known. Says whether there was one left.
    pub(super) fn offer(
        &mut self,
        flow: Flow,
        opening: &mut Opening,
        first: Option<SocketAddrV4>,
        now: Instant,
        out: &mut impl Out,
    ) -> bool {
        let pair =
            self.roster.pick(&opening.service, &self.zone, flow, first, &opening.offered, now);
        let Some((first, second)) = pair else { return false };
        let stage = if second.is_some() { Stage::Ask } else { Stage::Take };
        let open = Open {
            service: &opening.service,
            max_flows: opening.max_flows,
            aged: now.duration_since(opening.since) >= AGED,
            offer: Offer { first, second, stage },
            reply: self.me,
        };
        out.agent(first, &Message::Open(open), &opening.packet);
        opening.offered.push(first);
        opening.offered.extend(second);
        opening.resting = false;
        opening.due = now + ANSWER;
        self.due.push_back((opening.due, flow));
        true
    }

    pub(super) fn refused(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        reason: Refusal,
        now: Instant,
        out: &mut impl Out,
    ) {
        let Some(Known::Opening(o)) = self.flows.get(flow, now) else { return };
        if !o.offered.contains(&from) {
            return;
        }
        o.doubtful |= matches!(reason, Refusal::NoTarget | Refusal::Busy);
        let Some(Known::Opening(mut opening)) = self.flows.remove(flow) else { return };
        let enough = reason == Refusal::Busy && opening.offered.len() >= BUSY_OFFERS;
        if !enough && self.offer(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, Known::Opening(opening), now);
        } else if opening.doubtful || !self.certain(now) {
            self.again(flow, opening, reason, now, out);
        } else {
            refuse(flow, reason, out);
        }
    }

    /// Offers an open to all agents once more after a pause; one that was kept
    /// for as long as it may be is refused for `reason`.
    pub(super) fn again(
        &mut self,
        flow: Flow,
        mut opening: Opening,
        reason: Refusal,
        now: Instant,
        out: &mut impl Out,
    ) {
        if now.duration_since(opening.since) >= opening.patience {
            refuse(flow, reason, out);
        } else {
            self.rest(flow, &mut opening, now);
            self.flows.insert(flow, Known::Opening(opening), now);
        }
    }

    /// The agents that an open was offered to did not answer, or its rest is
    /// over: offers it to the next.
    pub(super) fn reoffer(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(Known::Opening(mut opening)) = self.flows.remove(flow) else { return };
        if !opening.resting {
            metrics::retried(Retry::OpenTimeout);
            log::info!(
                event = events::OPEN_UNANSWERED, flow:% = flow, offered:? = opening.offered,
                age_ms = now.duration_since(opening.since).as_millis();
                "agents did not answer an open"
            );
            for agent in opening.offered.iter().rev().take(2) {
                self.roster.missed(*agent, now);
            }
            opening.doubtful = true;
        }
        if self.offer(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, Known::Opening(opening), now);
        } else {
            self.again(flow, opening, Refusal::NoTarget, now, out);
        }
    }
}
