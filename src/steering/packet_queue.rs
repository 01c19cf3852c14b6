//! Packets that wait for a configuration.

use std::time::Instant;

use super::{FlowSteering, Transmit};
use crate::flow::{ReceivedPacket, Segment};
use crate::metrics::{self, Refusal};

/// A packet that waits for a configuration.
#[derive(Debug)]
pub(super) struct QueuedPacket {
    arrived_at: Instant,
    seg: Segment,
    packet: Vec<u8>,
}

impl FlowSteering {
    /// Queues a packet until a configuration arrives. A full queue drops its
    /// oldest packet.
    pub(super) fn queue_packet(&mut self, received: &ReceivedPacket<'_>) {
        if self.queued_packets.len() >= self.policy.max_queued_packets {
            metrics::count_refusal(Refusal::NoConfig);
            self.queued_packets.pop_front();
        }
        self.queue_check_at.get_or_insert(received.now + self.policy.queue_check_interval);
        if !received.seg.opens_flow() {
            self.request_route_check();
        }
        let (seg, packet) = (*received.seg, received.packet.to_vec());
        self.queued_packets.push_back(QueuedPacket { arrived_at: received.now, seg, packet });
    }

    /// Handles the queued packets for which there is a configuration; drops those older
    /// than the open timeout.
    pub(super) fn handle_queued_packets(&mut self, now: Instant, out: &mut impl Transmit) {
        for p in std::mem::take(&mut self.queued_packets) {
            if now.duration_since(p.arrived_at) >= self.policy.open_timeout {
                continue;
            }
            if self.awaits_routes(&p.seg, p.arrived_at) {
                self.queued_packets.push_back(p);
            } else {
                self.steer_packet(&ReceivedPacket { seg: &p.seg, packet: &p.packet, now }, out);
            }
        }
        if !self.queued_packets.is_empty() {
            self.queue_check_at = Some(now + self.policy.queue_check_interval);
        }
    }
}
