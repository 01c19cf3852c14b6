//! What a balancer remembers of one flow.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Share;
use crate::bus::Word;

/// What is known of a flow.
#[derive(Debug)]
pub enum Known {
    /// It is being opened.
    Opening(Opening),
    /// An agent's target holds it.
    At {
        /// The agent.
        agent: SocketAddrV4,
        /// The service of its target.
        service: Arc<str>,
    },
    /// The service's agents were asked for its owner.
    Search(Search),
}

impl Known {
    /// By which rule the flow's packets go, in words.
    #[must_use]
    pub fn rule(&self) -> String {
        match self {
            Self::Opening(o) => format!("being opened, offered to {:?}", o.offered),
            Self::At { agent, .. } => format!("held by the target of {agent}"),
            Self::Search(s) => format!("owner asked for; unsure: {:?}", s.unsure),
        }
    }
}

/// An open that no agent has taken yet.
#[derive(Debug)]
pub struct Opening {
    /// When the caller's first packet came.
    pub since: Instant,
    /// The caller's first sequence number, the same in each copy.
    pub seq: u32,
    /// How long it may be kept until an agent takes it.
    pub patience: Duration,
    /// The service it is for.
    pub service: Arc<str>,
    /// Open flows that a target of the service holds at most.
    pub max_flows: u32,
    /// The caller's packet.
    pub packet: Vec<u8>,
    /// The agents it was offered to, in order.
    pub offered: Vec<SocketAddrV4>,
    /// When to look at it again; entries of the queue for other times are old.
    pub due: Instant,
    /// Every agent of the round has answered; the next round comes at `due`.
    pub resting: bool,
    /// Some of them did not answer or had not heard their target yet, so a
    /// refusal by the others is not final.
    pub doubtful: bool,
}

impl Opening {
    /// The open in `packet`, for `share`'s service, offered to nobody yet.
    #[must_use]
    pub fn new(share: &Share, seq: u32, packet: &[u8], since: Instant) -> Self {
        Self {
            since,
            seq,
            patience: super::PATIENCE,
            service: share.service.clone(),
            max_flows: share.max_flows,
            packet: packet.to_vec(),
            offered: Vec::new(),
            due: since,
            resting: false,
            doubtful: false,
        }
    }
}

/// A search for a flow's owner.
#[derive(Debug, Default)]
pub struct Search {
    /// The service it is for.
    pub service: Arc<str>,
    /// The last packet of the flow.
    pub packet: Vec<u8>,
    /// The caller's last acknowledgement.
    pub ack: u32,
    /// When its agents' time to answer is over.
    pub due: Option<Instant>,
    /// Agents asked with the last packet.
    pub asked: u32,
    /// Agents that have not answered.
    pub waiting: Vec<SocketAddrV4>,
    /// Agents that may have forgotten the flow.
    pub unsure: Vec<SocketAddrV4>,
    /// Agents whose targets were tried, by this balancer or another.
    pub tried: Vec<SocketAddrV4>,
}

impl Search {
    /// Whether every agent of the service said for certain that its target
    /// does not hold the flow: the target that did is gone.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.asked > 0 && self.waiting.is_empty() && self.unsure.is_empty()
    }

    /// An agent answered that it does not know the flow, or may have forgotten
    /// it ([`Word::Unsure`]), or that its target was tried ([`Word::Foreign`]).
    pub fn answered(&mut self, from: SocketAddrV4, word: Word) {
        self.waiting.retain(|a| *a != from);
        self.unsure.retain(|a| *a != from);
        if word == Word::Unsure {
            self.unsure.push(from);
        }
        if word == Word::Foreign {
            self.try_at(from);
        }
    }

    /// Notes that an agent's target is tried.
    pub fn try_at(&mut self, agent: SocketAddrV4) {
        if !self.tried.contains(&agent) {
            self.tried.push(agent);
        }
    }

    /// Whether a target that is being tried has not answered yet.
    #[must_use]
    pub fn trying(&self) -> bool {
        self.unsure.iter().any(|a| self.tried.contains(a))
    }
}
