//! What a balancer's flow table stores about a flow.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::WeightedService;
use super::search::OwnerSearch;
use crate::request::RequestNeeds;

/// State of a flow.
#[derive(Debug)]
pub enum FlowState {
    /// No agent has accepted its open yet.
    Opening(PendingOpen),
    /// The target of a known agent holds it.
    Owned {
        /// The agent beside the target.
        agent: SocketAddrV4,
        /// The service of its target.
        service: Arc<str>,
    },
    /// Agents are queried for its owner.
    Searching(OwnerSearch),
}

impl FlowState {
    /// The state in words, for operators.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Opening(PendingOpen { queue: Some(q), .. }) => {
                format!("queued at agent {}", q.agent)
            }
            Self::Opening(o) => format!("being opened, offered to {:?}", o.offered_to),
            Self::Owned { agent, .. } => format!("held by the target of {agent}"),
            Self::Searching(s) => {
                format!("owner being searched for; unverified: {:?}", s.unverified)
            }
        }
    }

    /// Size of the packets buffered until the owner is known.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Searching(s) => s.buffered_bytes(),
            Self::Opening(_) | Self::Owned { .. } => 0,
        }
    }
}

/// What a balancer knows of the agent that has queued an open.
#[derive(Clone, Copy, Debug)]
pub struct QueueLease {
    /// The agent.
    pub agent: SocketAddrV4,
    /// When the open was last sent to it.
    pub renewed_at: Instant,
    /// Whether the agent has answered that.
    pub confirmed: bool,
}

/// An open that no agent has accepted yet.
#[derive(Debug)]
pub struct PendingOpen {
    /// When the first SYN arrived.
    pub arrived_at: Instant,
    /// The caller's initial sequence number, which identifies retransmissions.
    pub seq: u32,
    /// How long it is offered before it is refused.
    pub timeout: Duration,
    /// Service of the flow's route.
    pub service: Arc<str>,
    /// Maximum of open flows at one target of the service.
    pub max_flows: u32,
    /// What the caller needs, if the configuration states it.
    pub needs: Option<RequestNeeds>,
    /// The agent that has queued it.
    pub queue: Option<QueueLease>,
    /// The SYN as received.
    pub packet: Vec<u8>,
    /// Agents offered it in this round, in order.
    pub offered_to: Vec<SocketAddrV4>,
    /// Number of agents in the last offer.
    pub last_offer_len: usize,
    /// When it was last offered.
    pub offered_at: Instant,
    /// Offers that were not answered in time; each doubles the next response timeout.
    pub timeout_count: u32,
    /// Completed rounds of offers; each doubles the delay before the next.
    pub round_count: u32,
    /// Its current timer. Queue entries for other times are stale.
    pub deadline: Instant,
    /// The round is over; the next one starts at `deadline`.
    pub in_backoff: bool,
    /// Some agents did not answer or may accept the open later, so that refusals by the
    /// others are not final.
    pub inconclusive: bool,
}

impl PendingOpen {
    /// An open received at `arrived_at` in `packet`, not offered to any agent yet.
    #[must_use]
    pub fn new(
        weighted: &WeightedService,
        needs: Option<RequestNeeds>,
        seq: u32,
        packet: &[u8],
        arrived_at: Instant,
        timeout: Duration,
    ) -> Self {
        Self {
            arrived_at,
            seq,
            timeout,
            service: weighted.service.clone(),
            max_flows: weighted.max_flows,
            needs,
            queue: None,
            packet: packet.to_vec(),
            offered_to: Vec::new(),
            last_offer_len: 0,
            offered_at: arrived_at,
            timeout_count: 0,
            round_count: 0,
            deadline: arrived_at,
            in_backoff: false,
            inconclusive: false,
        }
    }

    /// Whether `agent` may have it: it was offered to it last, is queued there, or was handed
    /// over to it by the agent that had queued it.
    #[must_use]
    pub fn may_be_queued_at(&self, agent: SocketAddrV4, handed_over: bool) -> bool {
        match self.queue {
            Some(q) => handed_over || q.agent == agent || self.last_offer().contains(&agent),
            None => !self.in_backoff && (handed_over || self.last_offer().contains(&agent)),
        }
    }

    /// Agents of the last offer, in order.
    #[must_use]
    pub fn last_offer(&self) -> &[SocketAddrV4] {
        &self.offered_to[self.offered_to.len().saturating_sub(self.last_offer_len)..]
    }
}
