//! Opens that an agent has queued: their balancer renews them, and offers them elsewhere once
//! the agent can no longer deliver them.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::{FlowState, FlowSteering, PendingOpen, QueueLease, Transmit};
use crate::admission::{LEASE, LEASE_MARGIN, RENEWAL};
use crate::events;
use crate::flow::Flow;
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{Message, Open};
use crate::request::OpenRequest;
use crate::wire::{Offer, OfferStage};

impl FlowSteering {
    /// Records that agent `from` has queued an open. One that the open was offered to earlier,
    /// and that answers only now, is told to drop it: another agent has it.
    pub(super) fn handle_queued(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        handed_over: bool,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let o = match self.flows.get(flow, now) {
            Some(FlowState::Opening(o)) if o.may_be_queued_at(from, handed_over) => o,
            Some(FlowState::Owned { agent, .. }) if *agent == from => return,
            _ => {
                out.send_to_agent(from, &Message::Withdraw { flow }, &[]);
                return;
            }
        };
        if o.queue.is_none() {
            self.rtt.record_sample(now.duration_since(o.offered_at));
        }
        // The agent's lease began before it sent this. One that was handed the open has what is
        // left of the other agent's.
        o.queue = Some(QueueLease { agent: from, renewed_at: now, confirmed: true });
        o.timeout_count = 0;
        o.in_backoff = false;
        o.deadline = now + if handed_over { LEASE - RENEWAL } else { RENEWAL };
        self.deadlines.push(o.deadline, flow);
    }

    /// Sends a queued open to its agent again, unless that has not answered the last time.
    pub(super) fn renew_queued(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let timeout = self.response_timeout();
        let Some(FlowState::Opening(o)) = self.flows.get(flow, now) else { return };
        let (Some(lease), Some(needs)) = (&mut o.queue, o.needs) else { return };
        if !lease.confirmed {
            return;
        }
        (lease.confirmed, lease.renewed_at) = (false, now);
        let agent = lease.agent;
        o.deadline = now + timeout;
        self.deadlines.push(o.deadline, flow);
        let Some(FlowState::Opening(o)) = self.flows.peek(flow) else { return };
        let offer = Offer { first: agent, second: None, stage: OfferStage::Assign };
        let open = Open {
            service: &o.service,
            max_flows: o.max_flows,
            aged: false,
            offer,
            reply_to: self.own_addr,
            warm_up: self.warm_up(&o.service, (agent, None), now),
            request: Some(OpenRequest {
                renewal: true,
                any_target: self.allows_any_target(&o.service, now),
                bounded: self.bounds_owner(&o.service, &[agent]),
                ..OpenRequest::new(needs, now.duration_since(o.arrived_at))
            }),
        };
        out.send_to_agent(agent, &Message::offer(open), &o.packet);
    }

    /// Renews a queued open, or offers it elsewhere once an agent that does not answer can no
    /// longer deliver it.
    pub(super) fn handle_renewal_due(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        let Some(FlowState::Opening(o)) = self.flows.get(flow, now) else { return };
        let Some(lease) = o.queue else { return };
        let reachable =
            self.roster.is_responsive(lease.agent) && self.roster.may_be_offered(lease.agent);
        if lease.confirmed && reachable {
            self.renew_queued(flow, now, out);
            return;
        }
        let lease_end = lease.renewed_at + LEASE + LEASE_MARGIN;
        if now < lease_end {
            o.deadline = lease_end;
            self.deadlines.push(lease_end, flow);
            if !lease.confirmed {
                self.roster.record_timeout(lease.agent, now);
            }
            return;
        }
        log::info!(
            event = events::QUEUE_LOST, flow:% = flow, agent:% = lease.agent,
            age_ms = now.duration_since(o.arrived_at).as_millis();
            "agent does not answer for a queued open; offered elsewhere"
        );
        metrics::count_retry(Retry::OpenTimeout);
        let Some(FlowState::Opening(opening)) = self.flows.remove(flow) else { return };
        let age = now.duration_since(opening.arrived_at);
        let mut opening = PendingOpen {
            queue: None,
            offered_to: vec![lease.agent],
            last_offer_len: 0,
            ..opening
        };
        if age < opening.timeout && self.offer_open(flow, &mut opening, None, now, out) {
            self.flows.insert(flow, FlowState::Opening(opening), now);
        } else {
            self.retry_or_refuse(flow, opening, Refusal::OpenTimeout, now, out);
        }
    }
}
