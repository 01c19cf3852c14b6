//! Packets of flows: from callers to the target and back, and what they say
//! of the flow.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, NOBODY, TrackedFlow, Transmit, pass, reset};
use crate::agent::Step;
use crate::agent::place::give_back;
use crate::events;
use crate::flow::{Flow, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{FlowStatus, FlowUpdate, ForwardMode, Message, Open};

impl FlowTracker {
    /// A packet of a flow that some target has open.
    pub(super) fn carry(
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
                self.note_caller(flow, seg, now);
                out.target(packet);
                if mode != ForwardMode::Owner {
                    self.note(flow, FlowStatus::Held, from, now, out);
                }
            }
            Some(false) => {
                let tried = self.flows.peek(flow).is_some_and(|h| h.stage == FlowPhase::NotOwner);
                let status = if tried { FlowStatus::NotOwner } else { FlowStatus::Unknown };
                self.note(flow, status, from, now, out);
            }
            None => self.carry_unknown(from, mode, came, out),
        }
    }

    /// A packet of a flow that this agent has not seen.
    pub(super) fn carry_unknown(
        &mut self,
        from: SocketAddrV4,
        mode: ForwardMode,
        came: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let ReceivedPacket { seg, packet, now } = *came;
        let flow = came.flow();
        if let Some(denial) = self.denial() {
            self.note(flow, denial, from, now, out);
        } else {
            log::info!(
                event = events::FLOW_TRIED, flow:% = flow, mode:? = mode;
                "unknown flow tried at the target"
            );
            let held =
                TrackedFlow { reply: Some(from), ..TrackedFlow::new(FlowPhase::Trial, seg.seq) };
            self.flows.insert(flow, held, now);
            out.target(packet);
        }
    }

    /// Notes what a packet of the caller says of its flow.
    pub(super) fn note_caller(&mut self, flow: Flow, seg: &Segment, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if seg.flags.ack {
            h.caller_ack = seg.ack;
        }
        if matches!(h.stage, FlowPhase::Answered(_)) {
            h.stage = FlowPhase::Open;
        }
        h.caller_done |= seg.flags.fin;
        let over = seg.flags.rst || h.over();
        if h.takes_data(seg) {
            self.wait(flow, true, now);
            self.working.push_back((now + self.policy.longest_work, flow));
            self.expect(self.policy.silent_work, now);
        }
        if over {
            self.close(flow, now);
        }
    }

    /// Takes one packet that the target sent.
    pub fn target_packet(
        &mut self,
        seg: &Segment,
        packet: &mut [u8],
        now: Instant,
        out: &mut impl Transmit,
        clear: impl FnOnce(&mut [u8]),
    ) {
        self.silent_since = None;
        if seg.flags.bounced {
            clear(packet);
            self.bounced(seg, packet, now, out);
            return;
        }
        let flow = seg.by_target();
        self.answered(flow, seg, now, out);
        out.caller(flow.caller, packet);
    }

    pub(super) fn answered(
        &mut self,
        flow: Flow,
        seg: &Segment,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let Some(h) = self.flows.get(flow, now) else {
            // The agent started after the flow opened.
            if !seg.flags.rst {
                self.inherit();
                let held = TrackedFlow { ours: true, ..TrackedFlow::new(FlowPhase::Open, 0) };
                self.flows.insert(flow, held, now);
            }
            return;
        };
        let before = h.stage;
        h.stage = match before {
            FlowPhase::Opening { .. } | FlowPhase::Answered(_) if seg.flags.syn => {
                FlowPhase::Answered(seg.seq)
            }
            FlowPhase::Trial | FlowPhase::NotOwner => FlowPhase::Open,
            other => other,
        };
        h.ours = true;
        let news = h.stage != before;
        let reply = h.reply;
        h.target_done |= seg.flags.fin;
        let over = seg.flags.rst || h.over();
        if seg.len > 0 || over {
            self.wait(flow, false, now);
        }
        if over {
            self.close(flow, now);
        }
        if let (true, Some(to)) = (news, reply) {
            self.note(flow, FlowStatus::Held, to, now, out);
        }
    }

    /// The target gave a packet back: it does not hold the flow, or cannot
    /// accept it.
    pub(super) fn bounced(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let flow = seg.by_caller();
        let Some(h) = self.remove(flow) else { return };
        let reply = h.reply.unwrap_or(NOBODY);
        let (FlowPhase::Opening { offer, max_flows, aged }, true) = (h.stage, seg.opens()) else {
            if h.ours && h.stage != FlowPhase::Closed {
                reset(flow, seg.ack, out);
            }
            self.flows.insert(flow, TrackedFlow::new(FlowPhase::NotOwner, 0), now);
            self.note(flow, FlowStatus::NotOwner, reply, now, out);
            return;
        };
        let service = self.service.clone();
        let open = Open { service: &service, max_flows, aged, offer, reply };
        metrics::retried(Retry::Bounced);
        self.full_until = Some(now + self.policy.full);
        self.expect(Duration::ZERO, now);
        match give_back(offer) {
            Step::Pass(on) => {
                self.hint(flow, on, now);
                pass(&open, on, packet, out);
            }
            Step::Take | Step::Refuse(_) => self.refuse(flow, Refusal::Full, reply, now, out),
        }
    }

    pub(super) fn note(
        &self,
        flow: Flow,
        status: FlowStatus,
        to: SocketAddrV4,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        if to == NOBODY {
            return;
        }
        let load = self.load(now);
        out.peer(to, &Message::FlowUpdate(FlowUpdate { flow, status, load }), &[]);
    }
}
