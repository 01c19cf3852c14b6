//! Opening of flows: offers opens to agents, retries them and refuses them.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowState, FlowSteering, PendingOpen, Transmit, refuse_open};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Message, Open, WarmUp};
use crate::request::OpenRequest;
use crate::wire::{Offer, OfferStage};

impl FlowSteering {
    /// Offers an open, new or retransmitted, to agents.
    pub(super) fn handle_open(&mut self, received: &ReceivedPacket<'_>, out: &mut impl Transmit) {
        let (flow, seq, now) = (received.flow(), received.seg.seq, received.now);
        let Some((route, weighted)) = self.routes.as_ref().and_then(|r| r.route_for(flow)) else {
            refuse_open(flow, Refusal::NoProfile, out);
            return;
        };
        let timeout = self.policy.open_timeout.min(route.request_timeout / 2);
        let mut opening =
            PendingOpen::new(weighted, route.needs, seq, received.packet, now, timeout);
        let mut previous = None;
        match self.flows.remove(flow) {
            Some(FlowState::Owned { agent, .. }) => previous = Some(agent),
            Some(FlowState::Opening(o)) if o.seq == seq && o.queue.is_some() => {
                let agent = o.queue.map(|q| q.agent);
                self.flows.insert(flow, FlowState::Opening(o), now);
                if agent.is_some_and(|a| self.roster.is_responsive(a)) {
                    self.renew_queued(flow, now, out);
                }
                return;
            }
            Some(FlowState::Opening(o)) if o.seq == seq => {
                previous = o.offered_to.first().copied();
                opening = PendingOpen { offered_to: Vec::new(), ..o };
            }
            Some(search @ FlowState::Searching(_)) => {
                self.buffered_bytes -= search.buffered_bytes()
            }
            _ => {}
        }
        self.retry_budget.add(self.policy.retry_ratio);
        // A retransmitted SYN goes to the same agent again, so that no second target
        // opens the flow.
        let previous = previous.filter(|a| self.roster.is_responsive(*a));
        if !self.offer_open(flow, &mut opening, previous, now, out) {
            if self.is_roster_current(now) {
                refuse_open(flow, self.no_candidate_reason(&opening.service), out);
                return;
            }
            self.schedule_retry(flow, &mut opening, now);
        }
        self.flows.insert(flow, FlowState::Opening(opening), now);
    }

    /// Schedules the next round of offers, with exponential backoff.
    pub(super) fn schedule_retry(&mut self, flow: Flow, opening: &mut PendingOpen, now: Instant) {
        let delay =
            backoff(self.policy.retry_delay, opening.round_count, self.policy.max_retry_delay);
        opening.offered_to.clear();
        opening.round_count += 1;
        opening.in_backoff = true;
        opening.deadline = now + delay;
        self.deadlines.push(opening.deadline, flow);
    }

    /// Whether the roster is complete: the store has been reachable for long enough that
    /// every live agent is listed again.
    pub(super) fn is_roster_current(&self, now: Instant) -> bool {
        self.store_reachable_since
            .is_some_and(|at| now.duration_since(at) >= self.policy.relist_grace)
    }

    /// Offers an open to the next two agents, the first of which is `first` if given.
    /// Returns false if every agent was offered it in this round.
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
        let stage = if second.is_some() { OfferStage::Propose } else { OfferStage::Assign };
        let open = Open {
            service: &opening.service,
            max_flows: opening.max_flows,
            aged: now.duration_since(opening.arrived_at) >= self.policy.aged_after,
            offer: Offer { first, second, stage },
            reply_to: self.own_addr,
            warm_up: self.warm_up(&opening.service, (first, second), now),
            request: self.open_request(opening, (first, second), now),
        };
        out.send_to_agent(first, &Message::offer(open), &opening.packet);
        opening.offered_to.push(first);
        opening.offered_to.extend(second);
        opening.last_offer_len = 1 + usize::from(second.is_some());
        opening.offered_at = now;
        opening.in_backoff = false;
        opening.deadline =
            now + backoff(self.response_timeout(), opening.timeout_count, self.policy.max_timeout);
        self.deadlines.push(opening.deadline, flow);
        true
    }

    /// What the agents of an offer need to know of the request; `None` if the configuration
    /// does not state it or one of the agents would not understand it.
    fn open_request(
        &self,
        opening: &PendingOpen,
        (first, second): (SocketAddrV4, Option<SocketAddrV4>),
        now: Instant,
    ) -> Option<OpenRequest> {
        let agents: Vec<_> = [Some(first), second].into_iter().flatten().collect();
        let needs = opening.needs.filter(|_| self.policy.queued_opens)?;
        if !agents.iter().all(|a| self.roster.queues_opens(*a)) {
            return None;
        }
        let any_target = self.allows_any_target(&opening.service, now);
        let bounded = self.bounds_owner(&opening.service, &agents);
        let request = OpenRequest::new(needs, now.duration_since(opening.arrived_at));
        Some(OpenRequest { any_target, bounded, ..request })
    }

    /// Whether only agents of the offer to `agents` may own a flow of `service`.
    pub(super) fn bounds_owner(&self, service: &str, agents: &[SocketAddrV4]) -> bool {
        self.roster.bounds_owners(service)
            && agents.iter().all(|a| self.roster.understands_bounds(*a))
    }

    /// Whether opens of `service` may go to targets that are set aside, as too many are.
    pub(super) fn allows_any_target(&self, service: &str, now: Instant) -> bool {
        let any = self.set_aside.is_widespread(self.roster.agents_of(service), now);
        if any {
            metrics::count_outlier("any_target");
        }
        any
    }

    /// What the agents of an offer need to know of cold targets; `None` if those of the
    /// service bear any rate.
    pub(super) fn warm_up(
        &self,
        service: &str,
        (first, second): (SocketAddrV4, Option<SocketAddrV4>),
        now: Instant,
    ) -> Option<WarmUp> {
        let milli_rate = *self.routes.as_ref()?.cold_rates.get(service)?;
        Some(WarmUp {
            milli_rate,
            first_returned: self.roster.returned_ms(first, now),
            second_returned: second.and_then(|second| self.roster.returned_ms(second, now)),
        })
    }

    /// Offers a refused open to the next agents, retries it later or resets the flow.
    pub(super) fn handle_refusal(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        reason: Refusal,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Opening(o)) = self.flows.get(flow, now) else { return };
        let queue = o.queue.take();
        if queue.is_some_and(|q| q.agent != from)
            || queue.is_none() && !o.last_offer().contains(&from)
        {
            o.queue = queue;
            return;
        }
        o.inconclusive |=
            matches!(reason, Refusal::NoTarget | Refusal::Busy | Refusal::Cold | Refusal::SetAside);
        // Agents with room would have asked these for opens. After an outage, room is still to
        // come from agents that are not listed yet.
        let is_final = reason == Refusal::Overload && !o.inconclusive;
        if is_final && self.is_roster_current(now) {
            self.flows.remove(flow);
            refuse_open(flow, reason, out);
            return;
        }
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
        if queue.is_none() {
            self.rtt.record_sample(now.duration_since(opening.offered_at));
        }
        let limit = if matches!(reason, Refusal::Busy | Refusal::Cold | Refusal::Overload) {
            self.policy.max_busy_offers
        } else {
            self.policy.max_offers
        };
        let may_offer = opening.offered_to.len() < limit;
        if may_offer && self.offer_open(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else if may_offer && !opening.inconclusive && self.is_roster_current(now) {
            refuse_open(flow, reason, out);
        } else {
            self.retry_or_refuse(flow, opening, reason, now, out);
        }
    }

    /// Schedules another round of offers, or refuses the open for `reason` once it has
    /// timed out.
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

    /// Offers an open to the next agents when an offer was not answered in time or the
    /// delay before a new round is over, if the retry budget allows it.
    pub(super) fn handle_open_timeout(
        &mut self,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(FlowState::Opening(mut opening)) = self.flows.remove(flow) else { return };
        if opening.queue.is_some() {
            self.flows.insert(flow, FlowState::Opening(opening), now);
            self.handle_renewal_due(flow, now, out);
            return;
        }
        if !opening.in_backoff {
            metrics::count_retry(Retry::OpenTimeout);
            log::info!(
                event = events::OPEN_UNANSWERED, flow:% = flow, offered:? = opening.offered_to,
                age_ms = now.duration_since(opening.arrived_at).as_millis();
                "agents did not answer an open"
            );
            for agent in opening.last_offer() {
                self.roster.record_timeout(*agent, now);
            }
            opening.inconclusive = true;
            opening.timeout_count += 1;
        }
        if !self.take_retry_token(now) {
            metrics::count_retry(Retry::BudgetSpent);
            self.retry_or_refuse(flow, opening, Refusal::OpenTimeout, now, out);
        } else if self.offer_open(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else {
            let reason = self.no_candidate_reason(&opening.service);
            self.retry_or_refuse(flow, opening, reason, now, out);
        }
    }

    /// Why no agent can be offered an open of `service`.
    fn no_candidate_reason(&self, service: &str) -> Refusal {
        if self.roster.is_evacuated(service) { Refusal::Evacuated } else { Refusal::NoTarget }
    }

    /// Takes a token from the retry budget; false if there is none.
    fn take_retry_token(&mut self, now: Instant) -> bool {
        self.retry_budget.refill(self.policy.max_retry_rate(self.roster.len()), now);
        self.retry_budget.try_take()
    }
}

/// `base`, doubled `times` times, up to `limit` but not below `base`.
fn backoff(base: Duration, times: u32, limit: Duration) -> Duration {
    let factor = 1_u32.checked_shl(times).unwrap_or(u32::MAX);
    base.saturating_mul(factor).min(limit.max(base))
}
