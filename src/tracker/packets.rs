//! Forwarding of packets between callers and the target, and the flow state that
//! follows from them.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, NO_REPLY, TrackedFlow, Transmit, pass_on, reset_flow};
use crate::agent::OfferAction;
use crate::agent::placement::decide_unreachable;
use crate::events;
use crate::flow::{Flow, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{FlowStatus, FlowUpdate, ForwardMode, Message, Open};

impl FlowTracker {
    /// Handles a caller's packet of an established flow.
    pub(super) fn handle_forward(
        &mut self,
        from: SocketAddrV4,
        mode: ForwardMode,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let ReceivedPacket { seg, packet, now } = *received;
        let flow = received.flow();
        let known = self.flows.get(flow, now).map(|tracked| tracked.accepts(seg));
        match known {
            Some(true) => {
                self.track_caller_packet(flow, seg, now);
                out.send_to_target(packet);
                if mode != ForwardMode::Owner {
                    self.send_update(flow, FlowStatus::Held, from, now, out);
                }
            }
            Some(false) => {
                let tried = self
                    .flows
                    .peek(flow)
                    .is_some_and(|tracked| tracked.phase == FlowPhase::NotOwner);
                let status = if tried { FlowStatus::NotOwner } else { FlowStatus::Unknown };
                self.send_update(flow, status, from, now, out);
            }
            None => self.handle_unknown_flow(from, mode, received, out),
        }
    }

    /// Handles a caller's packet of a flow that is not tracked: denies the flow, or
    /// delivers the packet to learn whether the target holds it.
    pub(super) fn handle_unknown_flow(
        &mut self,
        from: SocketAddrV4,
        mode: ForwardMode,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let ReceivedPacket { seg, packet, now } = *received;
        let flow = received.flow();
        if let Some(denial) = self.denial_status() {
            self.send_update(flow, denial, from, now, out);
        } else {
            log::info!(
                event = events::FLOW_TRIED, flow:% = flow, mode:? = mode;
                "unknown flow; delivering its packet to the target"
            );
            let tracked =
                TrackedFlow { reply_to: Some(from), ..TrackedFlow::new(FlowPhase::Trial, seg.seq) };
            self.flows.insert(flow, tracked, now);
            out.send_to_target(packet);
        }
    }

    /// Updates the flow's state from a caller's packet.
    pub(super) fn track_caller_packet(&mut self, flow: Flow, seg: &Segment, now: Instant) {
        let Some(tracked) = self.flows.get(flow, now) else { return };
        if seg.flags.ack {
            tracked.caller_ack = seg.ack;
        }
        if matches!(tracked.phase, FlowPhase::Answered(_)) {
            tracked.phase = FlowPhase::Open;
        }
        tracked.caller_done |= seg.flags.fin;
        let over = seg.flags.rst || tracked.is_finished();
        if tracked.record_data(seg) {
            let is_first = !std::mem::replace(&mut tracked.has_request, true);
            if !is_first && tracked.waiting_since.is_none() {
                self.cold_start.record(now);
            }
            self.observe_request(flow, now);
            self.set_waiting(flow, true, now);
            self.pending_requests.push_back((now + self.policy.request_timeout, flow));
            self.schedule_probe(self.policy.request_probe_delay, now);
        }
        if over {
            self.close_flow(flow, now);
        }
    }

    /// Handles a packet sent by the target. `clear_bounced` removes the bounced flag
    /// from a returned packet before it is passed on.
    pub fn handle_target_packet(
        &mut self,
        seg: &Segment,
        packet: &mut [u8],
        now: Instant,
        out: &mut impl Transmit,
        clear_bounced: impl FnOnce(&mut [u8]),
    ) {
        self.probe_at = None;
        if seg.flags.bounced {
            clear_bounced(packet);
            self.handle_bounce(seg, packet, now, out);
        } else {
            let flow = seg.flow_from_target();
            self.track_target_packet(flow, seg, now, out);
            out.send_to_caller(flow.caller, packet);
        }
        self.deliver_queued(now, out);
    }

    /// Updates the flow's state from a target's packet and notifies the waiting balancer
    /// once the target is known to hold the flow.
    pub(super) fn track_target_packet(
        &mut self,
        flow: Flow,
        seg: &Segment,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.observe_answer(flow, seg, now);
        let Some(tracked) = self.flows.get(flow, now) else {
            // The agent started after the flow opened.
            if !seg.flags.rst {
                self.mark_inherited();
                let tracked =
                    TrackedFlow { target_answered: true, ..TrackedFlow::new(FlowPhase::Open, 0) };
                self.flows.insert(flow, tracked, now);
            }
            return;
        };
        let previous = tracked.phase;
        tracked.phase = match previous {
            FlowPhase::Opening { .. } | FlowPhase::Answered(_) if seg.flags.syn => {
                FlowPhase::Answered(seg.seq)
            }
            FlowPhase::Trial | FlowPhase::NotOwner => FlowPhase::Open,
            other => other,
        };
        tracked.target_answered = true;
        let changed = tracked.phase != previous;
        let reply_to = tracked.reply_to;
        tracked.target_done |= seg.flags.fin;
        let over = seg.flags.rst || tracked.is_finished();
        if seg.len > 0 {
            self.record_work(flow, now);
        }
        if seg.len > 0 || over {
            self.set_waiting(flow, false, now);
        }
        if over {
            self.close_flow(flow, now);
        }
        if let (true, Some(to)) = (changed, reply_to) {
            self.send_update(flow, FlowStatus::Held, to, now, out);
        }
    }

    /// Handles a packet that the target returned: it does not hold the flow, or cannot
    /// accept it.
    pub(super) fn handle_bounce(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let flow = seg.flow_from_caller();
        let Some(tracked) = self.remove_flow(flow) else { return };
        self.observe_return(&tracked, now);
        let reply_to = tracked.reply_to.unwrap_or(NO_REPLY);
        let (FlowPhase::Opening { offer, max_flows, aged, warm_up, request }, true) =
            (tracked.phase, seg.opens_flow())
        else {
            if tracked.target_answered && tracked.phase != FlowPhase::Closed {
                reset_flow(flow, seg.ack, out);
            }
            self.flows.insert(flow, TrackedFlow::new(FlowPhase::NotOwner, 0), now);
            self.send_update(flow, FlowStatus::NotOwner, reply_to, now, out);
            return;
        };
        let service = self.service.clone();
        let open = Open { service: &service, max_flows, aged, offer, reply_to, warm_up, request };
        metrics::count_retry(Retry::Bounced);
        self.full_until = Some(now + self.policy.full_pause);
        self.schedule_probe(Duration::ZERO, now);
        match decide_unreachable(offer) {
            OfferAction::PassOn(offer) => {
                self.record_hint(flow, offer, now);
                pass_on(&self.annotated(&open), offer, packet, out);
            }
            OfferAction::Accept | OfferAction::Refuse(_) => {
                self.refuse_flow(flow, Refusal::Full, reply_to, now, out)
            }
        }
    }

    /// Sends a flow's status to the balancer at `to`, unless it is [`NO_REPLY`].
    pub(super) fn send_update(
        &self,
        flow: Flow,
        status: FlowStatus,
        to: SocketAddrV4,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        if to == NO_REPLY {
            return;
        }
        let load = self.load(now);
        out.send_message(to, &Message::FlowUpdate(FlowUpdate { flow, status, load }), &[]);
    }
}
