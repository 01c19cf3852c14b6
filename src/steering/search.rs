//! The state of a search for a flow's owner: who was asked, what each said, and
//! the packets kept meanwhile.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Transmit;
use crate::flow::{Flow, Segment};
use crate::metrics;
use crate::policy::BalancerPolicy;
use crate::protocol::{FlowStatus, ForwardMode, Message, Question};

/// A search for a flow's owner.
#[derive(Debug, Default)]
pub struct OwnerSearch {
    /// The service it is for.
    pub service: Arc<str>,
    /// Packets that have come meanwhile; of a search that found nobody, the last.
    pub(super) packets: VecDeque<Vec<u8>>,
    /// The caller's last acknowledgement, and whether there was one.
    pub(super) ack: u32,
    pub(super) has_ack: bool,
    /// When the wave's time to answer is over; none once the round is decided.
    pub wave_deadline: Option<Instant>,
    /// When the wave was asked.
    pub(super) wave_started: Option<Instant>,
    /// Agents that the round is to ask, in order.
    pub(super) unqueried: VecDeque<SocketAddrV4>,
    /// Waves of the round so far.
    pub(super) wave_index: usize,
    /// Agents of the service.
    pub agent_count: u32,
    /// Agents asked that have not answered.
    pub pending: Vec<SocketAddrV4>,
    /// Agents that did not answer in time.
    pub(super) silent: Vec<SocketAddrV4>,
    /// Agents that may have forgotten the flow.
    pub unverified: Vec<SocketAddrV4>,
    /// Agents whose targets were tried, by this balancer or another.
    pub tried: Vec<SocketAddrV4>,
    /// The agent that was named as the flow's owner.
    pub(super) named_owner: Option<SocketAddrV4>,
    /// The named one, while its target is tried.
    pub(super) named_trial: Option<SocketAddrV4>,
    /// Questions and answers of the round.
    pub(super) message_count: u32,
}

impl OwnerSearch {
    /// Whether every agent of the service said that its target does
    /// not hold the flow: the target that did is gone.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.agent_count > 0 && self.all_answered() && self.unverified.is_empty()
    }

    /// Whether every agent of the service has answered.
    fn all_answered(&self) -> bool {
        self.all_queried() && self.silent.is_empty()
    }

    /// Whether every agent of the service was asked, and had its time to answer.
    pub(super) fn all_queried(&self) -> bool {
        self.unqueried.is_empty() && self.pending.is_empty()
    }

    /// An agent answered that it does not know the flow, or may have forgotten
    /// it ([`FlowStatus::Unverified`]), or that its target was tried ([`FlowStatus::NotOwner`]).
    pub(super) fn record_answer(&mut self, from: SocketAddrV4, status: FlowStatus) {
        self.unqueried.retain(|a| *a != from);
        for list in [&mut self.pending, &mut self.silent, &mut self.unverified] {
            list.retain(|a| *a != from);
        }
        if status == FlowStatus::Unverified {
            self.unverified.push(from);
        }
        if status == FlowStatus::NotOwner && !self.tried.contains(&from) {
            self.tried.push(from);
        }
    }

    /// Whether a target that is being tried has not answered yet.
    pub(super) fn has_pending_trial(&self) -> bool {
        self.unverified.iter().any(|a| self.tried.contains(a))
    }

    /// Takes the agents of the next wave out of those left.
    pub(super) fn next_wave(&mut self, waves: &[usize]) -> Vec<SocketAddrV4> {
        let size = waves.get(self.wave_index).copied().unwrap_or(usize::MAX);
        self.wave_index += 1;
        self.unqueried.drain(..size.min(self.unqueried.len())).collect()
    }

    pub(super) const fn question(&self, flow: Flow) -> Question {
        Question { flow, ack: if self.has_ack { Some(self.ack) } else { None } }
    }

    /// Bytes of the packets kept.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.packets.iter().map(Vec::len).sum()
    }

    /// Keeps only the last packet, which may be tried at targets: the caller
    /// sends all of them again.
    pub(super) fn keep_last(&mut self) {
        let excess = self.packets.len().saturating_sub(1);
        self.packets.drain(..excess);
    }

    /// Keeps a packet of the flow, if `policy` has room for it beside the `others`
    /// bytes kept for other flows.
    pub(super) fn buffer_packet(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        others: usize,
        policy: &BalancerPolicy,
    ) {
        self.has_ack = seg.flags.ack;
        self.ack = seg.ack;
        let room = others + self.buffered_bytes() + packet.len() <= policy.buffer_bytes;
        if self.packets.is_empty() || room && self.packets.len() < policy.buffer_packets {
            self.packets.push_back(packet.to_vec());
        } else {
            metrics::dropped("search_full");
        }
    }

    /// Has `agents` try their targets with the flow's last packet; says whether
    /// there was one.
    pub(super) fn forward_trial(
        &mut self,
        agents: &[SocketAddrV4],
        out: &mut impl Transmit,
    ) -> bool {
        let Some(packet) = self.packets.back() else { return false };
        let message = Message::Forward { service: &self.service, mode: ForwardMode::Try };
        for agent in agents {
            out.send_to_agent(*agent, &message, packet);
        }
        self.tried.extend(agents);
        true
    }
}
