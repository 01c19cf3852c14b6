//! State of a search for a flow's owner: queried agents, their answers and the packets
//! buffered meanwhile.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Transmit;
use crate::flow::{Flow, Segment};
use crate::metrics;
use crate::policy::BalancerPolicy;
use crate::protocol::{FlowStatus, ForwardMode, Message, QueriedFlow};

/// A search for a flow's owner.
#[derive(Debug, Default)]
pub struct OwnerSearch {
    /// Service of the flow's route.
    pub service: Arc<str>,
    /// Buffered packets; only the last once a round ended without an owner.
    pub(super) packets: VecDeque<Vec<u8>>,
    /// The caller's last acknowledgement number, valid if `has_ack`.
    pub(super) ack: u32,
    pub(super) has_ack: bool,
    /// When the current wave times out; none between rounds.
    pub wave_deadline: Option<Instant>,
    /// When the current wave was queried.
    pub(super) wave_started: Option<Instant>,
    /// Agents not queried yet in this round, in order.
    pub(super) unqueried: VecDeque<SocketAddrV4>,
    /// Index of the next wave of the round.
    pub(super) wave_index: usize,
    /// Number of agents of the service when the round started.
    pub agent_count: u32,
    /// Queried agents whose answers are outstanding.
    pub pending: Vec<SocketAddrV4>,
    /// Queried agents that did not answer in time.
    pub(super) silent: Vec<SocketAddrV4>,
    /// Agents that answered [`FlowStatus::Unverified`]: their targets may hold the flow.
    pub unverified: Vec<SocketAddrV4>,
    /// Agents at whose targets the flow was tried, by any balancer.
    pub tried: Vec<SocketAddrV4>,
    /// Agent that another one, or it itself, named as the flow's owner.
    pub(super) named_owner: Option<SocketAddrV4>,
    /// The named owner once the flow was tried at its target in this round.
    pub(super) named_trial: Option<SocketAddrV4>,
    /// [`super::Roster::generation`] when the last round ended.
    pub(super) roster_generation: u64,
    /// Queries and answers of the round.
    pub(super) message_count: u32,
}

impl OwnerSearch {
    /// Whether every agent of the service answered that its target does not hold the
    /// flow.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.agent_count > 0 && self.all_answered() && self.unverified.is_empty()
    }

    /// Whether every agent of the service has answered.
    fn all_answered(&self) -> bool {
        self.all_queried() && self.silent.is_empty()
    }

    /// Whether every agent of the round was queried and answered or timed out.
    pub(super) fn all_queried(&self) -> bool {
        self.unqueried.is_empty() && self.pending.is_empty()
    }

    /// Records an answer other than [`FlowStatus::Held`].
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

    /// Whether the outcome of a trial is outstanding.
    pub(super) fn has_pending_trial(&self) -> bool {
        self.unverified.iter().any(|a| self.tried.contains(a))
    }

    /// Removes the agents of the next wave from those not queried yet.
    pub(super) fn next_wave(&mut self, waves: &[usize]) -> Vec<SocketAddrV4> {
        let size = waves.get(self.wave_index).copied().unwrap_or(usize::MAX);
        self.wave_index += 1;
        self.unqueried.drain(..size.min(self.unqueried.len())).collect()
    }

    pub(super) const fn queried_flow(&self, flow: Flow) -> QueriedFlow {
        QueriedFlow { flow, ack: if self.has_ack { Some(self.ack) } else { None } }
    }

    /// Size of the buffered packets.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.packets.iter().map(Vec::len).sum()
    }

    /// Drops all buffered packets but the last, which trials need; the caller
    /// retransmits the others.
    pub(super) fn keep_last(&mut self) {
        let excess = self.packets.len().saturating_sub(1);
        self.packets.drain(..excess);
    }

    /// Buffers a packet unless that exceeds the limits of `policy`; `others` is the size
    /// of the packets buffered for other flows. One packet is always buffered.
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
            metrics::count_drop("search_full");
        }
    }

    /// Has `agents` try the last packet at their targets. Returns false if no packet is
    /// buffered.
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
