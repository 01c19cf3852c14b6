//! State of a search for a flow's owner: queried agents, their answers and the packets
//! buffered meanwhile.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Roster, Transmit};
use crate::flow::{Flow, Segment};
use crate::metrics;
use crate::policy::BalancerPolicy;
use crate::protocol::{FlowStatus, ForwardMode, Message, QueriedFlow};

/// Delay before the first repetition of a round that found no owner; doubled each time.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a repetition.
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(400);

/// Repetitions after one packet of the caller, which sends it again itself.
const MAX_REPEATS: u32 = 5;

/// How long an agent's denial counts. Later, the caller may have opened another flow from the
/// same port.
const DENIAL_TTL: Duration = Duration::from_secs(5);

/// A search for a flow's owner.
#[derive(Debug, Default)]
pub struct OwnerSearch {
    /// Services of which a target may hold the flow, the likeliest first.
    pub services: Vec<Arc<str>>,
    /// Buffered packets; only the last once a round ended without an owner.
    pub(super) packets: VecDeque<Vec<u8>>,
    /// The caller's last acknowledgement number, valid if `has_ack`.
    pub(super) ack: u32,
    pub(super) has_ack: bool,
    /// When the current wave times out; none between rounds.
    pub wave_deadline: Option<Instant>,
    /// When the current wave was queried.
    pub(super) wave_started: Option<Instant>,
    /// Whether queries of the current wave were held back when it last timed out.
    pub(super) held_back: bool,
    /// When the round is repeated; none while one is running.
    pub(super) repeat_at: Option<Instant>,
    /// Repetitions since the caller's last packet.
    pub(super) repeat_count: u32,
    /// Whether the current round repeats another. It tries no targets: each packet that reaches a
    /// wrong one counts, and the owner's agent may be about to start.
    pub(super) is_repetition: bool,
    denials: Denials,
    /// Agents not queried yet in this round, in order.
    pub(super) unqueried: VecDeque<SocketAddrV4>,
    /// Index of the next wave of the round.
    pub(super) wave_index: usize,
    /// Whether the round covers all agents that may own the flow, and not only the likeliest.
    pub(super) widened: bool,
    /// Number of agents that the round covers.
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

/// Answers that a target does not hold the flow, which later rounds rely on.
#[derive(Clone, Debug, Default)]
struct Denials {
    agents: BTreeSet<SocketAddrV4>,
    /// When the first of them came.
    since: Option<Instant>,
}

impl OwnerSearch {
    /// Whether every agent that may own the flow answered that its target does not hold it.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.agent_count > 0 && self.all_answered() && self.unverified.is_empty()
    }

    /// Whether every agent that may own the flow has answered.
    fn all_answered(&self) -> bool {
        self.all_queried() && self.silent.is_empty()
    }

    /// Whether every agent that may own the flow was queried and answered or timed out.
    pub(super) fn all_queried(&self) -> bool {
        self.widened && self.unqueried.is_empty() && self.pending.is_empty()
    }

    /// Records an answer other than [`FlowStatus::Held`].
    pub(super) fn record_answer(&mut self, from: SocketAddrV4, status: FlowStatus, now: Instant) {
        self.unqueried.retain(|a| *a != from);
        for list in [&mut self.pending, &mut self.silent, &mut self.unverified] {
            list.retain(|a| *a != from);
        }
        if status == FlowStatus::Unverified {
            self.unverified.push(from);
        } else {
            self.denials.agents.insert(from);
            self.denials.since.get_or_insert(now);
        }
        if status == FlowStatus::NotOwner && !self.tried.contains(&from) {
            self.tried.push(from);
        }
    }

    /// Whether `agent` is queried in this round, is to be, or has denied the flow.
    pub(super) fn has_asked(&self, agent: SocketAddrV4) -> bool {
        let lists = [&self.pending, &self.silent, &self.unverified];
        lists.iter().any(|list| list.contains(&agent))
            || self.unqueried.contains(&agent)
            || self.is_denied_by(agent)
    }

    /// Whether `agent` said lately that its target does not hold the flow.
    pub(super) fn is_denied_by(&self, agent: SocketAddrV4) -> bool {
        self.denials.agents.contains(&agent)
    }

    /// Forgets denials that may be about an earlier flow.
    pub(super) fn expire_denials(&mut self, now: Instant) {
        if self.denials.since.is_some_and(|at| now.duration_since(at) >= DENIAL_TTL) {
            self.denials = Denials::default();
        }
    }

    /// Schedules a repetition of the round that ends at `now`: at `slot`, when others are
    /// repeated, or else after a delay; returns when. None if it was repeated often enough.
    pub(super) fn schedule_repeat(
        &mut self,
        slot: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        if self.repeat_count >= MAX_REPEATS {
            return None;
        }
        let delay = REPEAT_DELAY.saturating_mul(1 << self.repeat_count).min(MAX_REPEAT_DELAY);
        self.repeat_count += 1;
        self.repeat_at = slot.filter(|at| *at > now && *at <= now + delay).or(Some(now + delay));
        self.repeat_at
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

    /// Adds services of which a target may hold the flow, too.
    pub(super) fn add_services(&mut self, services: Vec<Arc<str>>) {
        for service in services {
            if !self.services.contains(&service) {
                self.services.push(service);
            }
        }
    }

    /// Has `agents` try the last packet at their targets. Returns false if no packet is
    /// buffered.
    pub(super) fn forward_trial(
        &mut self,
        agents: &[SocketAddrV4],
        roster: &Roster,
        out: &mut impl Transmit,
    ) -> bool {
        let Some(packet) = self.packets.back() else { return false };
        for agent in agents {
            let Some(service) = roster.service_of(*agent) else { continue };
            let message = Message::Forward { service, mode: ForwardMode::Try };
            out.send_to_agent(*agent, &message, packet);
        }
        self.tried.extend(agents);
        true
    }
}
