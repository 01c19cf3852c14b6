//! What a balancer remembers of one flow.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::WeightedService;
use super::search::OwnerSearch;

/// What is known of a flow.
#[derive(Debug)]
pub enum FlowState {
    /// It is being opened.
    Opening(PendingOpen),
    /// An agent's target holds it.
    Owned {
        /// The agent.
        agent: SocketAddrV4,
        /// The service of its target.
        service: Arc<str>,
    },
    /// The service's agents are asked for its owner.
    Searching(OwnerSearch),
}

impl FlowState {
    /// By which rule the flow's packets go, in words.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Opening(o) => format!("being opened, offered to {:?}", o.offered_to),
            Self::Owned { agent, .. } => format!("held by the target of {agent}"),
            Self::Searching(s) => format!("owner asked for; unverified: {:?}", s.unverified),
        }
    }

    /// Bytes of packets kept until its owner is known.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Searching(s) => s.buffered_bytes(),
            Self::Opening(_) | Self::Owned { .. } => 0,
        }
    }
}

/// An open that no agent has taken yet.
#[derive(Debug)]
pub struct PendingOpen {
    /// When the caller's first packet arrived.
    pub arrived_at: Instant,
    /// The caller's first sequence number, the same in each copy.
    pub seq: u32,
    /// How long it may be kept until an agent takes it.
    pub timeout: Duration,
    /// The service it is for.
    pub service: Arc<str>,
    /// Open flows that a target of the service holds at most.
    pub max_flows: u32,
    /// The caller's packet.
    pub packet: Vec<u8>,
    /// The agents it was offered to in this round, in order.
    pub offered_to: Vec<SocketAddrV4>,
    /// When it was last offered.
    pub offered_at: Instant,
    /// Offers that were not answered in time, and rounds that have ended: each
    /// lengthens the pause until the next.
    pub timeout_count: u32,
    /// See `unanswered`.
    pub round_count: u32,
    /// When to look at it again; entries of the queue for other times are old.
    pub deadline: Instant,
    /// Every agent of the round has answered; the next round comes at `due`.
    pub in_backoff: bool,
    /// Some of them did not answer or had not heard their target yet, so a
    /// refusal by the others is not final.
    pub inconclusive: bool,
}

impl PendingOpen {
    /// The open in `packet`, for `share`'s service, offered to nobody yet and
    /// kept for `patience` at most.
    #[must_use]
    pub fn new(
        weighted: &WeightedService,
        seq: u32,
        packet: &[u8],
        since: Instant,
        patience: Duration,
    ) -> Self {
        Self {
            arrived_at: since,
            seq,
            timeout: patience,
            service: weighted.service.clone(),
            max_flows: weighted.max_flows,
            packet: packet.to_vec(),
            offered_to: Vec::new(),
            offered_at: since,
            timeout_count: 0,
            round_count: 0,
            deadline: since,
            in_backoff: false,
            inconclusive: false,
        }
    }
}
