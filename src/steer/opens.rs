//! New flows: to which agents an open is offered, and what becomes of it.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowState, Opening, Out, Steer, refuse};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Message, Open};
use crate::wire::{Offer, OfferStage};

impl Steer {
    /// Offers a new flow, or the copy of one, to agents.
    pub(super) fn open(&mut self, came: &ReceivedPacket<'_>, out: &mut impl Out) {
        let (flow, seq, now) = (came.flow(), came.seg.seq, came.now);
        let Some((route, share)) = self.routes.as_ref().and_then(|r| r.find(flow)) else {
            refuse(flow, Refusal::NoProfile, out);
            return;
        };
        let patience = self.policy.patience.min(route.limit / 2);
        let mut opening = Opening::new(share, seq, came.packet, now, patience);
        let mut before = None;
        match self.flows.remove(flow) {
            Some(FlowState::At { agent, .. }) => before = Some(agent),
            Some(FlowState::Opening(o)) if o.seq == seq => {
                before = o.offered.first().copied();
                opening = Opening { offered: Vec::new(), ..o };
            }
            Some(known @ FlowState::Search(_)) => self.kept -= known.kept(),
            _ => {}
        }
        self.retries.add(self.policy.retry_share);
        // A copy goes where the first went, if that agent answers: a second
        // target would only answer a handshake that is thrown away.
        let before = before.filter(|a| self.roster.answers(*a));
        if !self.offer(flow, &mut opening, before, now, out) {
            if self.roster_current(now) {
                refuse(flow, Refusal::NoTarget, out);
                return;
            }
            self.rest(flow, &mut opening, now);
        }
        self.flows.insert(flow, FlowState::Opening(opening), now);
    }

    /// Lets an open rest until the next round of offers; the pauses grow.
    pub(super) fn rest(&mut self, flow: Flow, opening: &mut Opening, now: Instant) {
        let pause = grown(self.policy.round, opening.rounds, self.policy.longest_round);
        opening.offered.clear();
        opening.rounds += 1;
        opening.resting = true;
        opening.due = now + pause;
        self.due.put(opening.due, flow);
    }

    /// Whether an agent that is not in the roster can be taken as gone.
    pub(super) fn roster_current(&self, now: Instant) -> bool {
        self.sees_since.is_some_and(|at| now.duration_since(at) >= self.policy.relisted)
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
        let stage = if second.is_some() { OfferStage::Ask } else { OfferStage::Take };
        let open = Open {
            service: &opening.service,
            max_flows: opening.max_flows,
            aged: now.duration_since(opening.since) >= self.policy.aged,
            offer: Offer { first, second, stage },
            reply_to: self.me,
        };
        out.agent(first, &Message::Open(open), &opening.packet);
        opening.offered.push(first);
        opening.offered.extend(second);
        opening.asked = now;
        opening.resting = false;
        opening.due = now + grown(self.answer_time(), opening.unanswered, self.policy.slowest);
        self.due.put(opening.due, flow);
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
        let Some(FlowState::Opening(o)) = self.flows.get(flow, now) else { return };
        if !o.offered.contains(&from) {
            return;
        }
        o.inconclusive |= matches!(reason, Refusal::NoTarget | Refusal::Busy);
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
        self.rtt.note(now.duration_since(opening.asked));
        let most =
            if reason == Refusal::Busy { self.policy.busy_offers } else { self.policy.most_offers };
        let more = opening.offered.len() < most;
        if more && self.offer(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else if more && !opening.inconclusive && self.roster_current(now) {
            refuse(flow, reason, out);
        } else {
            self.again(flow, opening, reason, now, out);
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
            self.flows.insert(flow, FlowState::Opening(opening), now);
        }
    }

    /// The agents that an open was offered to did not answer, or its rest is
    /// over: offers it to the next, as far as the budget goes.
    pub(super) fn reoffer(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
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
            opening.inconclusive = true;
            opening.unanswered += 1;
        }
        if !self.may_retry(now) {
            metrics::retried(Retry::BudgetSpent);
            self.again(flow, opening, Refusal::OpenTimeout, now, out);
        } else if self.offer(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else {
            self.again(flow, opening, Refusal::NoTarget, now, out);
        }
    }

    /// Whether the budget has one more offer.
    fn may_retry(&mut self, now: Instant) -> bool {
        // At most some thousands of agents, so the value is kept.
        let rate = self.policy.retry_rate * self.roster.len() as f64;
        self.retries.fill(rate, now);
        self.retries.take()
    }
}

/// `pause`, doubled `times` times, up to `most`.
fn grown(pause: Duration, times: u32, most: Duration) -> Duration {
    let factor = 1_u32.checked_shl(times).unwrap_or(u32::MAX);
    pause.saturating_mul(factor).min(most.max(pause))
}
