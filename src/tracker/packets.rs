//! Packets of flows: from callers to the target and back, and what they say
//! of the flow.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, NO_REPLY, TrackedFlow, Transmit, pass, reset};
use crate::agent::OfferAction;
use crate::agent::placement::decide_unreachable;
use crate::events;
use crate::flow::{Flow, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{FlowStatus, FlowUpdate, ForwardMode, Message, Open};

impl FlowTracker {
    /// A packet of a flow that some target has open.
    pub(super) fn handle_forward(
        &mut self,
        from: SocketAddrV4,
        mode: ForwardMode,
        came: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let ReceivedPacket { seg, packet, now } = *came;
        let flow = came.flow();
        let known = self.flows.get(flow, now).map(|h| h.accepts(seg));
        match known {
            Some(true) => {
                self.track_caller_packet(flow, seg, now);
                out.send_to_target(packet);
                if mode != ForwardMode::Owner {
                    self.send_update(flow, FlowStatus::Held, from, now, out);
                }
            }
            Some(false) => {
                let tried = self.flows.peek(flow).is_some_and(|h| h.phase == FlowPhase::NotOwner);
                let status = if tried { FlowStatus::NotOwner } else { FlowStatus::Unknown };
                self.send_update(flow, status, from, now, out);
            }
            None => self.handle_unknown_flow(from, mode, came, out),
        }
    }

    /// A packet of a flow that this agent has not seen.
    pub(super) fn handle_unknown_flow(
        &mut self,
        from: SocketAddrV4,
        mode: ForwardMode,
        came: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let ReceivedPacket { seg, packet, now } = *came;
        let flow = came.flow();
        if let Some(denial) = self.denial_status() {
            self.send_update(flow, denial, from, now, out);
        } else {
            log::info!(
                event = events::FLOW_TRIED, flow:% = flow, mode:? = mode;
                "unknown flow tried at the target"
            );
            let held =
                TrackedFlow { reply_to: Some(from), ..TrackedFlow::new(FlowPhase::Trial, seg.seq) };
            self.flows.insert(flow, held, now);
            out.send_to_target(packet);
        }
    }

    /// Notes what a packet of the caller says of its flow.
    pub(super) fn track_caller_packet(&mut self, flow: Flow, seg: &Segment, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if seg.flags.ack {
            h.caller_ack = seg.ack;
        }
        if matches!(h.phase, FlowPhase::Answered(_)) {
            h.phase = FlowPhase::Open;
        }
        h.caller_done |= seg.flags.fin;
        let over = seg.flags.rst || h.is_finished();
        if h.record_data(seg) {
            self.set_waiting(flow, true, now);
            self.pending_work.push_back((now + self.policy.request_timeout, flow));
            self.expect_answer(self.policy.request_probe_delay, now);
        }
        if over {
            self.close_flow(flow, now);
        }
    }

    /// Takes one packet that the target sent.
    pub fn handle_target_packet(
        &mut self,
        seg: &Segment,
        packet: &mut [u8],
        now: Instant,
        out: &mut impl Transmit,
        clear: impl FnOnce(&mut [u8]),
    ) {
        self.probe_at = None;
        if seg.flags.bounced {
            clear(packet);
            self.handle_bounce(seg, packet, now, out);
            return;
        }
        let flow = seg.flow_from_target();
        self.track_target_packet(flow, seg, now, out);
        out.send_to_caller(flow.caller, packet);
    }

    pub(super) fn track_target_packet(
        &mut self,
        flow: Flow,
        seg: &Segment,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(h) = self.flows.get(flow, now) else {
            // The agent started after the flow opened.
            if !seg.flags.rst {
                self.mark_inherited();
                let held =
                    TrackedFlow { target_answered: true, ..TrackedFlow::new(FlowPhase::Open, 0) };
                self.flows.insert(flow, held, now);
            }
            return;
        };
        let before = h.phase;
        h.phase = match before {
            FlowPhase::Opening { .. } | FlowPhase::Answered(_) if seg.flags.syn => {
                FlowPhase::Answered(seg.seq)
            }
            FlowPhase::Trial | FlowPhase::NotOwner => FlowPhase::Open,
            other => other,
        };
        h.target_answered = true;
        let news = h.phase != before;
        let reply = h.reply_to;
        h.target_done |= seg.flags.fin;
        let over = seg.flags.rst || h.is_finished();
        if seg.len > 0 || over {
            self.set_waiting(flow, false, now);
        }
        if over {
            self.close_flow(flow, now);
        }
        if let (true, Some(to)) = (news, reply) {
            self.send_update(flow, FlowStatus::Held, to, now, out);
        }
    }

    /// The target gave a packet back: it does not hold the flow, or cannot
    /// accept it.
    pub(super) fn handle_bounce(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let flow = seg.flow_from_caller();
        let Some(h) = self.remove_flow(flow) else { return };
        let reply = h.reply_to.unwrap_or(NO_REPLY);
        let (FlowPhase::Opening { offer, max_flows, aged }, true) = (h.phase, seg.opens_flow())
        else {
            if h.target_answered && h.phase != FlowPhase::Closed {
                reset(flow, seg.ack, out);
            }
            self.flows.insert(flow, TrackedFlow::new(FlowPhase::NotOwner, 0), now);
            self.send_update(flow, FlowStatus::NotOwner, reply, now, out);
            return;
        };
        let service = self.service.clone();
        let open = Open { service: &service, max_flows, aged, offer, reply_to: reply };
        metrics::retried(Retry::Bounced);
        self.full_until = Some(now + self.policy.full_pause);
        self.expect_answer(Duration::ZERO, now);
        match decide_unreachable(offer) {
            OfferAction::PassOn(on) => {
                self.record_hint(flow, on, now);
                pass(&open, on, packet, out);
            }
            OfferAction::Accept | OfferAction::Refuse(_) => {
                self.refuse_flow(flow, Refusal::Full, reply, now, out)
            }
        }
    }

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
