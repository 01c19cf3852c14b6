//! New flows: to which agents an open is offered, and what becomes of it.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowState, FlowSteering, PendingOpen, Transmit, refuse_open};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Message, Open};
use crate::wire::{Offer, OfferStage};

impl FlowSteering {
    /// Offers a new flow, or the copy of one, to agents.
    pub(super) fn handle_open(&mut self, arrival: &ReceivedPacket<'_>, out: &mut impl Transmit) {
        let (flow, seq, now) = (arrival.flow(), arrival.seg.seq, arrival.now);
        let Some((route, weighted)) = self.routes.as_ref().and_then(|r| r.route_for(flow)) else {
            refuse_open(flow, Refusal::NoProfile, out);
            return;
        };
        let patience = self.policy.open_timeout.min(route.request_timeout / 2);
        let mut opening = PendingOpen::new(weighted, seq, arrival.packet, now, patience);
        let mut before = None;
        match self.flows.remove(flow) {
            Some(FlowState::Owned { agent, .. }) => before = Some(agent),
            Some(FlowState::Opening(o)) if o.seq == seq => {
                before = o.offered_to.first().copied();
                opening = PendingOpen { offered_to: Vec::new(), ..o };
            }
            Some(known @ FlowState::Searching(_)) => self.buffered_bytes -= known.buffered_bytes(),
            _ => {}
        }
        self.retry_budget.add(self.policy.retry_ratio);
        // A copy goes where the first went, if that agent answers: a second
        // target would only answer a handshake that is thrown away.
        let before = before.filter(|a| self.roster.is_responsive(*a));
        if !self.offer_open(flow, &mut opening, before, now, out) {
            if self.is_roster_current(now) {
                refuse_open(flow, Refusal::NoTarget, out);
                return;
            }
            self.schedule_retry(flow, &mut opening, now);
        }
        self.flows.insert(flow, FlowState::Opening(opening), now);
    }

    /// Lets an open rest until the next round of offers; the pauses grow.
    pub(super) fn schedule_retry(&mut self, flow: Flow, opening: &mut PendingOpen, now: Instant) {
        let pause =
            backoff(self.policy.retry_delay, opening.round_count, self.policy.max_retry_delay);
        opening.offered_to.clear();
        opening.round_count += 1;
        opening.in_backoff = true;
        opening.deadline = now + pause;
        self.deadlines.push(opening.deadline, flow);
    }

    /// Whether an agent that is not in the roster can be taken as gone.
    pub(super) fn is_roster_current(&self, now: Instant) -> bool {
        self.store_up_since.is_some_and(|at| now.duration_since(at) >= self.policy.relist_grace)
    }

    /// Offers an open to the next two agents; `first` names the first of them
    /// where it is already known. Says whether there was one left.
    pub(super) fn offer_open(
        &mut self,
        flow: Flow,
        opening: &mut PendingOpen,
        first: Option<SocketAddrV4>,
        now: Instant,
        out: &mut impl Transmit,
    ) -> bool {
        let pair = self.roster.choose_pair(
            &opening.service,
            &self.zone,
            flow,
            first,
            &opening.offered_to,
            now,
        );
        let Some((first, second)) = pair else { return false };
        let stage = if second.is_some() { OfferStage::Ask } else { OfferStage::Take };
        let open = Open {
            service: &opening.service,
            max_flows: opening.max_flows,
            aged: now.duration_since(opening.arrived_at) >= self.policy.aged_after,
            offer: Offer { first, second, stage },
            reply_to: self.own_addr,
        };
        out.send_to_agent(first, &Message::Open(open), &opening.packet);
        opening.offered_to.push(first);
        opening.offered_to.extend(second);
        opening.offered_at = now;
        opening.in_backoff = false;
        opening.deadline =
            now + backoff(self.response_timeout(), opening.timeout_count, self.policy.max_timeout);
        self.deadlines.push(opening.deadline, flow);
        true
    }

    pub(super) fn handle_refusal(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        reason: Refusal,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Opening(o)) = self.flows.get(flow, now) else { return };
        if !o.offered_to.contains(&from) {
            return;
        }
        o.inconclusive |= matches!(reason, Refusal::NoTarget | Refusal::Busy);
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
        self.rtt.record_sample(now.duration_since(opening.offered_at));
        let most = if reason == Refusal::Busy {
            self.policy.max_busy_offers
        } else {
            self.policy.max_offers
        };
        let more = opening.offered_to.len() < most;
        if more && self.offer_open(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else if more && !opening.inconclusive && self.is_roster_current(now) {
            refuse_open(flow, reason, out);
        } else {
            self.retry_or_refuse(flow, opening, reason, now, out);
        }
    }

    /// Offers an open to all agents once more after a pause; one that was kept
    /// for as long as it may be is refused for `reason`.
    pub(super) fn retry_or_refuse(
        &mut self,
        flow: Flow,
        mut opening: PendingOpen,
        reason: Refusal,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        if now.duration_since(opening.arrived_at) >= opening.timeout {
            refuse_open(flow, reason, out);
        } else {
            self.schedule_retry(flow, &mut opening, now);
            self.flows.insert(flow, FlowState::Opening(opening), now);
        }
    }

    /// The agents that an open was offered to did not answer, or its rest is
    /// over: offers it to the next, as far as the budget goes.
    pub(super) fn handle_open_timeout(
        &mut self,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
        if !opening.in_backoff {
            metrics::retried(Retry::OpenTimeout);
            log::info!(
                event = events::OPEN_UNANSWERED, flow:% = flow, offered:? = opening.offered_to,
                age_ms = now.duration_since(opening.arrived_at).as_millis();
                "agents did not answer an open"
            );
            for agent in opening.offered_to.iter().rev().take(2) {
                self.roster.record_timeout(*agent, now);
            }
            opening.inconclusive = true;
            opening.timeout_count += 1;
        }
        if !self.take_retry_token(now) {
            metrics::retried(Retry::BudgetSpent);
            self.retry_or_refuse(flow, opening, Refusal::OpenTimeout, now, out);
        } else if self.offer_open(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else {
            self.retry_or_refuse(flow, opening, Refusal::NoTarget, now, out);
        }
    }

    /// Whether the budget has one more offer.
    fn take_retry_token(&mut self, now: Instant) -> bool {
        // At most some thousands of agents, so the value is kept.
        let rate = self.policy.retry_rate * self.roster.len() as f64;
        self.retry_budget.refill(rate, now);
        self.retry_budget.try_take()
    }
}

/// `pause`, doubled `times` times, up to `most`.
fn backoff(pause: Duration, times: u32, most: Duration) -> Duration {
    let factor = 1_u32.checked_shl(times).unwrap_or(u32::MAX);
    pause.saturating_mul(factor).min(most.max(pause))
}
